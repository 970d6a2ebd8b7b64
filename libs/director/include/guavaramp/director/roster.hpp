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

/// The directors of one failure domain. Only readers of the store have an entry there, and theirs name the
/// others, so that the store is not asked for an entry and a lease by each director that starts.

/// How long a member stands that does not introduce itself again: two introductions may be lost.
inline constexpr auto member_validity = std::chrono::milliseconds{30000};
/// How long after that a reader remembers it as gone. Another reader's entry may name it until that reader
/// has written again; without the memory the two would bring it back for ever.
inline constexpr auto remember_gone = std::chrono::milliseconds{60000};
/// Members of an entry that is accepted: four times a failure domain at the design size.
inline constexpr std::size_t most_members = 532;

/// A director, as it introduces itself to readers.
struct roster_member {
    director_peer peer;
    std::uint64_t incarnation{0};  ///< grows with each start

    friend bool operator==(const roster_member&, const roster_member&) = default;
};

/// What a reader writes into the store.
struct reader_entry {
    roster_member reader;
    std::vector<roster_member> members;  ///< of its failure domain, without itself

    friend bool operator==(const reader_entry&, const reader_entry&) = default;
};

/// JSON form. Thread-safe.
[[nodiscard]] std::string encode_reader_entry(const reader_entry& entry);

/// Inverse of `encode_reader_entry`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<reader_entry> decode_reader_entry(std::string_view text);

struct known_member {
    roster_member member;
    mono_time listed_until{};  ///< deadline; gone after it
};

/// The other directors that this one knows, by the socket of their news. Not thread-safe.
struct member_table {
    std::map<endpoint, known_member> by_news;
};

/// A director has introduced itself. Returns whether the members have changed. Not thread-safe.
bool note_introduced(member_table& table, const roster_member& member, mono_time now);

/// Readers' entries name these members; the director at `self`, whose table this is, is not its own member.
/// Whoever writes an entry, `writes`, learns only of members that are new to it: those that it knows
/// introduce themselves to it. Returns whether the members have changed. Not thread-safe.
bool note_listed(member_table& table, std::span<const reader_entry> entries, const endpoint& self,
                 bool writes, mono_time now);

/// Forgets what has long been gone. Not thread-safe.
void forget_gone(member_table& table, mono_time now);

/// The members that stand, in the order of their sockets. Not thread-safe.
[[nodiscard]] std::vector<roster_member> standing_members(const member_table& table, mono_time now);

/// A hash of who the members are, without their incarnations: a restart changes nothing. Thread-safe.
[[nodiscard]] std::uint64_t digest_of(std::span<const roster_member> members) noexcept;

/// The incarnation of a director that starts at `unix_ms`, or goes on with `current`, when an entry names it
/// with `listed`. Above every earlier one that the entries know, also when the clock was set back in between;
/// receivers refuse lower ones. Thread-safe.
[[nodiscard]] std::uint64_t next_incarnation(std::uint64_t current, std::uint64_t listed) noexcept;

}  // namespace guavaramp
