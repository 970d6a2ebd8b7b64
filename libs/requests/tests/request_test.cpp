#include <guavaramp/requests/request.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

constexpr std::int64_t now_ms = 1'000'000;

// Guards against fields that are lost between the entry VM that received a request and its owner.
TEST_CASE("RequestTest.ForwardedRequestKeepsItsFields") {
    const client_request request{.service = "dispatch",
                                 .id = "order-1",
                                 .urgency = work_class::urgent,
                                 .deadline_ms = now_ms + 500,
                                 .idempotent = true,
                                 .first_sent_ms = now_ms - 20,
                                 .attempt = 3,
                                 .body = "{\"gate\":4}"};
    CHECK(parse_client_request(to_json_text(request), now_ms) == request);
}

// Guards against a type error in a caller's JSON that ends the daemon by an exception.
TEST_CASE("RequestTest.WrongTypesAreRefused") {
    for (const char* text :
         {"", "[]", R"({"service":1,"id":"a","deadline_ms":1})", R"({"service":"s","id":"","deadline_ms":1})",
          R"({"service":"s","id":"a"})", R"({"service":"s","id":"a","deadline_ms":"1"})",
          R"({"service":"s","id":"a","deadline_ms":1,"class":7})",
          R"({"service":"s","id":"a","deadline_ms":1,"class":"slow"})",
          R"({"service":"s","id":"a","deadline_ms":1,"idempotent":1})",
          R"({"service":"s","id":"a","deadline_ms":1,"attempt":"x"})"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_client_request(text, now_ms).has_value());
    }
}

// Guards against a first sending in the future, with which an id would look new to every later owner.
TEST_CASE("RequestTest.FirstSendingIsNeverInTheFuture") {
    const auto request = parse_client_request(
        R"({"service":"s","id":"a","deadline_ms":99999999999999,"first_sent_ms":99999999999999})", now_ms);
    REQUIRE(request.has_value());
    CHECK(request->first_sent_ms == now_ms);
    CHECK(request->deadline_ms == now_ms + max_deadline_ahead_ms);
}

// Guards against passing on a cut answer, an answer of another request, or an error page as an answer.
TEST_CASE("RequestTest.OnlyWholeMatchingHostAnswersAreAccepted") {
    const std::string whole = R"({"outcome":"answered","id":"a","length":4,"body":"done"})";
    REQUIRE(parse_host_answer(200, whole, "a").has_value());
    CHECK(parse_host_answer(200, whole, "a")->body == "done");
    CHECK_FALSE(parse_host_answer(200, whole, "b").has_value());
    CHECK_FALSE(parse_host_answer(500, whole, "a").has_value());
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(parse_host_answer(200, whole.substr(0, size), "a").has_value());
    }
    CHECK_FALSE(parse_host_answer(200, R"({"outcome":"answered","id":"a","length":5,"body":"done"})", "a")
                    .has_value());
}

// Guards against "not run" for a failure that is not an explicit refusal.
TEST_CASE("RequestTest.OnlyAnExplicitRefusalCountsAsRefused") {
    CHECK(parse_host_answer(503, R"({"outcome":"refused"})", "a")->refused);
    CHECK_FALSE(parse_host_answer(503, "Service Unavailable", "a").has_value());
    CHECK_FALSE(parse_host_answer(200, R"({"outcome":"refused"})", "a").has_value());
    CHECK_FALSE(parse_host_answer(499, R"({"outcome":"cancelled","id":"a"})", "a").has_value());
}

}  // namespace
}  // namespace guavaramp
