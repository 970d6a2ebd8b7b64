#include <guavaramp/packet/gue.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr std::size_t word_size = 4;  // unit of the header length field, in bytes

std::uint8_t byte_at(std::span<const std::byte> bytes, std::size_t offset) noexcept {
    return std::to_integer<std::uint8_t>(bytes[offset]);
}

}  // namespace

result<gue_packet> decode_gue(std::span<const std::byte> datagram) {
    if (datagram.size() < gue_base_header_size) {
        return fail(error_kind::malformed, "GUE header is truncated");
    }
    const std::uint8_t first = byte_at(datagram, 0);
    if ((first >> 5U) != 0) {
        return fail(error_kind::malformed, "GUE variant is not 0 or the control bit is set");
    }
    const std::size_t extension_size = (first & 0x1fU) * word_size;
    const std::uint8_t protocol = byte_at(datagram, 1);
    if (protocol != ip_protocol_ipv4 && protocol != ip_protocol_ipv6) {
        return fail(error_kind::malformed, "GUE inner protocol is neither IPv4 nor IPv6");
    }
    if (byte_at(datagram, 2) != 0 || byte_at(datagram, 3) != 0) {
        return fail(error_kind::malformed, "GUE flags are not supported");
    }
    if (datagram.size() < gue_base_header_size + extension_size) {
        return fail(error_kind::malformed, "GUE extension is truncated");
    }
    return gue_packet{.protocol = protocol,
                      .extension = datagram.subspan(gue_base_header_size, extension_size),
                      .inner = datagram.subspan(gue_base_header_size + extension_size)};
}

std::size_t encode_gue(const gue_packet& packet, std::span<std::byte> buffer) noexcept {
    const std::size_t size = gue_base_header_size + packet.extension.size() + packet.inner.size();
    if (buffer.size() < size) {
        return 0;
    }
    buffer[0] = static_cast<std::byte>(packet.extension.size() / word_size);
    buffer[1] = static_cast<std::byte>(packet.protocol);
    buffer[2] = std::byte{0};
    buffer[3] = std::byte{0};
    auto* inner_begin =
        std::copy(packet.extension.begin(), packet.extension.end(), &buffer[gue_base_header_size]);
    std::copy(packet.inner.begin(), packet.inner.end(), inner_begin);
    return size;
}

}  // namespace guavaramp
