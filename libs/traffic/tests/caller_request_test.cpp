#include <guavaramp/traffic/caller_request.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

constexpr std::int64_t now_ms = 1000;

caller_request make_request() {
    return {.id = "r-7", .body = "barrier at Han bridge", .deadline_ms = now_ms + 500, .attempts = 1};
}

// Guards against a partial answer, or one to another request, that counts as a whole answer.
TEST_CASE("CallerRequestTest.OnlyTheWholeAnswerToItsOwnRequestIsAccepted") {
    auto request = make_request();
    const auto whole = expected_answer(request);
    CHECK_FALSE(end_attempt(request, {}, {.has_answer = true, .outcome = "answered", .body = whole}, now_ms));
    CHECK(request.result == request_result::answered);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const attempt_end end{.has_answer = true, .outcome = "answered", .body = whole.substr(0, size)};
        CHECK_FALSE(end_attempt(request, {.max_attempts = 3}, end, now_ms));
        CHECK(request.result == request_result::wrong);
    }
    auto other = make_request();
    other.id = "r-8";
    static_cast<void>(end_attempt(
        request, {}, {.has_answer = true, .outcome = "answered", .body = expected_answer(other)}, now_ms));
    CHECK(request.result == request_result::wrong);
}

// Guards against answers after the deadline that count as goodput.
TEST_CASE("CallerRequestTest.AnswerAfterTheDeadlineIsLate") {
    auto request = make_request();
    const attempt_end end{.has_answer = true, .outcome = "answered", .body = expected_answer(request)};
    static_cast<void>(end_attempt(request, {}, end, request.deadline_ms + 1));
    CHECK(request.result == request_result::late);
}

// Guards against patient callers that ignore retry_after, and against retries without limit.
TEST_CASE("CallerRequestTest.RetriesFollowThePolicy") {
    auto request = make_request();
    const attempt_end refused{.has_answer = true, .outcome = "not_run", .retry_after_ms = 200};
    CHECK(end_attempt(request, {.max_attempts = 2}, refused, now_ms) == now_ms + 200);
    CHECK(end_attempt(request, {.max_attempts = 2, .obeys_retry_after = false}, refused, now_ms) == now_ms);
    CHECK_FALSE(end_attempt(request, {.max_attempts = 1}, refused, now_ms));
    CHECK_FALSE(end_attempt(request, {.max_attempts = 2}, refused, now_ms + 400));
}

}  // namespace
}  // namespace guavaramp
