#pragma once

#include <guavaramp/requests/owner_history.hpp>
#include <guavaramp/requests/request.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// What the owner does with a request that arrives.
enum class arrival_kind : std::uint8_t {
    run,     ///< new: send it to an upstream
    joined,  ///< the id is in progress: the same answer goes to this waiter too
    answer   ///< answer at once with `arrival::answer`
};

struct arrival {
    arrival_kind kind{arrival_kind::answer};
    request_answer answer;
};

struct request_table_options {
    std::size_t max_records{200'000};        ///< about 200 bytes a record without kept bodies
    std::size_t max_body_bytes{64U << 20U};  ///< of kept answers; the oldest lose their body first
    std::int64_t keep_ms{10 * 60 * 1000};    ///< after the deadline
    /// Callers that do not number their attempts repeat a request after this time at the earliest.
    std::int64_t first_repeat_ms{250};
};

/// A waiter to answer.
struct due_answer {
    std::uint64_t waiter{0};
    std::string id;
    request_answer answer;
    bool was_sent{false};  ///< whether an upstream may be running the request
};

/// The owner's memory of request ids: runs each at most once and gives every attempt the same outcome. When
/// the table is full, the finished record with the earliest end is dropped; ids first sent before any dropped
/// one are then answered "outcome unknown" and not run. Times are Unix milliseconds. Not thread-safe.
class request_table {
public:
    explicit request_table(const request_table_options& options) : options_(options) {}

    /// Records an arriving request. `waiter` receives the answer later unless the result is `answer`.
    [[nodiscard]] arrival arrive(const client_request& request, std::uint64_t waiter,
                                 const owner_history& owners, std::int64_t now_ms);

    /// Records that an upstream may see the request from now on.
    void mark_sent(const std::string& id);

    /// Records that the upstream certainly did not run it, so that it may be sent again or be "not run".
    void mark_not_run(const std::string& id);

    /// Sets the outcome of an id in progress and returns whom to answer. An answer for an id that is not in
    /// progress is dropped, except that a late whole answer replaces "outcome unknown". "Not run" for an id
    /// that may have been sent becomes "outcome unknown".
    [[nodiscard]] std::vector<due_answer> complete(const std::string& id, request_answer answer);

    /// Ends the ids whose deadline has passed and drops records that are kept no longer.
    [[nodiscard]] std::vector<due_answer> expire(std::int64_t now_ms);

    [[nodiscard]] bool in_progress(const std::string& id) const;

    /// Whether the id is in progress or its answer is kept: true also after the id moved to another owner,
    /// which would have to answer "outcome unknown".
    [[nodiscard]] bool can_answer(const std::string& id) const;

    [[nodiscard]] std::size_t size() const { return records_.size(); }
    [[nodiscard]] std::size_t body_bytes() const { return body_bytes_; }

private:
    enum class phase : std::uint8_t { queued, sent, done };

    struct record {
        phase state{phase::queued};
        bool idempotent{false};
        std::int64_t first_sent_ms{0};
        std::int64_t deadline_ms{0};
        std::optional<unsigned> attempt;
        std::vector<std::uint64_t> waiters;
        request_answer answer;
        std::multimap<std::int64_t, std::string>::iterator timer;
    };

    using record_map = std::unordered_map<std::string, record>;

    [[nodiscard]] std::optional<request_answer> refuse_unknown(const client_request& request,
                                                               const owner_history& owners,
                                                               std::int64_t now_ms) const;
    arrival start(const client_request& request, std::uint64_t waiter);
    arrival answer_done(record_map::iterator found, const client_request& request, std::uint64_t waiter);
    void set_timer(record& item, const std::string& id, std::int64_t at_ms);
    void erase(record_map::iterator found);
    void drop_bodies();
    [[nodiscard]] bool make_room();
    [[nodiscard]] std::vector<due_answer> finish(record_map::iterator found, request_answer answer);

    request_table_options options_;
    record_map records_;
    std::multimap<std::int64_t, std::string> timers_;
    std::size_t body_bytes_{0};
    std::int64_t dropped_first_sent_ms_{0};
};

}  // namespace guavaramp
