#pragma once

#include <cstdint>
#include <optional>

namespace guavaramp {

/// Revisions of the platform's store that stay ordered when the store is restored from a backup. Each restore
/// raises the store's era by one and takes its own revisions back. An ordered revision has the era in its
/// upper 16 bits and the store's revision in its lower 48, so that a comparison orders by era first. In era 0
/// it equals the store's revision.

inline constexpr unsigned store_revision_bits = 48;
/// Largest revision that a store may have: at a million writes per second it lasts for nine years.
inline constexpr std::uint64_t max_store_revision = (std::uint64_t{1} << store_revision_bits) - 1;
/// Largest era that an ordered revision can hold.
inline constexpr std::uint64_t max_store_era = 0xffff;

/// Returns the ordered revision. Precondition: `era` and `store_revision` are within their limits.
/// Thread-safe.
[[nodiscard]] constexpr std::uint64_t ordered_revision(std::uint64_t era,
                                                       std::uint64_t store_revision) noexcept {
    return (era << store_revision_bits) | store_revision;
}

/// Returns the era of an ordered revision. Thread-safe.
[[nodiscard]] constexpr std::uint64_t era_of(std::uint64_t revision) noexcept {
    return revision >> store_revision_bits;
}

/// Returns the store's own revision in an ordered one. Thread-safe.
[[nodiscard]] constexpr std::uint64_t store_revision_of(std::uint64_t revision) noexcept {
    return revision & max_store_revision;
}

/// How the era of an answer or a message relates to the latest era that a director has seen.
enum class era_order : std::uint8_t { earlier, same, later };

/// The latest era that a director has seen in answers of the store or in messages of other directors.
struct store_era {
    std::uint64_t era{0};
    bool known{false};  ///< the store or another director has stated an era
};

/// Records the era of an answer or a message. Returns `later` if the store was restored since the latest
/// answer, and `earlier` if the answer or message must not change anything. The first era ever seen is the
/// `same`. Not thread-safe.
[[nodiscard]] constexpr era_order record_era(store_era& latest, std::uint64_t era) noexcept {
    if (!latest.known || era == latest.era) {
        latest = {.era = era, .known = true};
        return era_order::same;
    }
    if (era < latest.era) {
        return era_order::earlier;
    }
    latest.era = era;
    return era_order::later;
}

/// What to do with an answer of the store.
enum class answer_use : std::uint8_t {
    use,
    ignore,      ///< it is of an earlier era and changes nothing
    read_again,  ///< the read began in another era than it ended, so a full read must take its place
    restored     ///< the same, and it is the first answer of a later era
};

/// Returns what to do with an answer of the era `era`, and records the era. `began_in` is the era of the
/// revision from which the watch that it ends has started, or of the first page of the listing that it
/// continues; none for other reads. Not thread-safe.
[[nodiscard]] constexpr answer_use judge_answer(store_era& latest, std::uint64_t era,
                                                std::optional<std::uint64_t> began_in) noexcept {
    const auto order = record_era(latest, era);
    if (order != era_order::same) {
        return order == era_order::earlier ? answer_use::ignore : answer_use::restored;
    }
    return began_in && *began_in != era ? answer_use::read_again : answer_use::use;
}

}  // namespace guavaramp
