#include <guavaramp/director/peers.hpp>

#include <nlohmann/json.hpp>

#include <limits>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t message_fields = 3;
constexpr std::size_t note_fields = 3;

bool is_count(const json& value, std::uint64_t most) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

result<host_note> read_note(const json& value) {
    constexpr std::uint64_t most_32 = std::numeric_limits<std::uint32_t>::max();
    const bool valid = value.is_array() && value.size() == note_fields &&
                       is_count(value[0], host_note_kinds - 1) && is_count(value[1], most_32) &&
                       is_count(value[2], most_32);
    if (!valid) {
        return fail(error_kind::malformed, "a note is not [kind, tag, age]");
    }
    return host_note{.kind = host_note_kind(value[0].get<std::uint8_t>()),
                     .tag = steering_tag{value[1].get<std::uint32_t>()},
                     .age_ms = value[2].get<std::uint32_t>()};
}

}  // namespace

std::vector<std::uint8_t> encode_peer_message(const peer_message& message) {
    json notes = json::array();
    for (const auto& note : message.notes) {
        notes.push_back(
            {static_cast<std::uint32_t>(note.kind), static_cast<std::uint32_t>(note.tag), note.age_ms});
    }
    return json::to_cbor(json::array({message.incarnation, message.sequence, std::move(notes)}));
}

result<peer_message> decode_peer_message(std::span<const std::byte> bytes) {
    const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto value = json::from_cbor(begin, begin + bytes.size(), true, false);
    constexpr auto most = std::numeric_limits<std::uint64_t>::max();
    const bool valid = value.is_array() && value.size() == message_fields && is_count(value[0], most) &&
                       is_count(value[1], most) && value[2].is_array() && value[2].size() <= most_notes;
    if (!valid) {
        return fail(error_kind::malformed, "a peer's message is not [incarnation, sequence, notes]");
    }
    peer_message message{.incarnation = value[0].get<std::uint64_t>(),
                         .sequence = value[1].get<std::uint64_t>()};
    for (const auto& element : value[2]) {
        const auto note = read_note(element);
        if (!note) {
            return tl::make_unexpected(note.error());
        }
        message.notes.push_back(*note);
    }
    return message;
}

std::string encode_director_entry(const director_peer& peer) {
    return json{{"address", to_string(peer.address)}, {"failure_domain", peer.failure_domain}}.dump();
}

result<director_peer> decode_director_entry(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("address") || !value["address"].is_string() ||
        !value.contains("failure_domain") || !value["failure_domain"].is_string()) {
        return fail(error_kind::malformed, "a director's entry lacks its address or failure domain");
    }
    const auto address = parse_endpoint(value["address"].get<std::string>());
    if (!address) {
        return tl::make_unexpected(address.error());
    }
    return director_peer{.address = *address, .failure_domain = value["failure_domain"].get<std::string>()};
}

}  // namespace guavaramp
