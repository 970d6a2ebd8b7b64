#pragma once

#include <guavaramp/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <span>

namespace guavaramp {

/// IP protocol numbers of an encapsulated IPv4 or IPv6 packet (IANA).
inline constexpr std::uint8_t ip_protocol_ipv4 = 4;
inline constexpr std::uint8_t ip_protocol_ipv6 = 41;

/// Size of the GUE header without extension, in bytes.
inline constexpr std::size_t gue_base_header_size = 4;

/// Size of the largest header extension in bytes: 31 words of 32 bits (draft-ietf-intarea-gue, section
/// 3.2.1).
inline constexpr std::size_t gue_max_extension_size = 31 * 4;

/// A decoded datagram of Generic UDP Encapsulation (GUE), variant 0. The spans point into the datagram.
///
/// Layout: byte 0 = variant (2 bits), control bit, header length in 32-bit words (5 bits); byte 1 = IP
/// protocol; bytes 2-3 = flags; then the extension; then the inner packet. The extension carries the relay
/// header of this load balancer.
struct gue_packet {
    std::uint8_t protocol{0};
    std::span<const std::byte> extension;
    std::span<const std::byte> inner;
};

/// Decodes a datagram. Errors: `malformed` if the datagram is truncated, has another variant, is a control
/// message, or has any flag set or an inner protocol other than IPv4 and IPv6. Thread-safe; does not allocate
/// on success.
[[nodiscard]] result<gue_packet> decode_gue(std::span<const std::byte> datagram);

/// Writes the header, the extension and `packet.inner` to `buffer` and returns the number of bytes written,
/// or 0 if `buffer` is too small. Preconditions: `extension.size()` is a multiple of 4 and at most
/// `gue_max_extension_size`. Thread-safe.
[[nodiscard]] std::size_t encode_gue(const gue_packet& packet, std::span<std::byte> buffer) noexcept;

}  // namespace guavaramp
