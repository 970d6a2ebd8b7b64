#include <guavaramp/packet/ip_packet.hpp>

#include <property.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace guavaramp {
namespace {

endpoint arbitrary_endpoint(bool ipv4) {
    endpoint value;
    if (ipv4) {
        value.address = from_ipv4(*rc::gen::arbitrary<std::uint32_t>());
    } else {
        for (auto& byte : value.address.bytes) {
            byte = *rc::gen::arbitrary<std::uint8_t>();
        }
        value.address.bytes[0] = 0x20;
    }
    value.port = *rc::gen::arbitrary<std::uint16_t>();
    return value;
}

// Guards against header fields that are written and read at different offsets, for both IP versions and both
// transport protocols.
TEST_CASE("IpPacketTest.ParseReversesBuild") {
    check_property("parse(build(p)) == p", [](bool ipv4, bool tcp, const std::vector<std::uint8_t>& data) {
        const auto payload = std::as_bytes(std::span{data});
        ip_packet packet{.source = arbitrary_endpoint(ipv4),
                         .destination = arbitrary_endpoint(ipv4),
                         .protocol = tcp ? transport::tcp : transport::udp,
                         .payload = payload};
        if (tcp) {
            packet.tcp_flags = *rc::gen::arbitrary<std::uint8_t>();
            packet.sequence = *rc::gen::arbitrary<std::uint32_t>();
            packet.acknowledgment = *rc::gen::arbitrary<std::uint32_t>();
        }
        std::vector<std::byte> bytes(payload.size() + 60);
        bytes.resize(build_ip_packet(packet, bytes));
        const auto parsed = parse_ip_packet(bytes);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(flow_from_caller(*parsed) == flow_from_caller(packet));
        RC_ASSERT(parsed->tcp_flags == packet.tcp_flags);
        RC_ASSERT(parsed->sequence == packet.sequence);
        RC_ASSERT(parsed->acknowledgment == packet.acknowledgment);
        RC_ASSERT(std::equal(parsed->payload.begin(), parsed->payload.end(), payload.begin(), payload.end()));
    });
}

// Guards against reads past the end when one byte of a valid packet is corrupted and the packet is truncated.
TEST_CASE("IpPacketTest.ParseStaysInsidePacketWhenItIsCorruptedOrTruncated") {
    check_property("no read past the end", [](bool ipv4, bool tcp) {
        const std::array<std::byte, 9> payload{};
        const ip_packet packet{.source = arbitrary_endpoint(ipv4),
                               .destination = arbitrary_endpoint(ipv4),
                               .protocol = tcp ? transport::tcp : transport::udp,
                               .payload = payload};
        std::vector<std::byte> bytes(128);
        bytes.resize(build_ip_packet(packet, bytes));
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            static_cast<std::byte>(*rc::gen::arbitrary<std::uint8_t>());
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        bytes.shrink_to_fit();
        const auto parsed = parse_ip_packet(bytes);
        if (parsed) {
            RC_ASSERT(parsed->payload.size() <= bytes.size());
        }
    });
}

// Guards against taking a packet whose service address was corrupted for a packet to another service.
TEST_CASE("IpPacketTest.ParseFailsWhenIpv4HeaderChecksumIsWrong") {
    const ip_packet packet{.source = {.address = from_ipv4(0x0a000001), .port = 1000},
                           .destination = {.address = from_ipv4(0x0a090001), .port = 443}};
    std::vector<std::byte> bytes(64);
    bytes.resize(build_ip_packet(packet, bytes));
    REQUIRE(parse_ip_packet(bytes).has_value());
    bytes[19] ^= std::byte{1};
    CHECK_FALSE(parse_ip_packet(bytes).has_value());
}

}  // namespace
}  // namespace guavaramp
