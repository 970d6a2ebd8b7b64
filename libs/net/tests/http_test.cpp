#include <guavaramp/net/http.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <vector>

namespace guavaramp {
namespace {

constexpr auto generous_deadline = std::chrono::seconds{20};

mono_time deadline() { return std::chrono::steady_clock::now() + generous_deadline; }

const endpoint server_endpoint{.address = from_ipv4(0x7f320001), .port = 18080};

// Guards against a client and server that lose the method, query, headers or body on the way.
TEST_CASE("HttpTest.ServerReceivesWhatTheClientSentAndAnswers") {
    auto server =
        start_http_server({.local = server_endpoint}, [](http_request request, http_responder respond) {
            respond({.status = 409,
                     .body = request.method + " " + request.path + " " + request.query["after"] + " " +
                             request.headers["x-key"] + " " + request.body});
            respond({.status = 200, .body = "a second answer must not be sent"});
        });
    REQUIRE_MESSAGE(server.has_value(), (server ? "" : server.error().message));
    http_client client;
    const auto outcome = client.run({.method = "PUT",
                                     .url = "http://" + to_string(server_endpoint) + "/v1/kv/a?after=7",
                                     .body = "text",
                                     .headers = {{"X-Key", "secret"}},
                                     .deadline = deadline()});
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->status == 409);
    CHECK(outcome.response->body == "PUT /v1/kv/a 7 secret text");
}

// Guards against reporting a request as possibly sent when no connection was made: callers are told "not run"
// on it.
TEST_CASE("HttpTest.RefusedConnectionIsReportedAsNotSent") {
    http_client client;
    const auto outcome = client.run({.url = "http://127.50.0.9:18081/", .deadline = deadline()});
    REQUIRE_FALSE(outcome.response.has_value());
    CHECK(outcome.response.error().kind == error_kind::unavailable);
    CHECK_FALSE(outcome.sent_request);
}

// Guards against requests of an entry VM that arrive from another address: the platform and peers tell entry
// VMs apart by it.
TEST_CASE("HttpTest.ClientConnectsFromItsLocalAddress") {
    auto server = start_http_server({.local = server_endpoint},
                                    [](const http_request& request, const http_responder& respond) {
                                        respond({.body = request.peer_address});
                                    });
    REQUIRE(server.has_value());
    http_client client{{.local_address = "127.50.0.7"}};
    const auto outcome =
        client.run({.url = "http://" + to_string(server_endpoint) + "/", .deadline = deadline()});
    REQUIRE(outcome.response.has_value());
    CHECK(outcome.response->body == "127.50.0.7");
}

// Guards against a use of the server's memory by an answer that comes after the server has ended; seen as a
// heap-use-after-free in the connection limiter under the address sanitizer.
TEST_CASE("HttpTest.AnswerAfterTheServerEndedDoesNothing") {
    std::vector<http_responder> held;
    std::atomic<bool> received{false};
    http_client client;
    {
        auto server =
            start_http_server({.local = server_endpoint}, [&](const http_request&, http_responder respond) {
                held.push_back(std::move(respond));
                received = true;
                received.notify_one();
            });
        REQUIRE(server.has_value());
        client.start({.url = "http://" + to_string(server_endpoint) + "/", .deadline = deadline()},
                     [](const http_outcome&) {});
        received.wait(false);
    }
    held.front()({.body = "late"});
    held.clear();
}

// Guards against a cancelled call that never ends or that claims the request was not sent.
TEST_CASE("HttpTest.CancelEndsACallThatTheServerHolds") {
    std::vector<http_responder> held;
    std::atomic<bool> received{false};
    auto server =
        start_http_server({.local = server_endpoint}, [&](const http_request&, http_responder respond) {
            held.push_back(std::move(respond));
            received = true;
            received.notify_one();
        });
    REQUIRE(server.has_value());
    http_client client;
    std::promise<http_outcome> promise;
    auto future = promise.get_future();
    const auto number =
        client.start({.url = "http://" + to_string(server_endpoint) + "/", .deadline = deadline()},
                     [&](http_outcome outcome) { promise.set_value(std::move(outcome)); });
    received.wait(false);
    client.cancel(number);
    const auto outcome = future.get();
    REQUIRE_FALSE(outcome.response.has_value());
    CHECK(outcome.response.error().kind == error_kind::cancelled);
    CHECK(outcome.sent_request);
}

}  // namespace
}  // namespace guavaramp
