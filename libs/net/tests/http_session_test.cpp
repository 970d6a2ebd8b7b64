#include <guavaramp/net/attached_http_server.hpp>
#include <guavaramp/net/http_session.hpp>

#include <asio.hpp>
#include <doctest/doctest.h>

#include <optional>

namespace guavaramp {
namespace {

using asio::ip::tcp;

mono_time after_ms(int ms) { return std::chrono::steady_clock::now() + std::chrono::milliseconds{ms}; }

/// A server that answers each connection with fixed bytes, whatever is asked.
struct scripted_server {
    asio::io_context& context;
    tcp::acceptor acceptor;
    std::vector<std::string> answers;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::size_t connections{0};

    scripted_server(asio::io_context& io, std::vector<std::string> scripted)
        : context(io),
          acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}),
          answers(std::move(scripted)) {
        accept();
    }

    void accept() {
        auto socket = std::make_shared<tcp::socket>(context);
        acceptor.async_accept(*socket, [this, socket](const std::error_code& failure) {
            if (failure) {
                return;
            }
            sockets.push_back(socket);
            answer(socket, answers.at(std::min(connections++, answers.size() - 1)));
            accept();
        });
    }

    static void answer(const std::shared_ptr<tcp::socket>& socket, const std::string& text) {
        auto buffer = std::make_shared<std::string>(4096, '\0');
        socket->async_read_some(asio::buffer(*buffer),
                                [socket, buffer, text](const std::error_code& failure, std::size_t) {
                                    if (failure || text.empty()) {
                                        return;
                                    }
                                    asio::write(*socket, asio::buffer(text));
                                    answer(socket, text);
                                });
    }

    [[nodiscard]] endpoint local() const {
        return {.address = from_ipv4(INADDR_LOOPBACK), .port = acceptor.local_endpoint().port()};
    }
};

std::string ok_answer(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

result<http_response> run_get(asio::io_context& io, http_session& session, int deadline_ms = 2000) {
    std::optional<result<http_response>> outcome;
    session.get("/x", after_ms(deadline_ms),
                [&outcome](result<http_response> ended) { outcome = std::move(ended); });
    while (!outcome) {
        io.run_one();
    }
    return *outcome;
}

TEST_CASE("HttpSessionTest.CallsReuseTheConnection") {
    asio::io_context io;
    scripted_server server{io, {ok_answer("one")}};
    http_session session{io, server.local()};
    CHECK(run_get(io, session)->body == "one");
    CHECK(run_get(io, session)->body == "one");
    CHECK(server.connections == 1);
}

TEST_CASE("HttpSessionTest.AStatusIsAnAnswerAndNoError") {
    asio::io_context io;
    scripted_server server{io, {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}};
    http_session session{io, server.local()};
    CHECK(run_get(io, session)->status == 503);
}

/// A server that sends one answer in pieces with a pause before each.
struct slow_server {
    tcp::acceptor acceptor;
    tcp::socket socket;
    asio::steady_timer timer;
    std::vector<std::string> pieces;
    std::chrono::milliseconds pause;

    slow_server(asio::io_context& io, std::vector<std::string> scripted, std::chrono::milliseconds between)
        : acceptor(io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}),
          socket(io),
          timer(io),
          pieces(std::move(scripted)),
          pause(between) {
        acceptor.async_accept(socket, [this](const std::error_code&) { send(0); });
    }

    void send(std::size_t position) {
        if (position == pieces.size()) {
            return;
        }
        timer.expires_after(pause);
        timer.async_wait([this, position](const std::error_code& failure) {
            if (!failure) {
                asio::write(socket, asio::buffer(pieces[position]));
                send(position + 1);
            }
        });
    }

    [[nodiscard]] endpoint local() const {
        return {.address = from_ipv4(INADDR_LOOPBACK), .port = acceptor.local_endpoint().port()};
    }
};

result<http_response> run_get_within(asio::io_context& io, http_session& session, const call_limits& limits) {
    std::optional<result<http_response>> outcome;
    session.get("/x", limits, [&outcome](result<http_response> ended) { outcome = std::move(ended); });
    while (!outcome) {
        io.run_one();
    }
    return *outcome;
}

