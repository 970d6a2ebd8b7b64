#include <guavaramp/base/big_endian.hpp>
#include <guavaramp/base/cbor.hpp>
#include <guavaramp/membership/control_message.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t seal_header_size = 16;
constexpr std::size_t ipv4_size = 4;
constexpr std::size_t ipv4_offset = 12;

/// Thrown inside the decoder and turned into a `result` at its border.
struct decode_failure {
    std::string message;
};

json address_to_json(const ip_address& address) {
    const auto first = address.bytes.begin() + (is_ipv4(address) ? ipv4_offset : 0);
    return json::binary({first, address.bytes.end()});
}

ip_address address_from_json(const json& value) {
    const auto& bytes = value.get_binary();
    ip_address address = bytes.size() == ipv4_size ? from_ipv4(0) : ip_address{};
    if (bytes.size() != ipv4_size && bytes.size() != address.bytes.size()) {
        throw decode_failure{"an address has " + std::to_string(bytes.size()) + " bytes, allowed 4 or 16"};
    }
    std::copy(bytes.rbegin(), bytes.rend(), address.bytes.rbegin());
    return address;
}

// Members are arrays and keys are single letters: a member takes about 40 bytes, a fifth of the same with
// names and numeric text.
json member_to_json(const member& value) {
    return json::array({address_to_json(value.address), value.failure_domain, value.region, value.incarnation,
                        static_cast<std::uint8_t>(value.state), static_cast<std::uint64_t>(value.revision)});
}

constexpr std::size_t member_fields = 6;

member member_from_json(const json& value) {
    if (!value.is_array() || value.size() != member_fields) {
        throw decode_failure{"a member is not an array of 6 fields"};
    }
    const auto state = value[4].get<std::uint64_t>();
    if (state > static_cast<std::uint64_t>(member_state::dead)) {
        throw decode_failure{"unknown member state " + std::to_string(state)};
    }
    return {.address = address_from_json(value[0]),
            .failure_domain = value[1].get<std::string>(),
            .region = value[2].get<std::string>(),
            .incarnation = value[3].get<std::uint64_t>(),
            .state = static_cast<member_state>(state),
            .revision = config_revision{value[5].get<std::uint64_t>()}};
}

control_message message_from_json(const json& value) {
    control_message message;
    const auto kind = value.at("k").get<std::uint64_t>();
    if (kind >= message_kinds) {
        throw decode_failure{"unknown message kind " + std::to_string(kind)};
    }
    message.kind = static_cast<message_kind>(kind);
    message.number = value.at("n").get<std::uint64_t>();
    if (value.contains("t")) {
        message.subject = address_from_json(value.at("t"));
    }
    message.sender = member_from_json(value.at("s"));
    if (value.contains("u")) {
        for (const auto& item : value.at("u")) {
            message.updates.push_back(member_from_json(item));
        }
    }
    return message;
}

std::array<std::byte, seal_header_size> header_bytes(const seal_header& header) {
    std::array<std::byte, seal_header_size> bytes{};
    write_big_endian<std::uint64_t>(bytes, 0, header.incarnation);
    write_big_endian<std::uint64_t>(bytes, sizeof header.incarnation, header.sequence);
    return bytes;
}

}  // namespace

const char* to_string(message_kind kind) noexcept {
    constexpr std::array<const char*, message_kinds> names{"ping", "ack",          "ping_request",
                                                           "push", "sync_request", "sync"};
    return names[static_cast<std::size_t>(kind)];
}

std::vector<std::byte> encode_message(const control_message& message) {
    json value{{"k", static_cast<std::uint8_t>(message.kind)},
               {"n", message.number},
               {"s", member_to_json(message.sender)}};
    if (message.subject != ip_address{}) {
        value["t"] = address_to_json(message.subject);
    }
    if (!message.updates.empty()) {
        auto& updates = value["u"] = json::array();
        for (const auto& item : message.updates) {
            updates.push_back(member_to_json(item));
        }
    }
    const auto encoded = json::to_cbor(value);
    std::vector<std::byte> bytes(encoded.size());
    std::transform(encoded.begin(), encoded.end(), bytes.begin(),
                   [](std::uint8_t byte) { return static_cast<std::byte>(byte); });
    return bytes;
}

result<control_message> decode_message(std::span<const std::byte> bytes) {
    const auto value = parse_cbor(bytes);
    if (!value.is_object()) {
        return fail(error_kind::malformed, "not a CBOR map");
    }
    try {
        return message_from_json(value);
    } catch (const json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    } catch (const decode_failure& failure) {
        return fail(error_kind::malformed, failure.message);
    }
}

std::vector<std::byte> seal_datagram(const fleet_keys& keys, const seal_header& header,
                                     std::span<const std::byte> payload) {
    const auto prefix = header_bytes(header);
    const auto tag =
        compute_authentication_tag(keys, {std::as_bytes(std::span{header.sender.bytes}),
                                          std::as_bytes(std::span{header.receiver.bytes}), prefix, payload});
    std::vector<std::byte> datagram;
    datagram.reserve(prefix.size() + payload.size() + tag.size());
    datagram.insert(datagram.end(), prefix.begin(), prefix.end());
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    datagram.insert(datagram.end(), tag.begin(), tag.end());
    return datagram;
}

result<std::span<const std::byte>> open_datagram(const fleet_keys& keys, replay_guard& guard,
                                                 const ip_address& sender, const ip_address& receiver,
                                                 std::span<const std::byte> datagram) {
    if (datagram.size() < seal_header_size + authentication_tag_size) {
        return fail(error_kind::malformed, "the datagram is too short");
    }
    const auto prefix = datagram.first(seal_header_size);
    const auto tag = datagram.last(authentication_tag_size);
    const auto payload =
        datagram.subspan(seal_header_size, datagram.size() - seal_header_size - authentication_tag_size);
    if (!verify_authentication_tag(keys, tag,
                                   {std::as_bytes(std::span{sender.bytes}),
                                    std::as_bytes(std::span{receiver.bytes}), prefix, payload})) {
        return fail(error_kind::unauthenticated, "the tag does not match");
    }
    if (auto accepted = guard.accept(sender, read_big_endian<std::uint64_t>(prefix, 0),
                                     read_big_endian<std::uint64_t>(prefix, 8));
        !accepted) {
        return tl::make_unexpected(accepted.error());
    }
    return payload;
}

}  // namespace guavaramp
