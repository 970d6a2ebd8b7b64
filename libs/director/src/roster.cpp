#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/roster.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t member_fields = 4;

/// A member without its failure domain, which the entry names once.
json to_json(const roster_member& member) {
    return json::array({to_string(member.peer.address), to_string(member.peer.news),
                        to_string(member.peer.admin), member.incarnation});
}

std::optional<endpoint> read_endpoint(const json& value) {
    if (!value.is_string()) {
        return std::nullopt;
    }
    const auto parsed = parse_endpoint(value.get<std::string>());
    return parsed ? std::optional{*parsed} : std::nullopt;
}

std::optional<roster_member> read_member(const json& value, const std::string& failure_domain) {
    if (!value.is_array() || value.size() != member_fields || !value[3].is_number_unsigned()) {
        return std::nullopt;
    }
    const auto address = read_endpoint(value[0]);
    const auto news = read_endpoint(value[1]);
    const auto admin = read_endpoint(value[2]);
    if (!address || !news || !admin) {
        return std::nullopt;
    }
    return roster_member{
        .peer = {.address = *address, .news = *news, .admin = *admin, .failure_domain = failure_domain},
        .incarnation = value[3].get<std::uint64_t>()};
}

}  // namespace

std::string encode_reader_entry(const reader_entry& entry) {
    json members = json::array();
    for (const auto& member : entry.members) {
        members.push_back(to_json(member));
    }
    return json{{"failure_domain", entry.reader.peer.failure_domain},
                {"reader", to_json(entry.reader)},
                {"members", std::move(members)}}
        .dump();
}

result<reader_entry> decode_reader_entry(std::string_view text) {
    const auto malformed = [] {
        return fail(error_kind::malformed, "a reader's entry lacks its failure domain, reader or members");
    };
    const auto value = json::parse(text, nullptr, false);
    const bool complete = value.is_object() && value.contains("failure_domain") &&
                          value["failure_domain"].is_string() && value.contains("reader") &&
                          value.contains("members") && value["members"].is_array() &&
                          value["members"].size() <= most_members;
    if (!complete) {
        return malformed();
    }
    const auto failure_domain = value["failure_domain"].get<std::string>();
    const auto reader = read_member(value["reader"], failure_domain);
    if (!reader) {
        return malformed();
    }
    reader_entry entry{.reader = *reader, .members = {}};
    for (const auto& element : value["members"]) {
        auto member = read_member(element, failure_domain);
        if (!member) {
            return malformed();
        }
        entry.members.push_back(*std::move(member));
    }
    return entry;
}

bool note_introduced(member_table& table, const roster_member& member, mono_time now) {
    auto& known = table.by_news[member.peer.news];
    const bool changed = known.listed_until <= now || known.member.peer != member.peer;
    known = {.member = member, .listed_until = now + member_validity};
    return changed;
}

bool note_listed(member_table& table, std::span<const reader_entry> entries, const endpoint& self,
                 bool writes, mono_time now) {
    bool changed = false;
    const auto note = [&](const roster_member& member) {
        const bool is_known = table.by_news.contains(member.peer.news);
        if (member.peer.news != self && (!is_known || !writes)) {
            changed = note_introduced(table, member, now) || changed;
        }
    };
    for (const auto& entry : entries) {
        note(entry.reader);
        std::ranges::for_each(entry.members, note);
    }
    return changed;
}

void forget_gone(member_table& table, mono_time now) {
    std::erase_if(table.by_news,
                  [now](const auto& item) { return now >= item.second.listed_until + remember_gone; });
}

std::vector<roster_member> standing_members(const member_table& table, mono_time now) {
    std::vector<roster_member> members;
    for (const auto& [news, known] : table.by_news) {
        if (now < known.listed_until) {
            members.push_back(known.member);
        }
    }
    return members;
}

std::uint64_t digest_of(std::span<const roster_member> members) noexcept {
    std::uint64_t digest = 0;
    for (const auto& member : members) {
        const auto& news = member.peer.news;
        digest ^= hash_bytes(std::as_bytes(std::span{news.address.bytes}), news.port);
    }
    return digest;
}

std::uint64_t next_incarnation(std::uint64_t current, std::uint64_t listed) noexcept {
    return listed > current ? listed + 1 : current;
}

}  // namespace guavaramp
