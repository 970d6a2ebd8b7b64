#pragma once

#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/config/model.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace guavaramp {

/// The closed list of outcomes.
enum class request_outcome : std::uint8_t {
    answered,        ///< the host ran the request and its whole answer is in `body`
    not_run,         ///< the request certainly did not run and this attempt will not run
    outcome_unknown  ///< the request may have run, may run now, or did not run
};

/// A caller's request. Times are Unix milliseconds.
struct client_request {
    std::string service;
    std::string id;
    std::optional<work_class> urgency;  ///< the service's class when absent
    std::int64_t deadline_ms{0};
    bool idempotent{false};
    std::int64_t first_sent_ms{0};    ///< when the caller first sent this id, the same in each attempt
    std::optional<unsigned> attempt;  ///< 0 for the first sending of an id, then one more each time
    std::string body;

    friend bool operator==(const client_request&, const client_request&) = default;
};

struct request_answer {
    request_outcome outcome{request_outcome::outcome_unknown};
    std::string reason;
    std::int64_t retry_after_ms{0};
    std::string body;

    friend bool operator==(const request_answer&, const request_answer&) = default;
};

/// Longest time ahead that a deadline may lie; a later one is shortened to it.
inline constexpr std::int64_t max_deadline_ahead_ms = 50'000;
inline constexpr std::size_t max_request_id_bytes = 128;

/// Decodes the body of `POST /v1/requests`. `now_ms` limits deadline and `first_sent_ms` (which defaults to
/// it and is never later). Errors: `malformed`, naming the key. Thread-safe.
[[nodiscard]] result<client_request> parse_client_request(const std::string& text, std::int64_t now_ms);

/// JSON text forms. Thread-safe.
[[nodiscard]] std::string to_json_text(const client_request& request);
[[nodiscard]] std::string to_json_text(const request_answer& answer);

/// Decodes another entry VM's answer. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<request_answer> parse_request_answer(const std::string& text);

/// The body of `POST /run` to a host. Thread-safe.
[[nodiscard]] std::string to_run_text(const client_request& request);

/// What a host said about a request.
struct host_answer {
    bool refused{false};  ///< certainly not run
    std::string body;
};

/// Checks a host's answer to `POST /run` against the request's id and the stated length, so that an answer
/// of another request or a part of one is never passed on. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<host_answer> parse_host_answer(int status, const std::string& text,
                                                    const std::string& id);

[[nodiscard]] const char* to_string(request_outcome outcome) noexcept;

}  // namespace guavaramp
