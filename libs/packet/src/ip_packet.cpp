#include <guavaramp/base/big_endian.hpp>
#include <guavaramp/base/hash.hpp>
#include <guavaramp/packet/gue.hpp>
#include <guavaramp/packet/ip_packet.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

constexpr std::size_t ipv4_header_size = 20;
constexpr std::size_t ipv6_header_size = 40;
constexpr std::size_t tcp_header_size = 20;
constexpr std::size_t udp_header_size = 8;
constexpr std::uint8_t default_hop_limit = 64;
constexpr std::uint16_t advertised_window = 65535;

// Adds the 16-bit big-endian words of `bytes` to `sum`; an odd last byte is padded with a zero byte.
std::uint32_t sum_words(std::span<const std::byte> bytes, std::uint32_t sum) noexcept {
    std::size_t offset = 0;
    for (; offset + 1 < bytes.size(); offset += 2) {
        sum += read_big_endian<std::uint16_t>(bytes, offset);
    }
    if (offset < bytes.size()) {
        sum += std::to_integer<std::uint32_t>(bytes[offset]) << 8U;
    }
    return sum;
}

// Returns the Internet checksum (RFC 1071) for a sum of 16-bit words: the complement of the one's complement
// sum.
std::uint16_t fold_checksum(std::uint32_t sum) noexcept {
    while ((sum >> 16U) != 0) {
        sum = (sum & 0xffffU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum);
}

ip_address read_ipv6(std::span<const std::byte> bytes, std::size_t offset) noexcept {
    ip_address address;
    std::transform(bytes.begin() + static_cast<std::ptrdiff_t>(offset),
                   bytes.begin() + static_cast<std::ptrdiff_t>(offset + address.bytes.size()),
                   address.bytes.begin(),
                   [](std::byte value) { return std::to_integer<std::uint8_t>(value); });
    return address;
}

void write_ipv6(std::span<std::byte> bytes, std::size_t offset, const ip_address& address) noexcept {
    for (std::size_t index = 0; index < address.bytes.size(); ++index) {
        bytes[offset + index] = static_cast<std::byte>(address.bytes[index]);
    }
}

/// The network-layer header fields and payload of a packet.
struct network_header {
    ip_address source;
    ip_address destination;
    std::uint8_t protocol{0};
    std::span<const std::byte> payload;
};

result<network_header> parse_ipv4(std::span<const std::byte> packet) {
    if (packet.size() < ipv4_header_size) {
        return fail(error_kind::malformed, "IPv4 header is truncated");
    }
    const std::size_t header_size = (std::to_integer<std::size_t>(packet[0]) & 0x0fU) * 4;
    const std::size_t total_size = read_big_endian<std::uint16_t>(packet, 2);
    if (header_size < ipv4_header_size || total_size < header_size || total_size > packet.size()) {
        return fail(error_kind::malformed, "IPv4 header length or total length does not match the packet");
    }
    if ((read_big_endian<std::uint16_t>(packet, 6) & 0x3fffU) != 0) {
        return fail(error_kind::malformed, "IPv4 fragments are not supported");
    }
    if (fold_checksum(sum_words(packet.first(header_size), 0)) != 0) {
        return fail(error_kind::malformed, "IPv4 header checksum is wrong");
    }
    return network_header{.source = from_ipv4(read_big_endian<std::uint32_t>(packet, 12)),
                          .destination = from_ipv4(read_big_endian<std::uint32_t>(packet, 16)),
                          .protocol = std::to_integer<std::uint8_t>(packet[9]),
                          .payload = packet.subspan(header_size, total_size - header_size)};
}

result<network_header> parse_ipv6(std::span<const std::byte> packet) {
    if (packet.size() < ipv6_header_size) {
        return fail(error_kind::malformed, "IPv6 header is truncated");
    }
    const std::size_t payload_size = read_big_endian<std::uint16_t>(packet, 4);
    if (payload_size > packet.size() - ipv6_header_size) {
        return fail(error_kind::malformed, "IPv6 payload length does not match the packet");
    }
    return network_header{.source = read_ipv6(packet, 8),
                          .destination = read_ipv6(packet, 24),
                          .protocol = std::to_integer<std::uint8_t>(packet[6]),
                          .payload = packet.subspan(ipv6_header_size, payload_size)};
}

result<ip_packet> parse_tcp(const network_header& network) {
    const auto segment = network.payload;
    if (segment.size() < tcp_header_size) {
        return fail(error_kind::malformed, "TCP header is truncated");
    }
    const std::size_t header_size = (std::to_integer<std::size_t>(segment[12]) >> 4U) * 4;
    if (header_size < tcp_header_size || header_size > segment.size()) {
        return fail(error_kind::malformed, "TCP data offset does not match the segment");
    }
    return ip_packet{
        .source = {.address = network.source, .port = read_big_endian<std::uint16_t>(segment, 0)},
        .destination = {.address = network.destination, .port = read_big_endian<std::uint16_t>(segment, 2)},
        .protocol = transport::tcp,
        .tcp_flags = std::to_integer<std::uint8_t>(segment[13]),
        .sequence = read_big_endian<std::uint32_t>(segment, 4),
        .acknowledgment = read_big_endian<std::uint32_t>(segment, 8),
        .payload = segment.subspan(header_size)};
}

result<ip_packet> parse_udp(const network_header& network) {
    const auto datagram = network.payload;
    if (datagram.size() < udp_header_size) {
        return fail(error_kind::malformed, "UDP header is truncated");
    }
    const std::size_t size = read_big_endian<std::uint16_t>(datagram, 4);
    if (size < udp_header_size || size > datagram.size()) {
        return fail(error_kind::malformed, "UDP length does not match the packet");
    }
    return ip_packet{
        .source = {.address = network.source, .port = read_big_endian<std::uint16_t>(datagram, 0)},
        .destination = {.address = network.destination, .port = read_big_endian<std::uint16_t>(datagram, 2)},
        .protocol = transport::udp,
        .payload = datagram.subspan(udp_header_size, size - udp_header_size)};
}

// Returns the sum over the pseudo-header (RFC 9293 section 3.1, RFC 8200 section 8.1). For IPv4 it includes
// only the last four bytes of each address, because the IPv4-mapped prefix would add a constant for each
// address.
std::uint32_t sum_pseudo_header(const ip_packet& packet, std::size_t transport_size) noexcept {
    std::uint32_t sum =
        static_cast<std::uint32_t>(packet.protocol) + static_cast<std::uint32_t>(transport_size);
    const std::size_t address_offset = is_ipv4(packet.source.address) ? 12 : 0;
    for (const auto* address : {&packet.source.address, &packet.destination.address}) {
        sum = sum_words(std::as_bytes(std::span{address->bytes}).subspan(address_offset), sum);
    }
    return sum;
}

void write_tcp(const ip_packet& packet, std::span<std::byte> segment) noexcept {
    write_big_endian<std::uint16_t>(segment, 0, packet.source.port);
    write_big_endian<std::uint16_t>(segment, 2, packet.destination.port);
    write_big_endian<std::uint32_t>(segment, 4, packet.sequence);
    write_big_endian<std::uint32_t>(segment, 8, packet.acknowledgment);
    segment[12] = std::byte{(tcp_header_size / 4) << 4U};
    segment[13] = static_cast<std::byte>(packet.tcp_flags);
    write_big_endian<std::uint16_t>(segment, 14, advertised_window);
    write_big_endian<std::uint32_t>(segment, 16, 0);
    std::copy(packet.payload.begin(), packet.payload.end(), segment.begin() + tcp_header_size);
    write_big_endian<std::uint16_t>(
        segment, 16, fold_checksum(sum_words(segment, sum_pseudo_header(packet, segment.size()))));
}

void write_udp(const ip_packet& packet, std::span<std::byte> datagram) noexcept {
    write_big_endian<std::uint16_t>(datagram, 0, packet.source.port);
    write_big_endian<std::uint16_t>(datagram, 2, packet.destination.port);
    write_big_endian<std::uint16_t>(datagram, 4, static_cast<std::uint16_t>(datagram.size()));
    write_big_endian<std::uint16_t>(datagram, 6, 0);
    std::copy(packet.payload.begin(), packet.payload.end(), datagram.begin() + udp_header_size);
    const std::uint16_t checksum =
        fold_checksum(sum_words(datagram, sum_pseudo_header(packet, datagram.size())));
    // A computed checksum of 0 is sent as all ones, because 0 means "no checksum" (RFC 768).
    write_big_endian<std::uint16_t>(datagram, 6, checksum == 0 ? 0xffffU : checksum);
}

void write_ipv4_header(const ip_packet& packet, std::span<std::byte> buffer) noexcept {
    std::fill_n(buffer.begin(), ipv4_header_size, std::byte{0});
    buffer[0] = std::byte{0x45};
    write_big_endian<std::uint16_t>(buffer, 2, static_cast<std::uint16_t>(buffer.size()));
    write_big_endian<std::uint16_t>(buffer, 6, 0x4000);
    buffer[8] = std::byte{default_hop_limit};
    buffer[9] = static_cast<std::byte>(packet.protocol);
    write_big_endian<std::uint32_t>(buffer, 12, to_ipv4(packet.source.address));
    write_big_endian<std::uint32_t>(buffer, 16, to_ipv4(packet.destination.address));
    write_big_endian<std::uint16_t>(buffer, 10, fold_checksum(sum_words(buffer.first(ipv4_header_size), 0)));
}

void write_ipv6_header(const ip_packet& packet, std::span<std::byte> buffer) noexcept {
    write_big_endian<std::uint32_t>(buffer, 0, 0x60000000U);
    write_big_endian<std::uint16_t>(buffer, 4, static_cast<std::uint16_t>(buffer.size() - ipv6_header_size));
    buffer[6] = static_cast<std::byte>(packet.protocol);
    buffer[7] = std::byte{default_hop_limit};
    write_ipv6(buffer, 8, packet.source.address);
    write_ipv6(buffer, 24, packet.destination.address);
}

}  // namespace

