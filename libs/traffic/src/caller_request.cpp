#include <guavaramp/traffic/caller_request.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

request_result result_of(const caller_request& request, const attempt_end& end, std::int64_t now_ms) {
    if (!end.has_answer) {
        return request_result::no_answer;
    }
    if (end.outcome == "answered") {
        if (end.body != expected_answer(request)) {
            return request_result::wrong;
        }
        return now_ms <= request.deadline_ms ? request_result::answered : request_result::late;
    }
    if (end.outcome == "not_run") {
        return request_result::not_run;
    }
    return end.outcome == "outcome_unknown" ? request_result::outcome_unknown : request_result::no_answer;
}

}  // namespace

const char* to_string(request_result value) noexcept {
    switch (value) {
        case request_result::pending:
            return "pending";
        case request_result::answered:
            return "answered";
        case request_result::late:
            return "late";
        case request_result::wrong:
            return "wrong";
        case request_result::not_run:
            return "not_run";
        case request_result::outcome_unknown:
            return "outcome_unknown";
        case request_result::no_answer:
            return "no_answer";
    }
    return "unknown";
}

std::string expected_answer(const caller_request& request) { return request.id + ":" + request.body; }

std::optional<std::int64_t> end_attempt(caller_request& request, const retry_policy& policy,
                                        const attempt_end& end, std::int64_t now_ms) {
    request.result = result_of(request, end, now_ms);
    const bool retryable =
        request.result == request_result::not_run || request.result == request_result::no_answer;
    if (!retryable || request.attempts >= policy.max_attempts) {
        return std::nullopt;
    }
    std::int64_t wait_ms = policy.retry_pause_ms;
    if (request.result == request_result::not_run && policy.obeys_retry_after) {
        wait_ms = std::max(wait_ms, end.retry_after_ms);
    }
    const auto retry_ms = now_ms + wait_ms;
    return retry_ms < request.deadline_ms ? std::optional{retry_ms} : std::nullopt;
}

}  // namespace guavaramp
