#pragma once

#include <guavaramp/base/address.hpp>

#include <sys/socket.h>

namespace guavaramp {

/// Returns `value` as an address of the socket interface and stores the address's size in bytes in `size`.
/// Thread-safe.
[[nodiscard]] sockaddr_storage to_sockaddr(const endpoint& value, socklen_t& size) noexcept;

/// Returns the endpoint of an IPv4 or IPv6 address of the socket interface. Thread-safe.
[[nodiscard]] endpoint from_sockaddr(const sockaddr_storage& storage) noexcept;

}  // namespace guavaramp
