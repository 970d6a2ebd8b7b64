#pragma once

#include <guavaramp/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace guavaramp {

/// The failure domains that the operator has evacuated. Their hosts keep their open flows and take no new
/// ones. The set is state beside the configuration and the listing: readers of the store read it, and each of
/// their reports contains it.

/// Limits of the set. Further names are ignored; the first ones in the order of the keys are kept, so that
/// all directors keep the same ones.
inline constexpr std::size_t max_evacuated_domains = 64;
inline constexpr std::size_t max_evacuated_name_bytes = 200;
/// Limit of the bytes of names in a report. Together with the largest part of a delta, the receivers to
/// forward it to and the authentication, the message stays below the 2,048 bytes of a datagram. The names of
/// 30 failure domains fit; for more, a report holds their digest, and receivers that differ read the store.
inline constexpr std::size_t max_reported_name_bytes = 400;

using domain_names = std::set<std::string, std::less<>>;

/// The evacuated failure domains at one revision of the store.
struct evacuation_state {
    std::uint64_t revision{0};  ///< the set holds at this revision; 0 before the first read
    domain_names names;
    bool truncated{false};  ///< the store has more names than are kept
};

/// What a change of the set consists of, for log lines and counters.
struct evacuation_change {
    std::vector<std::string> begun;
    std::vector<std::string> ended;
    std::size_t ignored{0};  ///< names that were ignored because of the limits
    /// A name of a set that had too many was removed: only a full read shows which other one takes its place.
    bool needs_full_read{false};
};

/// Changes of the set that a watch has brought: the last event of each key.
struct evacuation_update {
    std::uint64_t revision{0};  ///< the store's revision when it answered
    std::vector<std::string> set;
    std::vector<std::string> withdrawn;
};

/// The set as a reader reports it.
struct evacuation_report {
    std::uint64_t revision{0};  ///< 0 if the sender does not know the set
    /// Nothing if they take more than `max_reported_name_bytes`.
    std::optional<std::vector<std::string>> names;
    std::uint64_t digest{0};  ///< of the names; only if these are left out

    friend bool operator==(const evacuation_report&, const evacuation_report&) = default;
};

/// Evacuations that were in force when the store was restored from a backup. The backup may be older than
/// they are, so they stay in force until `until`, by when the operator has written them again.
struct held_evacuations {
    domain_names names;
    mono_time until{};
};

/// Returns `names`, which a full read or a report has shown, and those that are still held at `now`.
/// Thread-safe.
[[nodiscard]] std::vector<std::string> with_held_names(const held_evacuations& held,
                                                       std::vector<std::string> names, mono_time now);

/// Returns whether `name` may be in the set. Thread-safe.
[[nodiscard]] bool is_evacuation_name(std::string_view name) noexcept;

/// Returns whether anything of the store is known about evacuations. Thread-safe.
[[nodiscard]] bool is_known(const evacuation_state& state) noexcept;

/// Replaces the set by `names`, which a full read has shown at `revision`, unless a newer set is known.
/// Precondition: `revision` is above 0. Not thread-safe.
evacuation_change apply_evacuation_read(evacuation_state& state, std::uint64_t revision,
                                        const std::vector<std::string>& names);

/// Applies the changes of a watch that began at or before the revision of `state`. Does nothing if the answer
/// is older than the known set or no set is known yet. Not thread-safe.
evacuation_change apply_evacuation_update(evacuation_state& state, const evacuation_update& update);

/// Replaces the set by the one that a reader has reported, unless the known one is as new. Does nothing if
/// the report leaves out the names of a set that differs; then `lacks_reported_evacuations` is true. Not
/// thread-safe.
evacuation_change apply_evacuation_report(evacuation_state& state, const evacuation_report& report);

/// Returns whether `report` shows a newer set whose names must be read from the store. Thread-safe.
[[nodiscard]] bool lacks_reported_evacuations(const evacuation_state& state, const evacuation_report& report);

/// Returns whether a read that may be stale, with `names` at `revision`, shows a change that `state` lacks.
/// With `has_more`, the names are the first page of several, and only those up to its last one are compared.
/// Thread-safe.
[[nodiscard]] bool shows_missed_evacuation(const evacuation_state& state, std::uint64_t revision,
                                           const std::vector<std::string>& names, bool has_more = false);

/// Returns what a reader reports of `state`. Thread-safe.
[[nodiscard]] evacuation_report make_evacuation_report(const evacuation_state& state);

}  // namespace guavaramp
