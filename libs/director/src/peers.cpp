#include <guavaramp/director/peers.hpp>

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>

namespace guavaramp {
namespace {

using nlohmann::json;

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

std::optional<endpoint> read_endpoint(const json& object, const char* name) {
    if (!object.is_object() || !object.contains(name) || !object[name].is_string()) {
        return std::nullopt;
    }
    const auto parsed = parse_endpoint(object[name].get<std::string>());
    return parsed ? std::optional{*parsed} : std::nullopt;
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

std::string encode_director_entry(const director_peer& peer) {
    return json{{"address", to_string(peer.address)},
                {"news", to_string(peer.news)},
                {"admin", to_string(peer.admin)},
                {"failure_domain", peer.failure_domain}}
        .dump();
}

result<director_peer> decode_director_entry(std::string_view text) {
    const auto value = json::parse(text, nullptr, false);
    const auto address = read_endpoint(value, "address");
    const auto news = read_endpoint(value, "news");
    const auto admin = read_endpoint(value, "admin");
    if (!address || !news || !admin || !value.contains("failure_domain") ||
        !value["failure_domain"].is_string()) {
        return fail(error_kind::malformed, "a director's entry lacks an address or its failure domain");
    }
    return director_peer{.address = *address,
                         .news = *news,
                         .admin = *admin,
                         .failure_domain = value["failure_domain"].get<std::string>()};
}

}  // namespace guavaramp
