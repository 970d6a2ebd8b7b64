#include "target.hpp"

#include "operator_input_targets.hpp"

#include <guavaramp/config/model.hpp>
#include <guavaramp/membership/control_message.hpp>
#include <guavaramp/packet/gue.hpp>
#include <guavaramp/packet/ip_packet.hpp>
#include <guavaramp/record/language.hpp>
#include <guavaramp/requests/request.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace guavaramp {
namespace {

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

std::string control_seed() {
    const member local{
        .address = from_ipv4(0x7f0a0101), .failure_domain = "hai-chau", .region = "r", .incarnation = 7};
    const auto bytes = encode_message({.number = 3, .sender = local, .updates = {local, local}});
    return as_text(bytes);
}

void run_control(std::span<const std::byte> bytes) {
    const auto decoded = decode_message(bytes);
    if (decoded) {
        require(decode_message(encode_message(*decoded)) == *decoded,
                "a control message survives a round trip");
    }
}

void run_language(std::span<const std::byte> bytes) {
    const std::string text = as_text(bytes);
    const auto parsed = parse_statement(text);
    if (!parsed) {
        const auto& failure = parsed.error();
        require(failure.position + failure.length <= text.size(), "an error's position is inside the text");
        return;
    }
    require(parse_statement(to_string(*parsed)).has_value(), "the canonical text of a command is a command");
}

void run_client_request(std::span<const std::byte> bytes) {
    constexpr std::int64_t now_ms = 1'800'000'000'000;
    static_cast<void>(parse_client_request(as_text(bytes), now_ms));
}

void run_host_answer(std::span<const std::byte> bytes) {
    constexpr int ok = 200;
    static_cast<void>(parse_host_answer(ok, as_text(bytes), "id-1"));
}

}  // namespace

std::vector<fuzz_target> all_fuzz_targets() {
    std::vector<fuzz_target> targets{
        {.name = "gue", .seeds = {gue_seed()}, .run = run_gue},
        {.name = "ip", .seeds = {packet_seed(transport::tcp), packet_seed(transport::udp)}, .run = run_ip},
        {.name = "configuration", .seeds = {configuration_seed()}, .run = run_configuration},
        {.name = "control", .seeds = {control_seed()}, .run = run_control},
        {.name = "language",
         .seeds = {"show flows of dispatch on h07 limit 10", "why flow 10.0.0.7:4312 -> 10.9.0.1:443",
                   "drain upstream dispatch/h07 at 22:00", "broken flows last 1h by cause",
                   "add upstream dispatch/h15 address 127.20.0.15 weight 100"},
         .run = run_language},
        {.name = "client_request",
         .seeds = {R"({"service":"dispatch","id":"id-1","class":"urgent","deadline_ms":1800000001000,)"
                   R"("idempotent":false,"first_sent_ms":1800000000000,"attempt":0,"body":"x"})"},
         .run = run_client_request},
        {.name = "host_answer", .seeds = {R"({"id":"id-1","length":1,"body":"x"})"}, .run = run_host_answer},
        {.name = "endpoint", .seeds = {"10.0.0.1:80", "[2001:db8::1]:443"}, .run = run_endpoint}};
    std::ranges::move(operator_input_targets(), std::back_inserter(targets));
    return targets;
}

}  // namespace guavaramp
