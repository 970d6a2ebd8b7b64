#include <guavaramp/platform/http_key_value_store.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <vector>

namespace guavaramp {
namespace {

const endpoint address{.address = from_ipv4(0x7f320002), .port = 18090};

mono_time deadline() { return std::chrono::steady_clock::now() + std::chrono::seconds{20}; }

http_response ok(const nlohmann::json& body) { return {.body = body.dump()}; }

/// A platform that answers by a function, and a store that calls it.
struct setup {
    std::unique_ptr<http_server> server;
    http_client client;
    http_key_value_store store{client, {.base_url = "http://" + to_string(address)}};

    explicit setup(http_handler handler) {
        auto started = start_http_server({.local = address}, std::move(handler));
        REQUIRE_MESSAGE(started.has_value(), (started ? "" : started.error().message));
        server = *std::move(started);
    }
};

// Guards against a write that is sent again after its answer was lost, by this client or by libcurl, which
// repeats a request when a reused connection closes.
TEST_CASE("HttpKeyValueStoreTest.LostAnswerToAWriteIsReportedAndNotRepeated") {
    std::atomic<int> writes{0};
    setup platform{[&writes](const http_request& request, const http_responder& respond) {
        if (request.method == "PUT") {
            ++writes;  // takes effect; the connection closes without an answer
            return;
        }
        respond(ok({{"value", "x"}, {"revision", 3}}));
    }};
    REQUIRE(platform.store.get("a", deadline()).has_value());
    const auto written = platform.store.put("a", "y", 3, deadline());
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().kind == error_kind::outcome_unknown);
    CHECK(writes == 1);
}

// Guards against a write that is reported as unknown, or as failed, although the platform rejected it without
// effect and would accept it a moment later.
TEST_CASE("HttpKeyValueStoreTest.WriteThatThePlatformRejectedIsRepeated") {
    std::atomic<int> writes{0};
    setup platform{[&writes](const http_request&, const http_responder& respond) {
        if (++writes <= 2) {
            respond({.status = 503, .body = R"({"error":"unavailable"})"});
            return;
        }
        respond(ok({{"revision", 4}}));
    }};
    const auto written = platform.store.put("a", "y", 3, deadline());
    REQUIRE(written.has_value());
    CHECK(*written == 4);
    CHECK(writes == 3);
    CHECK(platform.store.calls(platform_call::put) == 3);
}

// Guards against "outcome unknown" for a write that certainly was not sent: operators would have to look.
TEST_CASE("HttpKeyValueStoreTest.UnreachablePlatformIsUnavailable") {
    http_client client;
    http_key_value_store store{client, {.base_url = "http://127.50.0.9:18091"}};
    const auto written =
        store.put("a", "y", 3, std::chrono::steady_clock::now() + std::chrono::milliseconds{300});
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().kind == error_kind::unavailable);
}

// Guards against answers of the platform that are taken for something else.
TEST_CASE("HttpKeyValueStoreTest.AnswersAreDecoded") {
    std::vector<std::string> paths;
    setup platform{[&paths](const http_request& request, const http_responder& respond) {
        paths.push_back(request.method + " " + request.path);
        if (request.path == "/v1/vms") {
            respond({.body = R"({"vms":[{"address":"127.10.1.1","failure_domain":"d","leaving":true}]})"});
        } else if (request.path.starts_with("/v1/watch/")) {
            respond({.status = 204});
        } else if (request.method == "PUT") {
            respond({.status = 409, .body = R"({"error":"conflict","message":"m"})"});
        } else if (request.path == "/v1/list") {
            respond({.body = R"({"keys":[{"key":")" + request.query.at("prefix") + R"(","revision":2}]})"});
        } else if (request.path == "/v1/kv/damaged") {
            respond({.body = "{"});
        } else {
            respond({.status = 404, .body = R"({"error":"not_found"})"});
        }
    }};
    const auto missing = platform.store.get("a/b c", deadline());
    REQUIRE(missing.has_value());
    CHECK_FALSE(missing->has_value());
    CHECK(paths.back() == "GET /v1/kv/a/b%20c");
    CHECK(platform.store.get("damaged", deadline()).error().kind == error_kind::malformed);
    CHECK(platform.store.put("a", "y", 0, deadline()).error().kind == error_kind::conflict);
    const auto unchanged = platform.store.watch("a", 1, deadline());
    REQUIRE(unchanged.has_value());
    CHECK_FALSE(unchanged->has_value());
    const auto keys = platform.store.list("p/", deadline());
    REQUIRE(keys.has_value());
    CHECK(*keys == std::vector{std::pair<std::string, std::uint64_t>{"p/", 2}});
    const auto vms = platform.store.vms(deadline());
    REQUIRE(vms.has_value());
    CHECK(*vms == std::vector{listed_vm{"127.10.1.1", "d", "default", true}});
}

}  // namespace
}  // namespace guavaramp
