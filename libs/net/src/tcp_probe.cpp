#include "socket_address.hpp"

#include <guavaramp/net/tcp_probe.hpp>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <initializer_list>
#include <optional>

namespace guavaramp {
namespace {

void close_socket(int& handle) noexcept {
    if (handle >= 0) {
        close(handle);
        handle = -1;
    }
}

struct opened_socket {
    int handle{-1};
    std::optional<connect_outcome> outcome;
};

std::optional<connect_outcome> outcome_of(int failure) noexcept {
    switch (failure) {
        case 0:
            return connect_outcome::connected;
        case EINPROGRESS:
            return std::nullopt;
        case ECONNREFUSED:
        case ECONNRESET:
            return connect_outcome::refused;
        default:
            return connect_outcome::silent;
    }
}

opened_socket open_socket(const endpoint& target) noexcept {
    const int family = is_ipv4(target.address) ? AF_INET : AF_INET6;
    opened_socket opened{.handle = socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (opened.handle < 0) {
        return opened;
    }
    socklen_t size = 0;
    const auto address = to_sockaddr(target, size);
    const int failed = connect(opened.handle, reinterpret_cast<const sockaddr*>(&address), size);
    opened.outcome = outcome_of(failed == 0 ? 0 : errno);
    return opened;
}

/// The outcome of a connection attempt in progress; nothing while it goes on.
std::optional<connect_outcome> check_socket(int handle) noexcept {
    if (handle < 0) {
        return std::nullopt;
    }
    pollfd polled{.fd = handle, .events = POLLOUT, .revents = 0};
    if (poll(&polled, 1, 0) <= 0) {
        return std::nullopt;
    }
    int failure = 0;
    socklen_t size = sizeof failure;
    if (getsockopt(handle, SOL_SOCKET, SO_ERROR, &failure, &size) != 0) {
        return connect_outcome::silent;
    }
    return outcome_of(failure);
}

/// The outcome of any of a probe's attempts; a connection outranks a refusal.
std::optional<connect_outcome> outcome_of_any(std::initializer_list<int> handles) noexcept {
    std::optional<connect_outcome> outcome;
    for (const int handle : handles) {
        const auto checked = check_socket(handle);
        if (checked && outcome != connect_outcome::connected) {
            outcome = checked;
        }
    }
    return outcome;
}

}  // namespace

tcp_probes::~tcp_probes() {
    for (auto& probe : running_) {
        close_socket(probe.first);
        close_socket(probe.second);
        close_socket(probe.third);
        close_socket(probe.reference_socket);
    }
}

void tcp_probes::start(std::uint32_t key, const endpoint& target, const std::optional<endpoint>& reference,
                       mono_time now) {
    const auto opened = open_socket(target);
    running_.push_back({.key = key,
                        .target = target,
                        .reference = reference,
                        .started = now,
                        .first = opened.handle,
                        .refused = opened.outcome == connect_outcome::refused});
}

void tcp_probes::add_to_poll(std::vector<pollfd>& polled) const {
    for (const auto& probe : running_) {
        for (const int handle : {probe.first, probe.second, probe.third, probe.reference_socket}) {
            if (handle >= 0) {
                polled.push_back({.fd = handle, .events = POLLOUT, .revents = 0});
            }
        }
    }
}

mono_time tcp_probes::next_deadline(mono_time otherwise) const {
    for (const auto& probe : running_) {
        otherwise = std::min(otherwise, probe.started + next_wait(probe));
    }
    return otherwise;
}

std::chrono::milliseconds tcp_probes::next_wait(const attempt& probe) noexcept {
    if (probe.second < 0) {
        return probe_second_attempt_after;
    }
    if (probe.third < 0) {
        return probe_third_attempt_after;
    }
    return probe.reference_answered ? probe_timeout : probe_longest_time;
}

void tcp_probes::start_second_attempts(attempt& probe) {
    const auto opened = open_socket(probe.target);
    probe.second = opened.handle;
    probe.refused = opened.outcome == connect_outcome::refused;
    if (probe.reference) {
        const auto reference = open_socket(*probe.reference);
        probe.reference_socket = reference.handle;
        probe.reference_answered = reference.outcome.has_value();
    }
}

std::vector<finished_probe> tcp_probes::collect(mono_time now) {
    std::vector<finished_probe> finished;
    std::erase_if(running_, [now, &finished](attempt& probe) {
        auto outcome = outcome_of_any({probe.first, probe.second, probe.third});
        if (probe.refused) {
            outcome = connect_outcome::refused;
        }
        // Any outcome of the reference shows that packets of the same age come through.
        if (!probe.reference_answered && check_socket(probe.reference_socket)) {
            probe.reference_answered = true;
            close_socket(probe.reference_socket);
        }
        const auto limit = probe.reference_answered ? probe_timeout : probe_longest_time;
        if (!outcome && now >= probe.started + limit) {
            outcome = connect_outcome::silent;
        }
        if (!outcome) {
            if (probe.second < 0 && now >= probe.started + probe_second_attempt_after) {
                start_second_attempts(probe);
            }
            if (probe.third < 0 && now >= probe.started + probe_third_attempt_after) {
                probe.third = open_socket(probe.target).handle;
            }
            return false;
        }
        close_socket(probe.first);
        close_socket(probe.second);
        close_socket(probe.third);
        close_socket(probe.reference_socket);
        finished.push_back({.key = probe.key, .outcome = *outcome, .started = probe.started});
        return true;
    });
    return finished;
}

}  // namespace guavaramp
