#include <guavaramp/net/tcp_probe.hpp>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace guavaramp {
namespace {

/// A TCP socket bound to a port of 127.0.0.1 that the kernel chooses.
struct bound_socket {
    int handle{-1};
    endpoint local;

    bound_socket() : handle(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        socklen_t size = sizeof address;
        getsockname(handle, reinterpret_cast<sockaddr*>(&address), &size);
        local = {.address = from_ipv4(INADDR_LOOPBACK), .port = ntohs(address.sin_port)};
    }
    bound_socket(const bound_socket&) = delete;
    bound_socket& operator=(const bound_socket&) = delete;
    ~bound_socket() { close(handle); }
};

finished_probe run_probe(const endpoint& target) {
    tcp_probes probes;
    probes.start(7, target, std::chrono::steady_clock::now());
    for (;;) {
        std::vector<pollfd> polled;
        probes.add_to_poll(polled);
        poll(polled.data(), polled.size(), 5);
        const auto finished = probes.collect(std::chrono::steady_clock::now());
        if (!finished.empty()) {
            return finished.front();
        }
    }
}

TEST_CASE("TcpProbeTest.AListeningPortConnects") {
    const bound_socket listener;
    REQUIRE(listen(listener.handle, 4) == 0);
    const auto finished = run_probe(listener.local);
    CHECK(finished.key == 7);
    CHECK(finished.outcome == connect_outcome::connected);
}

TEST_CASE("TcpProbeTest.APortWithoutAListenerRefuses") {
    const bound_socket closed;
    CHECK(run_probe(closed.local).outcome == connect_outcome::refused);
}

// Guards against a host taken as silent because the probing process did not run for a while.
TEST_CASE("TcpProbeTest.AConnectionThatStandsCountsEvenWhenItIsSeenAfterTheDeadline") {
    const bound_socket listener;
    REQUIRE(listen(listener.handle, 4) == 0);
    tcp_probes probes;
    const auto started = std::chrono::steady_clock::now();
    probes.start(7, listener.local, started);
    std::vector<pollfd> polled;
    probes.add_to_poll(polled);
    poll(polled.data(), polled.size(), -1);
    const auto finished = probes.collect(started + std::chrono::hours{1});
    REQUIRE(finished.size() == 1);
    CHECK(finished.front().outcome == connect_outcome::connected);
}

TEST_CASE("TcpProbeTest.TheNextDeadlineIsThatOfTheSecondAttemptAndThenThatOfTheProbe") {
    // Nothing answers at a listener whose queue of new connections is full; time is passed in.
    const bound_socket listener;
    REQUIRE(listen(listener.handle, 0) == 0);
    const mono_time started = std::chrono::steady_clock::now();
    const auto otherwise = started + std::chrono::hours{1};
    tcp_probes probes;
    CHECK(probes.next_deadline(otherwise) == otherwise);
    probes.start(7, listener.local, started);
    CHECK(probes.next_deadline(otherwise) == started + probe_second_attempt_after);
}

}  // namespace
}  // namespace guavaramp
