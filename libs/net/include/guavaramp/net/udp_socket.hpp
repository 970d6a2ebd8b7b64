#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace guavaramp {

/// Size in bytes of the largest datagram that can be received; the path MTU of the entry VMs' network is
/// smaller.
inline constexpr std::size_t max_datagram_size = 2048;

/// A received datagram; `bytes` is valid until the next `receive` on the same socket.
struct datagram {
    endpoint source;
    std::span<const std::byte> bytes;
};

/// A bound, non-blocking UDP socket that receives and sends in batches (recvmmsg, sendmmsg).
/// Not thread-safe: one thread owns a socket.
class udp_socket {
public:
    /// Creates a socket and binds it to `local`. Errors: `unavailable` (the address is in use or not local).
    [[nodiscard]] static result<udp_socket> bind(const endpoint& local,
                                                 std::size_t receive_buffer_bytes = 8U << 20U);

    udp_socket(udp_socket&&) noexcept;
    udp_socket& operator=(udp_socket&&) noexcept;
    ~udp_socket();

    /// Receives up to one batch of datagrams without blocking; returns an empty span if there are none. A
    /// datagram longer than `max_datagram_size` is dropped and counted in `oversized_datagrams()`.
    [[nodiscard]] std::span<const datagram> receive();

    /// Queues a copy of `bytes` for `destination`. If the queue is full, it is flushed first. Precondition:
    /// `bytes.size()` is at most `max_datagram_size`.
    void send(const endpoint& destination, std::span<const std::byte> bytes);

    /// Sends all queued datagrams. A datagram that the kernel does not accept is dropped and counted in
    /// `send_failures()`.
    void flush();

    [[nodiscard]] int native_handle() const noexcept;
    [[nodiscard]] endpoint local() const noexcept;
    [[nodiscard]] std::uint64_t oversized_datagrams() const noexcept;
    [[nodiscard]] std::uint64_t send_failures() const noexcept;

private:
    struct state;
    explicit udp_socket(std::unique_ptr<state> owned) noexcept;
    std::unique_ptr<state> state_;
};

/// Blocks until one of `sockets` is readable or `timeout_ms` milliseconds have passed. Precondition: at most
/// 16 sockets. Thread-safe.
void wait_readable(std::span<const udp_socket* const> sockets, int timeout_ms);

}  // namespace guavaramp
