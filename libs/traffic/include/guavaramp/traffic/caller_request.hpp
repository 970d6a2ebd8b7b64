#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace guavaramp {

/// What a caller knows about its request.
enum class request_result : std::uint8_t {
    pending,
    answered,         ///< whole answer to this request, before the deadline
    late,             ///< whole answer after the deadline
    wrong,            ///< an answer to something else, or a partial one
    not_run,          ///< told that the request certainly did not run
    outcome_unknown,  ///< told that it is unknown whether it ran
    no_answer         ///< nothing told
};

[[nodiscard]] const char* to_string(request_result value) noexcept;

/// How callers retry.
struct retry_policy {
    int max_attempts{1};
    std::int64_t patience_ms{0};     ///< an attempt without answer ends after this; 0: at the deadline
    bool obeys_retry_after{true};    ///< false: a request that was not run is sent again at once
    std::int64_t retry_pause_ms{0};  ///< least wait before a further attempt
};

struct caller_request {
    std::string id;
    std::string body;
    std::int64_t first_sent_ms{0};  ///< Unix time, the same for every attempt
    std::int64_t deadline_ms{0};    ///< Unix time
    int attempts{0};
    request_result result{request_result::pending};
};

/// The end of one attempt.
struct attempt_end {
    bool has_answer{false};  ///< false: timed out or connection failed
    std::string outcome;     ///< "answered", "not_run", "outcome_unknown"; other texts count as no answer
    std::string body;
    std::int64_t retry_after_ms{0};
};

/// The body of the whole answer to a request: hosts answer with the id and the request's body.
[[nodiscard]] std::string expected_answer(const caller_request& request);

/// Records the end of an attempt at `now_ms` and returns when to send the request again, if it is to be sent
/// again. Only requests that are not answered before their deadline are. Thread-safe.
[[nodiscard]] std::optional<std::int64_t> end_attempt(caller_request& request, const retry_policy& policy,
                                                      const attempt_end& end, std::int64_t now_ms);

}  // namespace guavaramp
