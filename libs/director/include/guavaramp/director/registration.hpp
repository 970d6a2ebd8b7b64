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

/// What to do next.
enum class registration_step : std::uint8_t {
    read_fleet,   ///< read the fleet's key and the others' entries
    start_lease,  ///< start a lease
    write_entry,  ///< write the own entry under the lease, and the fleet's key if there is none
    renew_lease   ///< renew it; then read the others again
};

struct registration {
    registration_step next{registration_step::read_fleet};
    mono_time next_at{};
    bool in_progress{false};
    bool fleet_key_known{false};
    std::uint32_t reads_without_own{0};  ///< in a row, since the entry was written
    std::uint64_t lease{0};              ///< 0: none
    std::uint64_t incarnation{0};        ///< revision of the own entry; 0: not written yet
};

/// Readings in a row without the own entry that show that it is gone although its lease lives. A single
/// cached one may be older than the entry.
inline constexpr std::uint32_t reads_that_show_loss = 2;

/// What a reading of the fleet has shown.
struct fleet_reading {
    bool has_key{false};  ///< the fleet has a key
    bool has_own{false};  ///< the own entry is there
};

/// The fleet has been read. Begins anew when the own entry has gone. Not thread-safe.
void note_fleet_read(registration& state, const fleet_reading& reading, mono_time now) noexcept;

/// A lease has started. Not thread-safe.
void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept;

/// The own entry is written, at `revision`. Not thread-safe.
void note_entry_written(registration& state, std::uint64_t revision, mono_time now) noexcept;

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
