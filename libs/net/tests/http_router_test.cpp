#include <guavaramp/net/http_router.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

http_response handle_request(const http_router& router, const std::string& method, const std::string& path) {
    http_response answer{.status = 0};
    router.handle({.method = method, .path = path},
                  [&answer](http_response response) { answer = std::move(response); });
    return answer;
}

// Guards against a path that reaches the handler of a shorter prefix, and against requests that are not
// answered at all because no route matches.
TEST_CASE("HttpRouterTest.UsesLongestMatchAndAnswersErrorWhenNoRouteMatches") {
    http_router router;
    const auto answer = [](const char* text) {
        return [text](const http_request&, const http_responder& respond) { respond({.body = text}); };
    };
    router.add("GET", "/v1/", answer("short"));
    router.add("GET", "/v1/kv/", answer("long"));
    router.add("GET", "/v1/vms", answer("exact"));
    CHECK(handle_request(router, "GET", "/v1/kv/a/b").body == "long");
    CHECK(handle_request(router, "GET", "/v1/vms").body == "exact");
    CHECK(handle_request(router, "GET", "/v1/other").body == "short");
    CHECK(handle_request(router, "POST", "/v1/vms").status == 405);
    CHECK(handle_request(router, "GET", "/v2").status == 404);
    CHECK(handle_request(router, "GET", "").status == 404);
}

}  // namespace
}  // namespace guavaramp
