#pragma once

#include <guavaramp/base/call_limits.hpp>
#include <guavaramp/base/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// Schedules a director's reads of the platform's store and tracks how far the data that it has read may be
/// trusted.

/// The data that a director reads from the store: the operator's configuration and the listing of upstreams.
enum class store_dataset : std::uint8_t { configuration, listing };

inline constexpr std::size_t store_dataset_count = 2;

/// Time in which a change that the store has confirmed must be in force at all directors, unless the settings
/// state a longer one.
inline constexpr auto change_bound = std::chrono::milliseconds{3000};
/// How long the store may hold back its answer to a catch-up read. A director that makes one is behind
/// others, so the store usually has what is missing; the wait covers a change that reached the others through
/// another part of the store.
inline constexpr auto catch_up_hold_limit = std::chrono::milliseconds{200};
/// Longest time between two verifications of a reader's listing or configuration, each of which is an answer
/// to a watch, and so how long the store may hold back an answer when nothing has changed. Others rely on the
/// reader for `verification_validity` after one; the rest of that time is for a slow answer and for a report
/// that is lost and repeated.
///
/// Only an answer shows that a watch still lives: one that was sent while the store gave no response may
/// never get one, although the store's machine answers keep-alive probes and new calls. A reader replaces
/// such a watch after `read_stall_timeout` and the wait before the next read. The directors that rely on it
/// then need the time for their own reads, and all must fit into `change_bound`.
inline constexpr auto verification_period = std::chrono::milliseconds{1400};
/// Least time between the starts of two watches of a dataset, if the first one has brought changes. It bounds
/// the calls and the bytes that a series of changes causes, and is a third of the 3 s in which a change must
/// be in force.
inline constexpr auto min_watch_period = std::chrono::milliseconds{1000};
/// Least time for which the store may hold back the answer to a watch that follows a shorter one. A reader on
/// a machine that runs its handlers late could otherwise make only watches that end at once, and would have
/// none open when a change comes. It is the time that is left of the period after `min_watch_period`, so that
/// it delays no verification of a punctual reader.
inline constexpr auto min_watch_hold = verification_period - min_watch_period;
/// Period of checking the two datasets, in turn, against cached reads, which cost a tenth of a read of the
/// newest state. A watch can miss a change without an error when the store drops its history. A cached answer
/// may be seconds old, so a check shows only what is missing, and never that a dataset is complete.
inline constexpr auto check_period = std::chrono::milliseconds{700};
/// Limit of the bytes per second that checks of the configuration take: 4% of the slowest link, 10 Mbit/s.
inline constexpr std::int64_t max_configuration_check_bytes_per_s = 48'000;
/// Wait after the first of several failed reads in a row. It doubles with each further failure up to
/// `max_read_retry_wait`.
inline constexpr auto min_read_retry_wait = std::chrono::milliseconds{100};
inline constexpr auto max_read_retry_wait = std::chrono::milliseconds{500};
/// How long the store may take to begin its answer, and how long it may then send nothing. The time is above
/// the slowest answers that the platform announces (60 times 4 ms).
inline constexpr auto read_stall_timeout = std::chrono::milliseconds{700};
/// How long a read may take while bytes keep arriving. When the whole fleet starts, all directors read
/// everything at once, and the store's link is the bottleneck: 1,000 directors take 5 s for 600 KB each.
inline constexpr auto max_read_duration = std::chrono::milliseconds{15000};
/// How long after the store's return an upstream may take to be listed again: two seconds by its contract,
/// and one read.
inline constexpr auto max_relisting_time = std::chrono::milliseconds{2500};
/// How long a director that takes updates of the listing from readers waits for a lost message before it
/// reads the store: the second reader's copy arrives within a round trip, a reader's own read takes some 10
/// ms, and a reader that is asked for the changes answers within the wake-ups of two slow machines.
inline constexpr auto lost_update_wait = std::chrono::milliseconds{300};
/// Wait after a cached read whose configuration was older than the one that readers have reported. The
/// platform's cached answers are usually some hundred milliseconds old.
inline constexpr auto stale_read_retry_wait = std::chrono::milliseconds{300};
/// Stale cached reads in a row after which the newest state is read. With the waits between them, and with
/// `min_watch_period` here and at the reader, the change is in force within 2.6 of the 3 s.
inline constexpr std::uint32_t max_stale_cached_reads = 2;
/// How long a director waits for readers to confirm a listing that came from cached answers before it reads
/// the newest one. It is below the 4 s for which a machine that has just started need not know every change.
inline constexpr auto listing_confirmation_timeout = std::chrono::milliseconds{3000};
/// Catch-up reads in a row that may leave the listing different from a reader's; after them the full listing
/// is read.
inline constexpr std::uint32_t max_catch_up_reads = 2;
/// Wait after a failed read of a director that is no reader, while readers' reports cover it: the store
/// serves others, and this director need not add to its load. It ends early when a report names a newer
/// revision.
inline constexpr auto covered_read_retry_wait = std::chrono::milliseconds{3000};
/// Wait after a failed read while readers' reports cover this director but name a newer revision: a third of
/// the 3 s in which a change must be in force.
inline constexpr auto behind_read_retry_wait = std::chrono::milliseconds{1000};

