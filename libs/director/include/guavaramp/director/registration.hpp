#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstdint>

namespace guavaramp {

/// A director's entry among the others: kept in the platform's store under a lease, so that it vanishes with
/// the director. The fleet works without it; peers then hear nothing from a director that has none.

/// Duration of the lease: an entry outlives its director by at most this time.
inline constexpr auto registration_lease = std::chrono::milliseconds{30000};
/// Period of renewing the lease and reading the others' entries. Two renewals may fail before the lease ends.
inline constexpr auto registration_period = std::chrono::milliseconds{10000};
/// Wait after a failure. Registration is never urgent.
inline constexpr auto registration_retry_wait = std::chrono::milliseconds{1000};

/// Wait between readings while the fleet has no key yet.
inline constexpr auto fleet_key_wait = std::chrono::milliseconds{300};
/// Directors that write the fleet's key when there is none; with each further reading that shows none, as
/// many more. The others would only be refused, which costs as much as a call that succeeds.
inline constexpr std::uint32_t key_writers = 2;

/// What to do next.
enum class registration_step : std::uint8_t {
    read_fleet,   ///< read the fleet's key and the others' entries
    start_lease,  ///< start a lease
    write_entry,  ///< write the own entry under the lease
    write_key,    ///< write the fleet's key unless there is one
    renew_lease   ///< renew it; then read the others again
};

struct registration {
    registration_step next{registration_step::read_fleet};
    mono_time next_at{};
    bool needs_newest{false};            ///< a cached reading of the fleet has misled the write that followed
    std::uint32_t reads_without_own{0};  ///< in a row, long enough after the entry was written
    std::uint32_t reads_without_key{0};  ///< in a row
    mono_time entry_written_at{};
    std::uint64_t lease{0};        ///< 0: none
    std::uint64_t incarnation{0};  ///< revision of the own entry; 0: not written yet
};

/// Readings in a row without the own entry that show that it is gone although its lease lives. A single
/// cached one may be older than the entry.
inline constexpr std::uint32_t reads_that_show_loss = 2;

/// What a reading of the fleet has shown.
struct fleet_reading {
    bool has_key{false};  ///< the fleet has a key
    bool has_own{false};  ///< the own entry is there
    std::uint32_t entries_before_own{0};
};

/// The fleet has been read. Begins anew when the own entry has gone. Not thread-safe.
void note_fleet_read(registration& state, const fleet_reading& reading, mono_time now) noexcept;

/// A lease has started. Not thread-safe.
void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept;

/// The own entry is written, at `revision`. Not thread-safe.
void note_entry_written(registration& state, std::uint64_t revision, mono_time now) noexcept;

/// The fleet's key is written. Not thread-safe.
void note_key_written(registration& state, mono_time now) noexcept;

/// The lease was renewed. Not thread-safe.
void note_lease_renewed(registration& state, mono_time now) noexcept;

/// Another director has written the fleet's key first: reads it. Not thread-safe.
void note_key_conflict(registration& state, mono_time now) noexcept;

/// The store says that the lease has ended: begins anew. Not thread-safe.
void note_registration_lost(registration& state, mono_time now) noexcept;

/// A call has failed and may or may not have had an effect; it is repeated, which is harmless: each step
/// replaces its own earlier effect. Not thread-safe.
void note_registration_failure(registration& state, mono_time now) noexcept;

}  // namespace guavaramp