std::uint64_t hash_flow(const flow_key& key) noexcept {
    std::array<std::byte, 37> bytes{};
    write_ipv6(bytes, 0, key.caller.address);
    write_ipv6(bytes, 16, key.service.address);
    write_big_endian<std::uint16_t>(bytes, 32, key.caller.port);
    write_big_endian<std::uint16_t>(bytes, 34, key.service.port);
    bytes[36] = static_cast<std::byte>(key.protocol);
    return hash_bytes(bytes);
}

result<ip_packet> parse_ip_packet(std::span<const std::byte> packet) {
    if (packet.empty()) {
        return fail(error_kind::malformed, "packet is empty");
    }
    const unsigned version = std::to_integer<unsigned>(packet[0]) >> 4U;
    if (version != 4 && version != 6) {
        return fail(error_kind::malformed, "IP version is neither 4 nor 6");
    }
    const auto network = version == 4 ? parse_ipv4(packet) : parse_ipv6(packet);
    if (!network) {
        return tl::make_unexpected(network.error());
    }
    if (network->protocol == static_cast<std::uint8_t>(transport::tcp)) {
        return parse_tcp(*network);
    }
    if (network->protocol == static_cast<std::uint8_t>(transport::udp)) {
        return parse_udp(*network);
    }
    return fail(error_kind::malformed, "transport protocol is neither TCP nor UDP");
}

std::size_t build_ip_packet(const ip_packet& packet, std::span<std::byte> buffer) noexcept {
    const bool ipv4 = is_ipv4(packet.source.address);
    const std::size_t network_header_size = ipv4 ? ipv4_header_size : ipv6_header_size;
    const std::size_t transport_header_size =
        packet.protocol == transport::tcp ? tcp_header_size : udp_header_size;
    const std::size_t size = network_header_size + transport_header_size + packet.payload.size();
    if (buffer.size() < size || size > 0xffffU) {
        return 0;
    }
    const auto packet_bytes = buffer.first(size);
    const auto segment = packet_bytes.subspan(network_header_size);
    if (packet.protocol == transport::tcp) {
        write_tcp(packet, segment);
    } else {
        write_udp(packet, segment);
    }
    if (ipv4) {
        write_ipv4_header(packet, packet_bytes);
    } else {
        write_ipv6_header(packet, packet_bytes);
    }
    return size;
}

std::uint8_t encapsulated_protocol(const ip_packet& packet) noexcept {
    return is_ipv4(packet.source.address) ? ip_protocol_ipv4 : ip_protocol_ipv6;
}

}  // namespace guavaramp