/// Wait after a failed read of a director that is no reader and hears none. All directors of a failure domain
/// make such reads while the store is down, so the wait bounds their calls; it ends within the 4 s after
/// which a director that the store serves again must know every change.
inline constexpr auto own_read_retry_wait = std::chrono::milliseconds{2000};

/// How a dataset is read.
enum class read_kind : std::uint8_t {
    full,         ///< reads everything, in its newest state
    full_cached,  ///< reads everything, maybe stale; enough if it shows a revision that readers have reported
    /// Asks for the changes after a revision and waits only `catch_up_hold_limit` for them. Directors that
    /// are no readers make no other reads of changes.
    catch_up,
    watch  ///< waits for the next changes after a revision
};

/// State of the reads of one dataset.
struct dataset_sync {
    mono_time next_read_at{};
    std::uint32_t consecutive_failures{0};
    bool read_in_progress{false};
    bool watch_in_progress{false};     ///< the read in progress is a watch
    mono_time watch_due_at{};          ///< when the answer to the watch in progress is due
    bool last_watch_was_short{false};  ///< its answer was due in less than `min_watch_hold`
    bool needs_full_read{true};        ///< the next read is a full one and asks not only for changes
    bool was_read{false};              ///< at least one read has succeeded
    bool absent{false};                ///< the last full read has shown that the dataset does not exist
    bool read_requested{false};        ///< the next read starts although readers' reports cover the dataset
    /// Time since which readers are known to have a newer revision; `mono_time::max()` if none has one.
    mono_time behind_since{mono_time::max()};
    std::uint32_t stale_cached_reads{0};  ///< cached reads in a row that did not show the newer revision
    std::uint32_t catch_up_reads{0};      ///< catch-up reads in a row that left the listing different
    mono_time first_read_at{};            ///< when the first successful read ended
    /// The dataset was complete at some time: it was read in full from the newest state, or readers have
    /// confirmed it.
    bool verified{false};
    /// Time at which the store last showed by its newest state that the dataset is complete; the epoch if it
    /// never did.
    mono_time verified_at{};
};

struct store_sync {
    /// The first reads take cached answers; off only in experiments.
    bool takes_cached_answers_first{true};
    std::array<dataset_sync, store_dataset_count> datasets{};
    /// Time of the first success after the last failure; `mono_time::max()` if no read has succeeded since.
    mono_time store_available_since{mono_time::max()};
    /// Deadline until which readers' reports take the place of watches; the epoch if this director is a
    /// reader.
    mono_time covered_until{};
    /// Other directors rely on what this director reads, so it reads the newest state. Directors that are no
    /// readers may use cached answers, which cost a tenth and do not count towards the store's limit, for
    /// their first reads: the readers' reports show whether something is missing.
    bool is_reader{true};
};

/// A read to start now.
struct due_read {
    store_dataset dataset;
    read_kind kind;
    mono_time hold_until{};  ///< the store may hold back its answer until then; the epoch if not at all
};

/// Returns the time limits of a call whose answer is due at `answer_due_at`: at its start, or when the store
/// may no longer hold it back. Thread-safe.
[[nodiscard]] call_limits limits_of(mono_time answer_due_at) noexcept;

/// Returns the state of the reads of `dataset`. Thread-safe for different objects.
[[nodiscard]] dataset_sync& sync_of(store_sync& sync, store_dataset dataset) noexcept;
[[nodiscard]] const dataset_sync& sync_of(const store_sync& sync, store_dataset dataset) noexcept;

/// Returns whether a read of `dataset` is due now. If so, marks it as in progress and sets `due` to the read
/// to start. Not thread-safe.
[[nodiscard]] bool start_read_if_due(store_sync& sync, store_dataset dataset, mono_time now,
                                     due_read& due) noexcept;

/// Records that `read`, which started at `started`, has succeeded. The answer shows the state at some time
/// after that, however late it arrives. Not thread-safe.
void record_read(store_sync& sync, const due_read& read, mono_time started, mono_time now) noexcept;

/// Records that the answer to the watch `read`, which `record_read` has recorded before, has no changes. The
/// store holds back such an answer until `hold_until`, so the dataset was complete then. A reader's next
/// watch starts at once, so that one is always open; an answer that comes before its time keeps the least
/// period. Not thread-safe.
void record_unchanged(store_sync& sync, const due_read& read, mono_time now) noexcept;

/// Returns when the store last showed by its newest state that all datasets that exist are complete; the
/// epoch if it never did. A reader's report carries the age of this time, since others rely on the reader for
/// all of them. Not thread-safe.
[[nodiscard]] mono_time datasets_verified_at(const store_sync& sync) noexcept;

