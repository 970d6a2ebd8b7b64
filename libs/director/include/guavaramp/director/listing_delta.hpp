#pragma once

#include <guavaramp/director/upstreams.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// Changes of the listing as directors pass them on to each other.

/// Entries of one message. With an entry of about 160 bytes the message stays below the path MTU.
inline constexpr std::size_t most_relayed_entries = 7;
/// Changes that a reader sends to a director that asks; one that lacks more reads the store.
inline constexpr std::size_t most_asked_changes = 10 * most_relayed_entries;

/// All changes of the listing after `after_revision`, up to `news.revision`.
struct listing_delta {
    std::uint64_t after_revision{0};
    upstream_update news;

    friend bool operator==(const listing_delta&, const listing_delta&) = default;
};

/// Splits `delta` into parts that each fit a message and that follow one another without a gap. Changes of
/// one revision may need several parts: all but the last of these promise nothing, their revision is that
/// which they follow. Thread-safe.
[[nodiscard]] std::vector<listing_delta> split_delta(const listing_delta& delta);

/// What a delta is to a director that knows every change up to `known`.
enum class delta_fit : std::uint8_t {
    applies,
    known,  ///< brings nothing new
    gap     ///< something before it is missing
};

/// See `delta_fit`. Thread-safe.
[[nodiscard]] delta_fit fit_of(const listing_delta& delta, std::uint64_t known) noexcept;

/// The delta that leads from a listing known up to `after_revision` to `listing`, when applying it made
/// `changes`. Thread-safe.
[[nodiscard]] listing_delta delta_between(std::uint64_t after_revision, const upstream_listing& listing,
                                          std::span<const upstream_change> changes);

/// All changes of `directory` after `after_revision`, when it is known up to `revision`; nothing when they
/// are more than `most_asked_changes`. Not thread-safe.
[[nodiscard]] std::optional<listing_delta> delta_since(const upstream_directory& directory,
                                                       std::uint64_t revision, std::uint64_t after_revision);

}  // namespace guavaramp
