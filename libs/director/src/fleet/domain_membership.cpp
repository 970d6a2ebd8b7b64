#include "json_fields.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/domain_membership.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::size_t member_fields = 4;

/// Returns the JSON form of a member without its failure domain, which the entry names once for all members.
json to_json(const domain_member& member) {
    return json::array({to_string(member.peer.observation_address), to_string(member.peer.update_address),
                        to_string(member.peer.admin_address), member.incarnation});
}

bool read_member(const json& value, const std::string& failure_domain, domain_member& target) {
    target.peer.failure_domain = failure_domain;
    return value.is_array() && value.size() == member_fields &&
           read_socket(value[0], target.peer.observation_address) &&
           read_socket(value[1], target.peer.update_address) &&
           read_socket(value[2], target.peer.admin_address) && read_number(value[3], target.incarnation);
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
    const auto read = [&failure_domain](const json& member, domain_member& target) {
        return read_member(member, failure_domain, target);
    };
    const bool is_valid = value.is_object() && value.contains("failure_domain") && value.contains("reader") &&
                          value.contains("members") && read_text(value["failure_domain"], failure_domain) &&
                          read(value["reader"], entry.reader) &&
                          read_array(value["members"], max_members, entry.members, read);
    if (!is_valid) {
        return fail(
            error_kind::malformed,
            "the failure_domain, reader or members of a reader's entry are missing or cannot be read");
    }
    return entry;
}

bool record_introduction(member_table& table, const domain_member& member, mono_time now) {
    auto& known = table.by_update_address[member.peer.update_address];
    const bool changed = known.valid_until <= now || known.member.peer != member.peer;
    known = {.member = member, .valid_until = now + member_validity};
    return changed;
}

bool record_listed_members(member_table& table, std::span<const reader_entry> entries, const endpoint& self,
                           bool writes_entry, mono_time now) {
    bool changed = false;
    const auto record = [&](const domain_member& member) {
        const bool is_known = table.by_update_address.contains(member.peer.update_address);
        if (member.peer.update_address != self && (!is_known || !writes_entry)) {
            changed = record_introduction(table, member, now) || changed;
        }
    };
    for (const auto& entry : entries) {
        record(entry.reader);
        std::ranges::for_each(entry.members, record);
    }
    return changed;
}

void purge_expired_members(member_table& table, mono_time now) {
    std::erase_if(table.by_update_address, [now](const auto& item) {
        return now >= item.second.valid_until + expired_member_retention;
    });
}

std::vector<domain_member> live_members(const member_table& table, mono_time now) {
    std::vector<domain_member> members;
    for (const auto& [address, known] : table.by_update_address) {
        if (now < known.valid_until) {
            members.push_back(known.member);
        }
    }
    return members;
}

std::uint64_t digest_of(std::span<const domain_member> members) noexcept {
    std::uint64_t digest = 0;
    for (const auto& member : members) {
        const auto& address = member.peer.update_address;
        digest ^= hash_bytes(std::as_bytes(std::span{address.address.bytes}), address.port);
    }
    return digest;
}

std::uint64_t next_incarnation(std::uint64_t current, std::uint64_t listed) noexcept {
    return listed > current ? listed + 1 : current;
}

}  // namespace guavaramp
