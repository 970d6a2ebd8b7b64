#pragma once

#include <guavaramp/base/address.hpp>

#include <sys/socket.h>

namespace guavaramp {

/// Converts between endpoints and the addresses of the socket interface. Thread-safe.
[[nodiscard]] sockaddr_storage to_sockaddr(const endpoint& value, socklen_t& size) noexcept;
[[nodiscard]] endpoint from_sockaddr(const sockaddr_storage& storage) noexcept;

}  // namespace guavaramp
