#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// Schedules when a director reads the other directors' entries in the platform's store and when it writes
/// its own. Each reader keeps, under a lease, an entry that names the directors of its failure domain; other
/// directors only read. The calls then grow with the number of failure domains and not with the number of
/// directors that start.

/// Duration of the lease: an entry outlives its reader by at most this time.
inline constexpr auto registration_lease_duration = std::chrono::milliseconds{30000};
/// Period of reading the entries, and of renewing a reader's lease. Two renewals may fail before the lease
/// ends.
inline constexpr auto registration_period = std::chrono::milliseconds{10000};
/// Wait after a failed call. Registration is never urgent.
inline constexpr auto registration_retry_wait = std::chrono::milliseconds{1000};
/// How long a director must have been a reader before it registers while other readers have entries: a
/// director that takes over only for a moment needs no entry.
inline constexpr auto reader_settling_time = std::chrono::milliseconds{2000};
/// Least time between two writes of the same entry, so that hundreds of directors that start cause only a few
/// of them.
inline constexpr auto min_entry_write_period = std::chrono::milliseconds{2000};

/// Least time between two reads that are caused by messages which the failure domain's key does not
/// authenticate.
inline constexpr auto min_key_check_period = std::chrono::milliseconds{5000};

/// A call to the store.
enum class registration_step : std::uint8_t {
    read_entries,  ///< read the failure domain's key and the readers' entries
    start_lease,   ///< start a lease
    write_entry,   ///< write the own entry under the lease, and the failure domain's key if there is none
    renew_lease    ///< renew the lease
};

struct registration {
    mono_time read_at{};   ///< when the next read of the entries is due
    mono_time renew_at{};  ///< when the next renewal of the lease is due
    mono_time write_at{};  ///< earliest time of the next write of the own entry
    mono_time retry_at{};  ///< earliest time of any step, after one that has failed
    /// When a director that finds no readers' entries or no key may write an entry; `mono_time::max()` while
    /// there are such entries and a key.
    mono_time claim_at{mono_time::max()};
    mono_time reader_since{mono_time::max()};  ///< `mono_time::max()` if this director is no reader
    mono_time entry_written_at{};
    mono_time key_checked_at{};                ///< when a message last caused a read of the key
    std::uint64_t written_members_digest{0};   ///< of the members that the written entry names
    std::uint64_t lease{0};                    ///< id of the lease; 0 if there is none
    std::uint32_t reads_without_own_entry{0};  ///< in a row, long enough after the entry was written
    bool has_entry{false};                     ///< the own entry was written under the current lease
    bool key_missing{false};                   ///< the last read has shown no key
    bool was_read{false};                      ///< the entries were read at least once
    /// This director had an entry when the store was restored from a backup, and writes it again at once.
    bool rejoins_at_once{false};
    bool needs_newest{false};  ///< the next read must not be a cached one, which may show an outdated key
};

/// Reads in a row without the own entry that show that the entry is gone although its lease is still valid. A
/// single cached read may be older than the entry.
inline constexpr std::uint32_t reads_that_show_entry_loss = 2;

/// What a read of the failure domain's entries has shown.
struct entries_read_result {
    bool has_key{false};           ///< the failure domain has a key
    bool has_own_entry{false};     ///< this director's entry exists
    std::size_t other_readers{0};  ///< number of other readers' entries
};

/// The next step, and when it is due.
struct due_registration_step {
    registration_step step{registration_step::read_entries};
    mono_time at{};

    friend bool operator==(const due_registration_step&, const due_registration_step&) = default;
};

/// Returns the next step when the own entry should name the members with the digest `members_digest`. Not
/// thread-safe.
[[nodiscard]] due_registration_step next_registration_step(const registration& state,
                                                           std::uint64_t members_digest) noexcept;

/// Returns whether this director is a reader. Not thread-safe.
[[nodiscard]] bool is_reader(const registration& state) noexcept;

/// Sets whether this director is a reader. A director that no longer is one lets its entry end with its
/// lease. Not thread-safe.
void record_reader_role(registration& state, bool is_reader, mono_time now) noexcept;

/// Records that the fleet has been read. While there is no reader's entry or no key, directors claim the
/// place of a reader one after the other: this one `claim_delay` later, if its next read shows none either.
/// Not thread-safe.
void record_entries_read(registration& state, const entries_read_result& read,
                         std::chrono::milliseconds claim_delay, mono_time now) noexcept;

/// Records that the lease with the id `lease` has started. Not thread-safe.
void record_lease_start(registration& state, std::uint64_t lease, mono_time now) noexcept;

/// Records that the own entry was written, with members of the digest `members_digest`. Not thread-safe.
void record_entry_write(registration& state, std::uint64_t members_digest, mono_time now) noexcept;

/// Records that the lease was renewed. Not thread-safe.
void record_lease_renewal(registration& state, mono_time now) noexcept;

/// Records that another director has written the fleet's key first: the next step reads that key. Not
/// thread-safe.
void record_key_conflict(registration& state, mono_time now) noexcept;

/// Records that the key does not authenticate a message of another director. There may be a newer key,
/// because the cached answer that brought the known one may have been stale. Not thread-safe.
void record_key_mismatch(registration& state, mono_time now) noexcept;

/// Records that the store reports the lease as ended: the registration starts anew. Not thread-safe.
void record_registration_loss(registration& state, mono_time now) noexcept;

/// Records that the store was restored from a backup. The lease may be gone, or its id may be another
/// director's, so a reader starts a new one, reads the newest entries and writes its own again, without the
/// waits of a director that claims a place. Precondition: no call is in progress. Not thread-safe.
void record_store_restore(registration& state, mono_time now) noexcept;

/// Records that a call has failed, whether or not it had an effect. Repeating it is safe: a write or a
/// renewal replaces its earlier effect, and a lease that no entry uses ends by itself. Not thread-safe.
void record_registration_failure(registration& state, mono_time now) noexcept;

}  // namespace guavaramp
