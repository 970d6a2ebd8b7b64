#include "socket_address.hpp"

#include <guavaramp/net/tcp_prober.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <optional>
#include <span>

namespace guavaramp {
namespace {

void close_socket(int& handle) noexcept {
    if (handle >= 0) {
        close(handle);
        handle = -1;
    }
}

/// A socket with a connection attempt; `outcome` is `std::nullopt` while the attempt is in progress.
struct connecting_socket {
    int handle{-1};  ///< -1 if no socket could be created
    std::optional<connect_outcome> outcome;
};

/// Returns the outcome of a connection attempt with the given error number, or `std::nullopt` while the
/// attempt is in progress.
std::optional<connect_outcome> outcome_from_errno(int error_number) noexcept {
    switch (error_number) {
        case 0:
        // A reset of an established connection: the process accepted it and closed it, for example because it
        // has too many connections. Only a port without a listener refuses the connection itself.
        case ECONNRESET:
            return connect_outcome::connected;
        case EINPROGRESS:
            return std::nullopt;
        case ECONNREFUSED:
            return connect_outcome::refused;
        default:
            return connect_outcome::no_answer;
    }
}

connecting_socket start_connect(const endpoint& target) noexcept {
    const int family = is_ipv4(target.address) ? AF_INET : AF_INET6;
    connecting_socket opened{.handle = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (opened.handle < 0) {
        return opened;
    }
    socklen_t size = 0;
    const auto address = to_sockaddr(target, size);
    const int status = connect(opened.handle, reinterpret_cast<const sockaddr*>(&address), size);
    opened.outcome = outcome_from_errno(status == 0 ? 0 : errno);
    return opened;
}

/// Returns the outcome of the connection attempt of the socket `handle`, or `std::nullopt` if the attempt is
/// still in progress or `handle` is negative.
std::optional<connect_outcome> poll_outcome(int handle) noexcept {
    if (handle < 0) {
        return std::nullopt;
    }
    pollfd polled{.fd = handle, .events = POLLOUT, .revents = 0};
    if (poll(&polled, 1, 0) <= 0) {
        return std::nullopt;
    }
    int error_number = 0;
    socklen_t size = sizeof error_number;
    if (getsockopt(handle, SOL_SOCKET, SO_ERROR, &error_number, &size) != 0) {
        return connect_outcome::no_answer;
    }
    return outcome_from_errno(error_number);
}

/// Returns an outcome of the connection attempts of the sockets `handles`, or `std::nullopt` if all are still
/// in progress. An established connection takes precedence over any other outcome.
std::optional<connect_outcome> combined_outcome(std::span<const int> handles) noexcept {
    std::optional<connect_outcome> outcome;
    for (const int handle : handles) {
        const auto checked = poll_outcome(handle);
        if (checked && outcome != connect_outcome::connected) {
            outcome = checked;
        }
    }
    return outcome;
}

/// Delays of the attempts to connect to the target, after the start of the probe.
constexpr std::array<std::chrono::milliseconds, max_probe_attempts> attempt_delays{
    std::chrono::milliseconds{0}, probe_second_attempt_delay, probe_third_attempt_delay};

}  // namespace

tcp_prober::~tcp_prober() {
    for (auto& probe : running_) {
        close_sockets(probe);
    }
}

void tcp_prober::start(std::uint32_t key, const endpoint& target, const std::optional<endpoint>& reference,
                       mono_time now) {
    auto& probe = running_.emplace_back(
        running_probe{.key = key, .target = target, .reference = reference, .started = now});
    start_attempt(probe);
}

void tcp_prober::add_to_poll(std::vector<pollfd>& polled) const {
    const auto add = [&polled](int handle) {
        if (handle >= 0) {
            polled.push_back({.fd = handle, .events = POLLOUT, .revents = 0});
        }
    };
    for (const auto& probe : running_) {
        std::ranges::for_each(probe.sockets, add);
        add(probe.reference_socket);
    }
}

mono_time tcp_prober::next_deadline(mono_time fallback) const {
    for (const auto& probe : running_) {
        fallback = std::min(fallback, probe.started + next_wait(probe));
    }
    return fallback;
}

std::chrono::milliseconds tcp_prober::next_wait(const running_probe& probe) noexcept {
    if (probe.attempts_started < max_probe_attempts) {
        return attempt_delays.at(probe.attempts_started);
    }
    return probe.has_reference_answered ? probe_timeout_with_reference : probe_timeout_without_reference;
}

void tcp_prober::start_attempt(running_probe& probe) {
    const auto opened = start_connect(probe.target);
    probe.sockets.at(probe.attempts_started) = opened.handle;
    probe.is_refused = probe.is_refused || opened.outcome == connect_outcome::refused;
    ++probe.attempts_started;
    if (probe.attempts_started == 2 && probe.reference) {
        const auto reference = start_connect(*probe.reference);
        probe.reference_socket = reference.handle;
        probe.has_reference_answered = reference.outcome.has_value();
    }
}

void tcp_prober::close_sockets(running_probe& probe) noexcept {
    std::ranges::for_each(probe.sockets, close_socket);
    close_socket(probe.reference_socket);
}

std::vector<finished_probe> tcp_prober::collect_finished(mono_time now) {
    std::vector<finished_probe> finished;
    std::erase_if(running_, [now, &finished](running_probe& probe) {
        const bool is_attempt_due = probe.attempts_started < max_probe_attempts &&
                                    now >= probe.started + attempt_delays.at(probe.attempts_started);
        auto outcome = combined_outcome(probe.sockets);
        if (!outcome && !probe.is_refused && is_attempt_due) {
            start_attempt(probe);
        }
        // An attempt that was refused at once has no error left for `combined_outcome` to find.
        if (probe.is_refused) {
            outcome = connect_outcome::refused;
        }
        // Any outcome of the reference's attempt, also a refusal, shows that packets of the same age get
        // through.
        if (!probe.has_reference_answered && poll_outcome(probe.reference_socket)) {
            probe.has_reference_answered = true;
            close_socket(probe.reference_socket);
        }
        const auto timeout =
            probe.has_reference_answered ? probe_timeout_with_reference : probe_timeout_without_reference;
        if (!outcome && now >= probe.started + timeout) {
            outcome = connect_outcome::no_answer;
        }
        if (!outcome) {
            return false;
        }
        close_sockets(probe);
        finished.push_back({.key = probe.key, .outcome = *outcome, .started = probe.started});
        return true;
    });
    return finished;
}

}  // namespace guavaramp
