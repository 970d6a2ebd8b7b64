#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/director/peers.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavaramp {

/// Membership of the directors of one failure domain. Only readers of the store have an entry there, and
/// their entries name the others, so that a director that starts does not need an entry and a lease of its
/// own.

/// How long a member stays live without introducing itself again: two introductions may be lost.
inline constexpr auto member_validity = std::chrono::milliseconds{30000};
/// How long a reader remembers a member after its validity has ended. Another reader's entry may name that
/// member until that reader has written again; without the memory the two readers would bring it back for
/// ever.
inline constexpr auto expired_member_retention = std::chrono::milliseconds{60000};
/// Members that an accepted entry may name: four times a failure domain at the design size.
inline constexpr std::size_t max_members = 532;

/// A director, as it introduces itself to readers.
struct domain_member {
    director_peer peer;
    std::uint64_t incarnation{0};  ///< grows with each start of the director

    friend bool operator==(const domain_member&, const domain_member&) = default;
};

/// The entry that a reader writes into the store.
struct reader_entry {
    domain_member reader;
    std::vector<domain_member> members;  ///< the other members of its failure domain, without the reader

    friend bool operator==(const reader_entry&, const reader_entry&) = default;
};

/// Returns the JSON form of `entry`. Thread-safe.
[[nodiscard]] std::string encode_reader_entry(const reader_entry& entry);

/// Returns the entry whose JSON form is `text`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<reader_entry> decode_reader_entry(std::string_view text);

struct known_member {
    domain_member member;
    mono_time valid_until{};  ///< deadline after which the member counts as gone
};

/// The other directors that this one knows, by their update addresses. Not thread-safe.
struct member_table {
    std::map<endpoint, known_member> by_update_address;
};

/// Records that a director has introduced itself. Returns whether the live members have changed. Not
/// thread-safe.
bool record_introduction(member_table& table, const domain_member& member, mono_time now);

/// Records the members that readers' entries name. The director at `self`, whose table this is, is not a
/// member of its own table. A director that writes an entry itself (`writes_entry`) takes only members that
/// its table does not contain: those that it contains introduce themselves to it. Returns whether the live
/// members have changed. Not thread-safe.
bool record_listed_members(member_table& table, std::span<const reader_entry> entries, const endpoint& self,
                           bool writes_entry, mono_time now);

/// Removes members whose validity ended at least `expired_member_retention` ago. Not thread-safe.
void purge_expired_members(member_table& table, mono_time now);

/// Returns the members whose validity has not ended, in the order of their update addresses. Not thread-safe.
[[nodiscard]] std::vector<domain_member> live_members(const member_table& table, mono_time now);

/// Returns a hash of which directors are members, without their incarnations, so that a restart leaves it as
/// it is. Thread-safe.
[[nodiscard]] std::uint64_t digest_of(std::span<const domain_member> members) noexcept;

/// Returns the incarnation to use for a director that uses `current`, derived from its clock at its start,
/// when others know it with the incarnation `listed`: `current`, or `listed` + 1 if `listed` is higher
/// because the clock was set back in between. Receivers refuse lower incarnations than the one that they
/// know. Thread-safe.
[[nodiscard]] std::uint64_t next_incarnation(std::uint64_t current, std::uint64_t listed) noexcept;

}  // namespace guavaramp
