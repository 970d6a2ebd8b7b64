#pragma once

#include <guavaramp/base/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// When a director reads the platform's store, and how far what it has read may be trusted.

/// The two things that a director reads.
enum class store_subject : std::uint8_t { configuration, listing };

inline constexpr std::size_t store_subjects = 2;

/// Period between two readings while the store answers. A drain must be in force 3 s after it is accepted, and
/// cached answers are up to a second old, which leaves time for two readings that fail.
inline constexpr auto read_period = std::chrono::milliseconds{500};
/// First wait after a reading that failed; doubles up to `read_period`.
inline constexpr auto retry_wait = std::chrono::milliseconds{100};
/// How long a reading may take. Above the slowest answers that the platform announces (60 times 4 ms).
inline constexpr auto read_timeout = std::chrono::milliseconds{700};
/// Changes that a cached answer may not show yet.
inline constexpr auto cached_answer_age = std::chrono::milliseconds{3000};
/// How long after the store's return an upstream may take to be listed again: two seconds by its contract, and
/// one reading.
inline constexpr auto relisting_time = std::chrono::milliseconds{2500};
/// How long a configuration counts as the newest after it was read: within the time in which a change must be
/// in force, less one reading.
inline constexpr auto configuration_validity = std::chrono::milliseconds{2500};

/// State of the readings of one subject.
struct subject_sync {
    mono_time next_at{};
    std::uint32_t failures{0};  ///< in a row
    bool reading{false};
    bool known{false};          ///< read at least once
    bool want_newest{true};     ///< the next reading must not be a cached one
};

struct store_sync {
    std::array<subject_sync, store_subjects> subjects{};
    mono_time steady_since{mono_time::max()};  ///< first success after the last failure; the maximum: none yet
};

/// A reading to start now.
struct due_reading {
    store_subject subject;
    bool newest;  ///< whether a cached answer will not do
};

/// The state of `subject`. Thread-safe for different objects.
[[nodiscard]] subject_sync& sync_of(store_sync& sync, store_subject subject) noexcept;
[[nodiscard]] const subject_sync& sync_of(const store_sync& sync, store_subject subject) noexcept;

/// Whether `subject` should be read now; marks it as being read. Not thread-safe.
[[nodiscard]] bool start_if_due(store_sync& sync, store_subject subject, mono_time now, due_reading& out) noexcept;

/// A reading has ended well. Not thread-safe.
void note_read(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// A reading has failed. Returns whether this is news: the first failure after a success or the start. Not
/// thread-safe.
[[nodiscard]] bool note_read_failure(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// Makes the next reading of `subject` one that includes all confirmed changes. Not thread-safe.
void want_newest(store_sync& sync, store_subject subject) noexcept;

/// The earliest time at which a reading is due. Not thread-safe.
[[nodiscard]] mono_time next_reading_at(const store_sync& sync) noexcept;

/// From when on an upstream that is not listed counts as gone; the maximum while the store is not steady. Not
/// thread-safe.
[[nodiscard]] mono_time absence_counts_from(const store_sync& sync) noexcept;

/// The time up to which a reading that started at `started` includes all confirmed changes. Thread-safe.
[[nodiscard]] mono_time includes_changes_until(mono_time started, bool newest) noexcept;

}  // namespace guavaramp
