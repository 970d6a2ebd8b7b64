#pragma once

#include <guavaramp/base/error.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace guavaramp {

/// An IPv6 address, or an IPv4 address in its IPv4-mapped form (::ffff:a.b.c.d, RFC 4291 section 2.5.5.2).
/// `bytes` is in network byte order.
struct ip_address {
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(const ip_address&, const ip_address&) = default;
};

/// An IP address and a port; the port is in host byte order.
struct endpoint {
    ip_address address;
    std::uint16_t port{0};

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Returns whether `address` is an IPv4 address in IPv4-mapped form. Thread-safe.
[[nodiscard]] bool is_ipv4(const ip_address& address) noexcept;

/// Returns the IPv4-mapped form of an IPv4 address in host byte order. Thread-safe.
[[nodiscard]] ip_address from_ipv4(std::uint32_t address) noexcept;

/// Returns the IPv4 address in host byte order. Precondition: `is_ipv4(address)`. Thread-safe.
[[nodiscard]] std::uint32_t to_ipv4(const ip_address& address) noexcept;

/// Parses a numeric IPv4 or IPv6 address. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<ip_address> parse_ip_address(std::string_view text);

/// Parses "a.b.c.d:port" or "[IPv6 address]:port". Errors: `malformed`. Thread-safe.
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// Returns the numeric text form, which `parse_ip_address` accepts. Thread-safe.
[[nodiscard]] std::string to_string(const ip_address& address);

/// Returns the text form that `parse_endpoint` accepts. Thread-safe.
[[nodiscard]] std::string to_string(const endpoint& value);

}  // namespace guavaramp
