#pragma once

#include <guavaramp/director/upstreams.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// Changes of the listing of upstreams, in the form in which directors relay them to each other.

/// Entries, changed or removed, of one message. With entries of about 160 bytes the message stays below the
/// path MTU.
inline constexpr std::size_t max_entries_per_message = 7;
/// Limit of the encoded bytes of the entries of one message, unless it has a single entry.
inline constexpr std::size_t max_entry_bytes_per_message = 1120;
/// Changes that a reader sends to a director that asks for them; a director that lacks more reads the store.
inline constexpr std::size_t max_requested_changes = 10 * max_entries_per_message;

/// All changes of the listing after `after_revision`, up to and including `update.revision`; if the two
/// revisions are equal, some of the changes after them, see `split_delta`.
struct listing_delta {
    std::uint64_t after_revision{0};
    upstream_update update;

    friend bool operator==(const listing_delta&, const listing_delta&) = default;
};

/// Splits `delta` into parts that each fit into a message and that follow one another without a gap. The
/// parts raise the receiver's known revision to `delta.update.revision` and not to that of a newer entry.
/// Changes of one revision may need several parts: all of these but the last leave the receiver's known
/// revision as it is, because their `update.revision` equals their `after_revision`. Thread-safe.
[[nodiscard]] std::vector<listing_delta> split_delta(const listing_delta& delta);

/// Whether a director that knows every change up to some revision can apply a delta.
enum class delta_status : std::uint8_t {
    applies,
    already_known,  ///< contains no change that is new to the director
    gap             ///< changes before the delta are missing at the director
};

/// Returns the status of `delta` at a director that knows every change up to `known_revision`. Thread-safe.
[[nodiscard]] delta_status delta_status_of(const listing_delta& delta, std::uint64_t known_revision) noexcept;

/// Returns the newest revision in `delta`. It may be above `delta.update.revision`, see `split_delta`, and of
/// a later era of the store. Thread-safe.
[[nodiscard]] std::uint64_t newest_revision_of(const listing_delta& delta) noexcept;

/// What a delta has changed at a director.
struct applied_delta {
    delta_status status{delta_status::gap};
    std::uint64_t known_revision{0};       ///< the director knows every change up to it now
    std::vector<upstream_change> changes;  ///< changes of the directory; may be present if already known
};

/// Applies `delta` to the directory of a director that knows every change up to `known_revision`, unless
/// there is a gap between them. The entries of a delta that is already known are applied too: they can
/// correct a change that all directors have missed. Upstreams that were unlisted before `keep_unlisted_since`
/// are removed. Not thread-safe.
[[nodiscard]] applied_delta apply_delta(upstream_directory& directory, const listing_delta& delta,
                                        std::uint64_t known_revision, mono_time now,
                                        mono_time keep_unlisted_since);

/// Returns the delta that leads from a listing known up to `after_revision` to `listing`, where `changes` are
/// those that applying `listing` has made. Thread-safe.
[[nodiscard]] listing_delta delta_between(std::uint64_t after_revision, const upstream_listing& listing,
                                          std::span<const upstream_change> changes);

/// Returns all changes of `directory`, which is known up to `revision`, after `after_revision`;
/// `std::nullopt` if they are more than `max_requested_changes`. Not thread-safe.
[[nodiscard]] std::optional<listing_delta> delta_since(const upstream_directory& directory,
                                                       std::uint64_t revision, std::uint64_t after_revision);

}  // namespace guavaramp