/// Records that what the store has shown so far is stale, because the machine was suspended. Not thread-safe.
void discard_verification(store_sync& sync) noexcept;

/// Records that a cached read has not shown the revision that readers have reported. Not thread-safe.
void record_stale_read(store_sync& sync, store_dataset dataset, mono_time now) noexcept;

/// Records that a read has failed; `covered` tells whether readers' reports cover this director. Reports do
/// not make a reader wait: they show it that it is behind, and two readers would each wait for the other.
/// Returns whether this is the first failure after a success or the start. Not thread-safe.
[[nodiscard]] bool record_read_failure(store_sync& sync, store_dataset dataset, bool covered,
                                       mono_time now) noexcept;

/// Sets the deadline until which readers' reports take the place of watches. Not thread-safe.
void set_coverage_deadline(store_sync& sync, mono_time until) noexcept;

/// Records that no reader's report covers this director any more, or that it becomes a reader: a wait after a
/// failed read that relied on the coverage ends. Not thread-safe.
void record_coverage_loss(store_sync& sync, mono_time now) noexcept;

/// Sets whether other directors rely on what this director reads. A director that becomes a reader and whose
/// listing is not verified reads the full listing. Not thread-safe.
void record_reader_role(store_sync& sync, bool is_reader, mono_time now) noexcept;

/// Records that readers have confirmed that this director's copy of `dataset` is complete. Not thread-safe.
void record_confirmation(store_sync& sync, store_dataset dataset) noexcept;

/// Sets whether readers have a newer revision of `dataset` than this director. A wait after a failed read
/// that relied on the coverage ends if they have. Not thread-safe.
void set_behind(store_sync& sync, store_dataset dataset, bool behind, mono_time now) noexcept;

/// Records that a read has shown that `dataset` does not exist yet. Cached reads are enough to see it appear,
/// and directors that are no readers wait for the readers' reports. Not thread-safe.
void record_absence(store_sync& sync, store_dataset dataset, mono_time now) noexcept;

/// Records that the store has discarded the history that a watch needs: a full read follows soon. The store
/// has answered, so this does not count as a failure. Not thread-safe.
void record_discarded_history(store_sync& sync, store_dataset dataset, mono_time now) noexcept;

/// Returns whether a watch of `dataset` is in progress although readers' reports cover the dataset. Such a
/// watch must be cancelled: a watch can miss a change without an error, only checks find that, and only
/// readers make checks. Not thread-safe.
[[nodiscard]] bool is_redundant_watch(const store_sync& sync, store_dataset dataset) noexcept;

/// Returns whether the watch of `dataset` in progress, which started at `started`, has not brought a revision
/// that another reader has reported for `lost_update_wait`. The store has lost such a watch, or has answered
/// an earlier one without the change, and the dataset must be read in full. Not thread-safe.
[[nodiscard]] bool is_overtaken_watch(const store_sync& sync, store_dataset dataset, mono_time started,
                                      mono_time now) noexcept;

/// Records that the read of `dataset` in progress was cancelled. Not thread-safe.
void record_cancelled_read(store_sync& sync, store_dataset dataset, mono_time now) noexcept;

/// Makes the next read of `dataset` start as soon as its least period or the wait after a failure allows,
/// although readers' reports cover the dataset. A read in progress takes the place of the requested one. Does
/// nothing before the first read. Not thread-safe.
void request_verification(store_sync& sync, store_dataset dataset) noexcept;

/// Makes the next read of `dataset` a full one that starts at `at`. Precondition: no read of it is in
/// progress. Not thread-safe.
void request_full_read(store_sync& sync, store_dataset dataset, mono_time at) noexcept;

/// Records that the store was restored from a backup: the time for which it has answered starts again,
/// because hosts may have to write their entries again, and a reader reads everything in full at once. Others
/// wait for the readers' updates. Precondition: no read of a reader is in progress. Not thread-safe.
void record_restore(store_sync& sync, mono_time now) noexcept;

/// What a check of a dataset against a cached answer of the store shows.
enum class check_verdict : std::uint8_t {
    complete,       ///< the director knows every change that the answer shows
    watch_is_dead,  ///< the answer shows a change that the open watch has not brought
    inconclusive    ///< no answer, or a change that the next watch brings because none was open
};

/// Returns what a check shows. `watch_is_open` tells whether a watch has been open for long enough to have
/// brought every change that a check finds. Thread-safe.
[[nodiscard]] check_verdict judge_check(bool answered, bool has_missed_change, bool watch_is_open) noexcept;

/// Returns when the configuration may be checked next, after a check whose answer had `bytes` bytes.
/// Thread-safe.
[[nodiscard]] mono_time next_configuration_check_at(std::size_t bytes, mono_time now) noexcept;

/// Returns the earliest time at which a read is due; `mono_time::max()` while each dataset is being read or
/// waits for the first read of the listing. Not thread-safe.
[[nodiscard]] mono_time earliest_read_at(const store_sync& sync) noexcept;

}  // namespace guavaramp