// Guards against transfers that are given up and begun anew while a store with many readers still sends them.
TEST_CASE("HttpSessionTest.AnAnswerThatMakesProgressMayTakeLongerThanItsStart") {
    asio::io_context io;
    slow_server server{io,
                       {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n", "a", "b", "c", "d", "e", "f"},
                       std::chrono::milliseconds{200}};
    http_session session{io, server.local()};
    const auto answer = run_get_within(io, session,
                                       {.first_byte_deadline = after_ms(1000),
                                        .idle_timeout = std::chrono::milliseconds{1000},
                                        .deadline = after_ms(60'000)});
    REQUIRE(answer.has_value());
    CHECK(answer->body == "abcdef");
}

// Guards against a call that hangs on a connection that went silent in the middle of an answer.
TEST_CASE("HttpSessionTest.AnAnswerThatStopsIsGivenUpBeforeTheCallsDeadline") {
    asio::io_context io;
    slow_server server{io, {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc"}, std::chrono::milliseconds{1}};
    http_session session{io, server.local()};
    const auto deadline = after_ms(60'000);
    const auto answer = run_get_within(io, session,
                                       {.first_byte_deadline = after_ms(10'000),
                                        .idle_timeout = std::chrono::milliseconds{100},
                                        .deadline = deadline});
    REQUIRE_FALSE(answer.has_value());
    CHECK(answer.error().kind == error_kind::deadline_exceeded);
    CHECK(std::chrono::steady_clock::now() < deadline);
}

// Guards against a late answer that is taken for that of the next call.
TEST_CASE("HttpSessionTest.AfterADeadlineTheNextCallUsesANewConnection") {
    asio::io_context io;
    scripted_server server{io, {"", ok_answer("two")}};
    http_session session{io, server.local()};
    const auto late = run_get(io, session, 50);
    REQUIRE_FALSE(late.has_value());
    CHECK(late.error().kind == error_kind::deadline_exceeded);
    CHECK(run_get(io, session)->body == "two");
    CHECK(server.connections == 2);
}

TEST_CASE("HttpSessionTest.ACancelledCallDoesNotEndAndTheSessionIsFree") {
    asio::io_context io;
    scripted_server server{io, {"", ok_answer("two")}};
    http_session session{io, server.local()};
    bool ended = false;
    session.get("/x", after_ms(2000), [&ended](const result<http_response>&) { ended = true; });
    session.cancel();
    CHECK_FALSE(session.is_busy());
    CHECK(run_get(io, session).has_value());
    CHECK_FALSE(ended);
}

TEST_CASE("HttpSessionTest.BytesThatAreNoHttpAreMalformed") {
    asio::io_context io;
    scripted_server server{io, {"SSH-2.0-x\r\n"}};
    http_session session{io, server.local()};
    CHECK(run_get(io, session).error().kind == error_kind::malformed);
}

TEST_CASE("HttpSessionTest.ATruncatedAnswerIsAnError") {
    asio::io_context io;
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    tcp::socket accepted{io};
    acceptor.async_accept(accepted, [&accepted](const std::error_code&) {
        asio::write(accepted, asio::buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"}));
        accepted.shutdown(tcp::socket::shutdown_send);
    });
    http_session session{io,
                         {.address = from_ipv4(INADDR_LOOPBACK), .port = acceptor.local_endpoint().port()}};
    CHECK(run_get(io, session).error().kind == error_kind::unavailable);
}

TEST_CASE("HttpSessionTest.AnAttachedServerAnswersOnTheSameContext") {
    asio::io_context io;
    // Port 0 is not reported back by the server, so a port is chosen by a socket that is closed again.
    tcp::acceptor chooser{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    const endpoint local{.address = from_ipv4(INADDR_LOOPBACK), .port = chooser.local_endpoint().port()};
    chooser.close();
    auto server = attach_http_server(
        io, {.local = local},
        [](const http_request& request, const http_responder& respond) { respond({.body = request.path}); });
    REQUIRE(server.has_value());
    http_session session{io, local};
    CHECK(run_get(io, session)->body == "/x");
}

}  // namespace
}  // namespace guavaramp
