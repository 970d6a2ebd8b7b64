#include "json_reading.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/roster.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t member_fields = 4;

/// A member without its failure domain, which the entry names once.
json to_json(const roster_member& member) {
    return json::array({to_string(member.peer.address), to_string(member.peer.news),
                        to_string(member.peer.admin), member.incarnation});
}

bool read_member(const json& value, const std::string& failure_domain, roster_member& out) {
    out.peer.failure_domain = failure_domain;
    return value.is_array() && value.size() == member_fields && read_socket(value[0], out.peer.address) &&
           read_socket(value[1], out.peer.news) && read_socket(value[2], out.peer.admin) &&
           read_number(value[3], out.incarnation);
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
    const auto value = json::parse(text, nullptr, false);
    reader_entry entry;
    std::string failure_domain;
    const auto read = [&failure_domain](const json& from, roster_member& out) {
        return read_member(from, failure_domain, out);
    };
    const bool complete = value.is_object() && value.contains("failure_domain") && value.contains("reader") &&
                          value.contains("members") && read_text(value["failure_domain"], failure_domain) &&
                          read(value["reader"], entry.reader) &&
                          read_array(value["members"], most_members, entry.members, read);
    if (!complete) {
        return fail(error_kind::malformed, "a reader's entry lacks its failure domain, reader or members");
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
