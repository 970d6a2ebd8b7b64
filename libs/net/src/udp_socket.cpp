#include "socket_address.hpp"

#include <guavaramp/net/udp_socket.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace guavaramp {
namespace {

constexpr std::size_t batch_size = 64;

using packet_buffer = std::array<std::byte, max_datagram_size>;

}  // namespace

struct udp_socket::state {
    int handle{-1};
    endpoint bound;
    std::uint64_t oversized_datagrams{0};
    std::uint64_t send_failures{0};

    // Left uninitialised, so that pages of buffers that are never used take no memory.
    std::array<packet_buffer, batch_size> receive_buffers;
    std::array<iovec, batch_size> receive_vectors{};
    std::array<mmsghdr, batch_size> receive_messages{};
    std::array<sockaddr_storage, batch_size> receive_sources{};
    std::array<datagram, batch_size> received{};

    std::array<packet_buffer, batch_size> send_buffers;
    std::array<iovec, batch_size> send_vectors{};
    std::array<mmsghdr, batch_size> send_messages{};
    std::array<sockaddr_storage, batch_size> send_targets{};
    std::size_t queued{0};

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() {
        if (handle >= 0) {
            close(handle);
        }
    }
};

udp_socket::udp_socket(std::unique_ptr<state> owned) noexcept : state_(std::move(owned)) {}
udp_socket::udp_socket(udp_socket&&) noexcept = default;
udp_socket& udp_socket::operator=(udp_socket&&) noexcept = default;
udp_socket::~udp_socket() = default;

result<udp_socket> udp_socket::bind(const endpoint& local, std::size_t receive_buffer_bytes) {
    auto owned = std::make_unique_for_overwrite<state>();
    const int family = is_ipv4(local.address) ? AF_INET : AF_INET6;
    owned->handle = socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (owned->handle < 0) {
        return fail(error_kind::unavailable,
                    std::string{"cannot create a UDP socket: "} + std::strerror(errno));
    }
    const int buffer = static_cast<int>(receive_buffer_bytes);
    // SO_RCVBUFFORCE may exceed the system's limit but needs a privilege; SO_RCVBUF is the fallback.
    if (setsockopt(owned->handle, SOL_SOCKET, SO_RCVBUFFORCE, &buffer, sizeof buffer) != 0) {
        setsockopt(owned->handle, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    }
    socklen_t size = 0;
    const auto address = to_sockaddr(local, size);
    if (::bind(owned->handle, reinterpret_cast<const sockaddr*>(&address), size) != 0) {
        return fail(error_kind::unavailable,
                    "cannot bind UDP " + to_string(local) + ": " + std::strerror(errno));
    }
    sockaddr_storage bound{};
    socklen_t bound_size = sizeof bound;
    getsockname(owned->handle, reinterpret_cast<sockaddr*>(&bound), &bound_size);
    owned->bound = from_sockaddr(bound);
    return udp_socket{std::move(owned)};
}

std::span<const datagram> udp_socket::receive() {
    auto& s = *state_;
    for (std::size_t index = 0; index < batch_size; ++index) {
        s.receive_vectors[index] = {.iov_base = s.receive_buffers[index].data(),
                                    .iov_len = max_datagram_size};
        s.receive_messages[index].msg_hdr = {.msg_name = &s.receive_sources[index],
                                             .msg_namelen = sizeof(sockaddr_storage),
                                             .msg_iov = &s.receive_vectors[index],
                                             .msg_iovlen = 1};
    }
    const int count = recvmmsg(s.handle, s.receive_messages.data(), batch_size, MSG_DONTWAIT, nullptr);
    std::size_t kept = 0;
    for (int index = 0; index < count; ++index) {
        const auto slot = static_cast<std::size_t>(index);
        if ((static_cast<unsigned>(s.receive_messages[slot].msg_hdr.msg_flags) & MSG_TRUNC) != 0) {
            ++s.oversized_datagrams;
            continue;
        }
        s.received[kept++] = {
            .source = from_sockaddr(s.receive_sources[slot]),
            .bytes = std::span{s.receive_buffers[slot]}.first(s.receive_messages[slot].msg_len)};
    }
    return std::span{s.received}.first(kept);
}

void udp_socket::send(const endpoint& destination, std::span<const std::byte> bytes) {
    auto& s = *state_;
    if (s.queued == batch_size) {
        flush();
    }
    const std::size_t slot = s.queued++;
    std::copy(bytes.begin(), bytes.end(), s.send_buffers[slot].begin());
    socklen_t size = 0;
    s.send_targets[slot] = to_sockaddr(destination, size);
    s.send_vectors[slot] = {.iov_base = s.send_buffers[slot].data(), .iov_len = bytes.size()};
    s.send_messages[slot].msg_hdr = {.msg_name = &s.send_targets[slot],
                                     .msg_namelen = size,
                                     .msg_iov = &s.send_vectors[slot],
                                     .msg_iovlen = 1};
}

void udp_socket::flush() {
    auto& s = *state_;
    std::size_t processed = 0;
    while (processed < s.queued) {
        const int sent =
            sendmmsg(s.handle, &s.send_messages[processed], static_cast<unsigned>(s.queued - processed), 0);
        if (sent > 0) {
            processed += static_cast<std::size_t>(sent);
        } else if (errno != EINTR) {
            // The first unsent datagram caused the error (unreachable target or full buffer); later ones may
            // still be sent.
            ++s.send_failures;
            ++processed;
        }
    }
    s.queued = 0;
}

int udp_socket::native_handle() const noexcept { return state_->handle; }
endpoint udp_socket::local() const noexcept { return state_->bound; }
std::uint64_t udp_socket::oversized_datagrams() const noexcept { return state_->oversized_datagrams; }
std::uint64_t udp_socket::send_failures() const noexcept { return state_->send_failures; }

void wait_readable(std::span<const udp_socket* const> sockets, int timeout_ms) {
    constexpr std::size_t max_sockets = 16;
    std::array<pollfd, max_sockets> polled{};
    const std::size_t count = std::min(sockets.size(), max_sockets);
    for (std::size_t index = 0; index < count; ++index) {
        polled[index] = {.fd = sockets[index]->native_handle(), .events = POLLIN};
    }
    poll(polled.data(), count, timeout_ms);
}

}  // namespace guavaramp
