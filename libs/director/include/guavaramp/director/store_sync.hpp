#pragma once

#include <guavaramp/base/call_limits.hpp>
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

/// How long the store may hold back its answer to a director that is behind others. It has what is missing;
/// the time covers a change that has reached the others through another part of the store.
inline constexpr auto catch_up_wait = std::chrono::milliseconds{200};
/// How long the store may hold back its answer when nothing has changed. Each answer is a call that is paid
/// for; a connection that has gone silent is found by its keep-alive probes and not by this wait.
inline constexpr auto watch_wait = std::chrono::milliseconds{20000};
/// Least time between two watches of the configuration: bounds the calls and the bytes that a series of
/// changes causes. A third of the 3 s in which a change must be in force.
inline constexpr auto least_configuration_period = std::chrono::milliseconds{1000};
/// The same for the listing. Half of the 3 s in which a drain must be in force; the other half is for a
/// reading that fails.
inline constexpr auto least_listing_period = std::chrono::milliseconds{1500};
/// Period of checking both subjects, in turn, against cached readings, which cost a tenth: a watch can miss a
/// change without an error when the store drops its history, or wait on a connection that brings nothing
/// more. With it a missed change is found within half of the 3 s in which a drain must be in force.
inline constexpr auto check_period = std::chrono::milliseconds{750};
/// Bytes a second that checks of the configuration may take: half a per cent of the slowest link, 10 Mbit/s,
/// and in the order of the budget for control.
inline constexpr std::int64_t check_bytes_per_s = 48'000;
/// First wait after a reading that failed; doubles up to `longest_retry_wait`.
inline constexpr auto retry_wait = std::chrono::milliseconds{100};
inline constexpr auto longest_retry_wait = std::chrono::milliseconds{500};
/// How long the store may take to begin its answer, and then to go on with it. Above the slowest answers that
/// the platform announces (60 times 4 ms).
inline constexpr auto read_timeout = std::chrono::milliseconds{700};
/// How long a reading may take while bytes keep coming. When the whole fleet starts, all directors read
/// everything at once, and the store's link is the narrowest place: 1,000 of them take 5 s for 600 KB each.
inline constexpr auto longest_reading = std::chrono::milliseconds{15000};
/// How long after the store's return an upstream may take to be listed again: two seconds by its contract,
/// and one reading.
inline constexpr auto relisting_time = std::chrono::milliseconds{2500};
/// How long a director that takes news of the listing from others waits for a lost message before it asks the
/// store: the second reader's copy comes within a round trip, a reader's own reading takes some 10 ms, and a
/// reader that is asked answers within the wake-ups of two slow machines.
inline constexpr auto repair_wait = std::chrono::milliseconds{300};
/// Wait between cached readings of a configuration that others have already. The platform's cached answers
/// are usually some hundred milliseconds old.
inline constexpr auto cached_retry_wait = std::chrono::milliseconds{300};
/// Cached readings that may be too old before the newest one is asked for: with the waits between them,
/// `least_configuration_period` here and at the reader, the change is in force within 2.6 of the 3 s.
inline constexpr std::uint32_t most_cached_readings = 2;
/// How long a director waits for readers to confirm a listing that came from cached answers before it reads
/// the newest one: below the 4 s for which a machine that has just started need not know every change.
inline constexpr auto confirmation_wait = std::chrono::milliseconds{3000};
/// Readings in a row of what has changed that may leave the listing different from a reader's; then all of it
/// is read.
inline constexpr std::uint32_t most_catch_ups = 2;
/// Wait after a reading that failed while other directors' news cover it: the store serves others, and this
/// director need not press it.
inline constexpr auto covered_retry_wait = std::chrono::milliseconds{3000};
/// The same while others are known to have something newer: a third of the 3 s in which a change must be in
/// force.
inline constexpr auto behind_retry_wait = std::chrono::milliseconds{1000};

/// How a subject is read.
enum class reading_kind : std::uint8_t {
    whole,         ///< everything, the newest
    whole_cached,  ///< everything, maybe older; enough when it shows a revision that others have named
    catch_up,      ///< asks for what has changed, and does not wait for long
    watch          ///< waits for what changes
};

