#include <guavaramp/net/tcp_probe.hpp>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

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
    probes.start(7, target, std::nullopt, std::chrono::steady_clock::now());
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
    probes.start(7, listener.local, std::nullopt, started);
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
    probes.start(7, listener.local, std::nullopt, started);
    CHECK(probes.next_deadline(otherwise) == started + probe_second_attempt_after);
}

/// A listener on loopback whose queue of new connections is full, so that the kernel drops further ones in
/// silence.
struct silent_listener {
    bound_socket listener;
    std::array<int, 4> fillers{};

    silent_listener() {
        REQUIRE(listen(listener.handle, 0) == 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(listener.local.port);
        for (int& filler : fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)connect(filler, reinterpret_cast<sockaddr*>(&address), sizeof address);
        }
    }
    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;
    ~silent_listener() {
        for (const int filler : fillers) {
            close(filler);
        }
    }
};

/// Whether the probe of an address that does not answer has ended `after` its start.
bool ends_after(const std::optional<endpoint>& reference, std::chrono::milliseconds after) {
    const silent_listener silent;
    const mono_time started = std::chrono::steady_clock::now();
    tcp_probes probes;
    probes.start(7, silent.listener.local, reference, started);
    (void)probes.collect(started + probe_second_attempt_after);
    return !probes.collect(started + after).empty();
}

// Guards against resets of living flows because this machine's own link was busy with a large configuration
// (azulejo-austro-grown, scale-1 --vary --seed 316769299981).
TEST_CASE("TcpProbeTest.SilenceCountsEarlyOnlyWhenAReferenceHasBeenAnswered") {
    const bound_socket listener;
    REQUIRE(listen(listener.handle, 4) == 0);
    CHECK(ends_after(listener.local, probe_timeout));
    CHECK_FALSE(ends_after(std::nullopt, probe_timeout));
    CHECK(ends_after(std::nullopt, probe_longest_time));
}

}  // namespace
}  // namespace guavaramp
