#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// When a director asks the platform's store about the others, and when it writes there itself. Readers keep
/// an entry under a lease that names the directors of their failure domain; the others only read. Calls then
/// grow with the failure domains and not with the directors that start.

/// Duration of the lease: an entry outlives its reader by at most this time.
inline constexpr auto registration_lease = std::chrono::milliseconds{30000};
/// Period of reading the entries, and of renewing a reader's lease. Two renewals may fail before it ends.
inline constexpr auto registration_period = std::chrono::milliseconds{10000};
/// Wait after a failure. Registration is never urgent.
inline constexpr auto registration_retry_wait = std::chrono::milliseconds{1000};
/// How long a director must have been a reader before it registers, while other readers have entries: those
/// that only stand in for a moment need none.
inline constexpr auto reader_settling_time = std::chrono::milliseconds{2000};
/// Least time between two writes of the same entry: hundreds of directors that start make a few of them.
inline constexpr auto entry_write_period = std::chrono::milliseconds{2000};

/// Least time between two readings that messages ask for which the fleet's key does not fit.
inline constexpr auto least_key_check_period = std::chrono::milliseconds{5000};

/// What to do next.
enum class registration_step : std::uint8_t {
    read_fleet,   ///< read the fleet's key and the readers' entries
    start_lease,  ///< start a lease
    write_entry,  ///< write the own entry under the lease, and the fleet's key if there is none
    renew_lease
};

struct registration {
    mono_time read_at{};
    mono_time renew_at{};
    mono_time write_at{};  ///< not before
    mono_time retry_at{};  ///< no step before, after one that failed
    /// When a director that finds no readers may write an entry; the maximum while there are some.
    mono_time claims_at{mono_time::max()};
    mono_time reader_since{mono_time::max()};  ///< the maximum: it is none
    mono_time entry_written_at{};
    mono_time key_checked_at{};          ///< when a message last made it look for a new key
    std::uint64_t written_members{0};    ///< digest of the members in the own entry
    std::uint64_t lease{0};              ///< 0: none
    std::uint32_t reads_without_own{0};  ///< in a row, long enough after the entry was written
    bool has_entry{false};
    bool key_missing{false};
    bool was_read{false};
    bool needs_newest{false};  ///< a cached reading has misled the write that followed
};

/// Readings in a row without the own entry that show that it is gone although its lease lives. A single
/// cached one may be older than the entry.
inline constexpr std::uint32_t reads_that_show_loss = 2;

/// What a reading of the fleet has shown.
struct fleet_reading {
    bool has_key{false};     ///< the failure domain has a key
    bool has_own{false};     ///< the own entry is there
    std::size_t readers{0};  ///< entries of others
};

/// The next step, and when it is due.
struct due_step {
    registration_step step{registration_step::read_fleet};
    mono_time at{};

    friend bool operator==(const due_step&, const due_step&) = default;
};

/// What to do next, when the own entry should name members with the digest `members`. Not thread-safe.
[[nodiscard]] due_step next_step(const registration& state, std::uint64_t members) noexcept;

/// Whether this director is a reader. Not thread-safe.
[[nodiscard]] bool is_reader(const registration& state) noexcept;

/// Sets whether this director is a reader. One that no longer is lets its entry end with its lease. Not
/// thread-safe.
void note_reader(registration& state, bool is_reader, mono_time now) noexcept;

/// The fleet has been read. While there is no reader or no key, directors claim the place one after the
/// other: this one `claim_delay` later, if its next reading shows none either. Not thread-safe.
void note_fleet_read(registration& state, const fleet_reading& reading, std::chrono::milliseconds claim_delay,
                     mono_time now) noexcept;

/// A lease has started. Not thread-safe.
void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept;

/// The own entry is written, with members of the digest `members`. Not thread-safe.
void note_entry_written(registration& state, std::uint64_t members, mono_time now) noexcept;

/// The lease was renewed. Not thread-safe.
void note_lease_renewed(registration& state, mono_time now) noexcept;

/// Another director has written the fleet's key first: reads it. Not thread-safe.
void note_key_conflict(registration& state, mono_time now) noexcept;

/// A message of another director does not fit the key: there may be a new one, and the cached answer that
/// brought this one may have been old. Not thread-safe.
void note_key_doubted(registration& state, mono_time now) noexcept;

/// The store says that the lease has ended: begins anew. Not thread-safe.
void note_registration_lost(registration& state, mono_time now) noexcept;

/// A call has failed and may or may not have had an effect; it is repeated, which is harmless: each step
/// replaces its own earlier effect. Not thread-safe.
void note_registration_failure(registration& state, mono_time now) noexcept;

}  // namespace guavaramp
