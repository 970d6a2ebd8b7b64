#include "json_reading.hpp"

#include <guavaramp/director/peers.hpp>

#include <limits>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t note_fields = 3;

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

std::vector<std::uint8_t> encode_notes(std::span<const host_note> notes) {
    json values = json::array();
    for (const auto& note : notes) {
        values.push_back(
            {static_cast<std::uint32_t>(note.kind), static_cast<std::uint32_t>(note.tag), note.age_ms});
    }
    return json::to_cbor(values);
}

result<std::vector<host_note>> decode_notes(std::span<const std::byte> bytes) {
    const auto* begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto value = json::from_cbor(begin, begin + bytes.size(), true, false);
    if (!value.is_array() || value.size() > most_notes) {
        return fail(error_kind::malformed, "a message is no list of notes");
    }
    std::vector<host_note> notes;
    for (const auto& element : value) {
        const auto note = read_note(element);
        if (!note) {
            return tl::make_unexpected(note.error());
        }
        notes.push_back(*note);
    }
    return notes;
}

}  // namespace guavaramp
