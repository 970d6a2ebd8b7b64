#include "target.hpp"

#include <guavaramp/config/model.hpp>
#include <guavaramp/packet/gue.hpp>
#include <guavaramp/packet/ip.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <iostream>

namespace guavaramp {
namespace {

void require(bool held, const char* invariant) {
    if (!held) {
        std::cerr << "broken invariant: " << invariant << '\n';
        std::abort();
    }
}

std::string as_text(std::span<const std::byte> bytes) {
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

std::string packet_seed(transport protocol) {
    const std::string payload = "payload";
    const ip_packet packet{.source = {.address = from_ipv4(0x0a000007), .port = 4312},
                           .destination = {.address = from_ipv4(0x0a090001), .port = 443},
                           .protocol = protocol,
                           .tcp_flags = tcp_flag::ack,
                           .payload = std::as_bytes(std::span{payload})};
    std::array<std::byte, 128> out{};
    return as_text(std::span{out}.first(build_ip_packet(packet, out)));
}

std::string gue_seed() {
    const std::string inner = packet_seed(transport::tcp);
    std::array<std::byte, 256> out{};
    const auto size =
        encode_gue({.protocol = ip_protocol_ipv4, .inner = std::as_bytes(std::span{inner})}, out);
    return as_text(std::span{out}.first(size));
}

std::string configuration_seed() {
    configuration value;
    service item{.id = service_id{1}, .name = "dispatch"};
    item.address = {.address = from_ipv4(0x0a090001), .port = 443};
    item.upstreams.push_back({.id = upstream_id{1}, .name = "h1"});
    value.services["dispatch"] = item;
    value.head.services["dispatch"] = {.id = item.id};
    return to_json(value).dump();
}

void run_gue(std::span<const std::byte> bytes) {
    const auto decoded = decode_gue(bytes);
    if (decoded) {
        require(gue_base_header_size + decoded->extension.size() + decoded->inner.size() == bytes.size(),
                "GUE header, extension and inner packet fill the datagram");
    }
}

void run_ip(std::span<const std::byte> bytes) {
    const auto parsed = parse_ip_packet(bytes);
    if (parsed) {
        require(parsed->payload.size() < bytes.size(), "the payload is shorter than its packet");
    }
}

void run_configuration(std::span<const std::byte> bytes) {
    const auto json = nlohmann::json::parse(as_text(bytes), nullptr, false);
    if (json.is_discarded()) {
        return;
    }
    const auto decoded = configuration_from_json(json);
    if (decoded) {
        require(configuration_from_json(to_json(*decoded)) == *decoded,
                "a configuration survives a round trip");
    }
}

void run_endpoint(std::span<const std::byte> bytes) {
    const auto parsed = parse_endpoint(as_text(bytes));
    if (parsed) {
        require(parse_endpoint(to_string(*parsed)) == *parsed, "an endpoint survives a round trip");
    }
}

}  // namespace

std::vector<fuzz_target> all_fuzz_targets() {
    return {
        {.name = "gue", .seeds = {gue_seed()}, .run = run_gue},
        {.name = "ip", .seeds = {packet_seed(transport::tcp), packet_seed(transport::udp)}, .run = run_ip},
        {.name = "configuration", .seeds = {configuration_seed()}, .run = run_configuration},
        {.name = "endpoint", .seeds = {"10.0.0.1:80", "[2001:db8::1]:443"}, .run = run_endpoint}};
}

}  // namespace guavaramp