/// State of the readings of one subject.
struct subject_sync {
    mono_time next_at{};
    std::uint32_t failures{0};  ///< in a row
    bool reading{false};
    bool watching{false};   ///< the reading in progress is a watch
    bool read_whole{true};  ///< the next reading is of everything, not of what has changed
    bool known{false};      ///< was read at least once
    bool absent{false};     ///< the last whole reading has shown that it does not exist
    bool wanted{false};     ///< the next reading does not wait for other directors' news
    /// Since when other directors are known to have a newer revision; the maximum when none has.
    mono_time behind_since{mono_time::max()};
    std::uint32_t old_readings{0};  ///< cached ones in a row that did not show the newer revision
    std::uint32_t catch_ups{0};     ///< in a row, while others still have something else
    mono_time read_at{};            ///< when the first reading ended
    /// Was complete at some time: read in whole from the newest state, or confirmed by readers.
    bool verified{false};
};

struct store_sync {
    std::array<subject_sync, store_subjects> subjects{};
    mono_time steady_since{
        mono_time::max()};  ///< first success after the last failure; the maximum: none yet
    /// Deadline until which other directors' news take the place of watches; the epoch for a reader.
    mono_time covered_until{};
    /// Others rely on what this director reads, so it reads the newest state. Cached answers, which cost a
    /// tenth and do not count towards the store's limit, do for the first readings of the others: the
    /// readers' reports show whether something is missing.
    bool is_reader{true};
};

/// A reading to start now.
struct due_reading {
    store_subject subject;
    reading_kind kind;
};

/// When a reading that starts at `started` is given up. Thread-safe.
[[nodiscard]] call_limits limits_of(reading_kind kind, mono_time started) noexcept;

/// The state of `subject`. Thread-safe for different objects.
[[nodiscard]] subject_sync& sync_of(store_sync& sync, store_subject subject) noexcept;
[[nodiscard]] const subject_sync& sync_of(const store_sync& sync, store_subject subject) noexcept;

/// Whether `subject` should be read now; marks it as being read. Not thread-safe.
[[nodiscard]] bool start_if_due(store_sync& sync, store_subject subject, mono_time now,
                                due_reading& out) noexcept;

/// A reading that started at `started` has ended well. Not thread-safe.
void note_read(store_sync& sync, const due_reading& reading, mono_time started, mono_time now) noexcept;

/// A cached reading has not shown the revision that others have named. Not thread-safe.
void note_old_reading(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// A reading has failed; `covered` when other directors' news cover it. Returns whether this is news: the
/// first failure after a success or the start. Not thread-safe.
[[nodiscard]] bool note_read_failure(store_sync& sync, store_subject subject, bool covered,
                                     mono_time now) noexcept;

/// Sets until when other directors' news take the place of watches. Not thread-safe.
void note_coverage(store_sync& sync, mono_time until) noexcept;

/// Sets whether others rely on this director. A reader whose listing is not verified reads all of it. Not
/// thread-safe.
void note_reader(store_sync& sync, bool is_reader, mono_time now) noexcept;

/// Readers have confirmed that `subject` is complete here. Not thread-safe.
void note_confirmed(store_sync& sync, store_subject subject) noexcept;

/// Whether other directors have a newer revision of `subject`. Not thread-safe.
void note_behind(store_sync& sync, store_subject subject, bool behind, mono_time now) noexcept;

/// A reading has shown that the subject does not exist yet. Cached readings are enough to see it appear, and
/// those of readers are enough for the others. Not thread-safe.
void note_absent(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// The store has discarded the history that a watch needs: everything is read anew, soon. The store has
/// answered, so this is no failure. Not thread-safe.
void note_history_lost(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// Whether a watch of `subject` is in progress that other directors' news make needless. It must be given up:
/// a connection that has gone silent shows only by checks, and only readers make them. Not thread-safe.
[[nodiscard]] bool is_needless_watch(const store_sync& sync, store_subject subject) noexcept;

/// The reading of `subject` in progress was given up. Not thread-safe.
void note_given_up(store_sync& sync, store_subject subject, mono_time now) noexcept;

/// Makes the next reading of `subject` start at `at`, and one of everything. Precondition: it is not being
/// read. Not thread-safe.
void want_whole(store_sync& sync, store_subject subject, mono_time at) noexcept;

/// When a subject may be checked next, after a check whose answer had `bytes`. Thread-safe.
[[nodiscard]] mono_time next_check_at(std::size_t bytes, mono_time now) noexcept;

/// The earliest time at which a reading is due; the maximum while all are in progress. Not thread-safe.
[[nodiscard]] mono_time next_reading_at(const store_sync& sync) noexcept;

}  // namespace guavaramp
