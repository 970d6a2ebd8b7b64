#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace guavaramp {

/// The transport protocols that the load balancer forwards; the values are IP protocol numbers.
enum class transport : std::uint8_t { tcp = 6, udp = 17 };

/// TCP flag bits (RFC 9293 section 3.1).
namespace tcp_flag {
inline constexpr std::uint8_t fin = 0x01;
inline constexpr std::uint8_t syn = 0x02;
inline constexpr std::uint8_t rst = 0x04;
inline constexpr std::uint8_t psh = 0x08;
inline constexpr std::uint8_t ack = 0x10;
}  // namespace tcp_flag

/// Identifies a flow by the caller's endpoint, the service's endpoint and the transport protocol. A packet
/// from the caller has the caller as source and the service as destination; a packet from an upstream has the
/// reverse.
struct flow_key {
    endpoint caller;
    endpoint service;
    transport protocol{transport::tcp};

    friend auto operator<=>(const flow_key&, const flow_key&) = default;
};

/// Returns the hash of a flow, which is the same on all entry VMs. Thread-safe.
[[nodiscard]] std::uint64_t hash_flow(const flow_key& key) noexcept;

/// The header fields and payload of an IPv4 or IPv6 packet that carries TCP or UDP. `payload` points into the
/// packet's bytes. The TCP fields are 0 for UDP. Numbers are in host byte order.
struct ip_packet {
    endpoint source;
    endpoint destination;
    transport protocol{transport::tcp};
    std::uint8_t tcp_flags{0};
    std::uint32_t sequence{0};
    std::uint32_t acknowledgment{0};
    std::span<const std::byte> payload;
};

/// Parses a packet. Checks the lengths and, for IPv4, the header checksum; the host checks the transport
/// checksum. Rejects fragments and IPv6 extension headers. Errors: `malformed`. Thread-safe; does not
/// allocate on success.
[[nodiscard]] result<ip_packet> parse_ip_packet(std::span<const std::byte> packet);

/// Returns the flow of a packet that travels from a caller to a service. Thread-safe.
[[nodiscard]] inline flow_key flow_from_caller(const ip_packet& packet) noexcept {
    return {.caller = packet.source, .service = packet.destination, .protocol = packet.protocol};
}

/// Returns the flow of a packet that travels from an upstream to a caller. Thread-safe.
[[nodiscard]] inline flow_key flow_from_upstream(const ip_packet& packet) noexcept {
    return {.caller = packet.destination, .service = packet.source, .protocol = packet.protocol};
}

/// Writes `packet` with valid checksums to `buffer` and returns the number of bytes written, or 0 if `buffer`
/// is too small or the packet would exceed 65,535 bytes. Precondition: both addresses are of the same family.
/// Thread-safe.
[[nodiscard]] std::size_t build_ip_packet(const ip_packet& packet, std::span<std::byte> buffer) noexcept;

/// Returns the IP protocol number that an encapsulation header carries for `packet` (`ip_protocol_ipv4` or
/// `ip_protocol_ipv6`, by its address family). Thread-safe.
[[nodiscard]] std::uint8_t encapsulated_protocol(const ip_packet& packet) noexcept;

}  // namespace guavaramp
