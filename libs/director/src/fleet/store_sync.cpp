#include <guavaramp/director/store_sync.hpp>

#include <algorithm>
#include <ratio>

namespace guavaramp {
namespace {

/// Number of times that the wait after failures doubles: 100, 200, 400 ms, then `max_read_retry_wait`.
constexpr std::uint32_t max_retry_wait_doublings = 3;

std::chrono::milliseconds retry_wait_after(std::uint32_t consecutive_failures) noexcept {
    const auto doublings = std::min(consecutive_failures - 1, max_retry_wait_doublings);
    return std::min<std::chrono::milliseconds>(min_read_retry_wait * (1U << doublings), max_read_retry_wait);
}

bool is_behind(const dataset_sync& state) noexcept { return state.behind_since != mono_time::max(); }

/// Returns whether readers' reports take the place of a watch of the dataset.
bool is_covered(const store_sync& sync, const dataset_sync& state) noexcept {
    return (state.was_read || state.absent) && sync.covered_until != mono_time{};
}

/// Returns whether the dataset is a listing that came from cached answers and that no reader has confirmed.
/// Cached pages may be of different ages: an old page can lack a change that is older than the newest page,
/// and a catch-up read after the newest page does not bring that change.
bool awaits_confirmation(const dataset_sync& state, store_dataset dataset) noexcept {
    return dataset == store_dataset::listing && state.was_read && !state.verified;
}

/// Returns whether a read of the configuration by a director that is no reader waits for one of the listing.
/// The first one does: open flows can be forwarded as soon as the listing is known, and if both were read at
/// once while the whole fleet starts and the store's link is the bottleneck, each would take as long as the
/// larger one. So does one that readers' reports do not replace while the store does not answer: one call
/// shows whether it does again.
bool waits_for_listing(const store_sync& sync, store_dataset dataset) noexcept {
    if (sync.is_reader || dataset != store_dataset::configuration) {
        return false;
    }
    const auto& state = sync_of(sync, dataset);
    const auto& listing = sync_of(sync, store_dataset::listing);
    if (!state.was_read && !state.absent) {
        return listing.read_in_progress && !listing.was_read && listing.consecutive_failures == 0;
    }
    return listing.was_read && listing.consecutive_failures > 0 && !is_behind(state);
}

mono_time due_at(const store_sync& sync, store_dataset dataset) noexcept {
    const auto& state = sync_of(sync, dataset);
    if (waits_for_listing(sync, dataset)) {
        return mono_time::max();
    }
    if (!is_covered(sync, state) || state.read_requested) {
        return state.next_read_at;
    }
    auto readers_suffice_until = sync.covered_until;
    if (is_behind(state)) {
        const auto update_wait =
            dataset == store_dataset::listing ? lost_update_wait : std::chrono::milliseconds{0};
        readers_suffice_until = std::min(readers_suffice_until, state.behind_since + update_wait);
    } else if (awaits_confirmation(state, dataset)) {
        readers_suffice_until =
            std::min(readers_suffice_until, state.first_read_at + listing_confirmation_timeout);
    }
    return std::max(state.next_read_at, readers_suffice_until);
}

read_kind next_kind(const store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    const auto& state = sync_of(sync, dataset);
    const bool cached_allowed = state.stale_cached_reads < max_stale_cached_reads;
    if (state.needs_full_read) {
        const bool is_first_read = !sync.is_reader && !state.was_read;
        const bool cached_suffices = state.absent || (is_first_read && sync.takes_cached_answers_first);
        return cached_suffices && cached_allowed ? read_kind::full_cached : read_kind::full;
    }
    if (awaits_confirmation(state, dataset)) {
        return read_kind::full;
    }
    const bool relies_on_readers = is_covered(sync, state) && is_behind(state) && now < sync.covered_until;
    if (!relies_on_readers) {
        return sync.is_reader ? read_kind::watch : read_kind::catch_up;
    }
    if (dataset == store_dataset::listing) {
        return state.catch_up_reads < max_catch_up_reads ? read_kind::catch_up : read_kind::full;
    }
    return cached_allowed ? read_kind::full_cached : read_kind::full;
}

store_dataset other_dataset(store_dataset dataset) noexcept {
    return dataset == store_dataset::listing ? store_dataset::configuration : store_dataset::listing;
}

/// Returns until when the store may hold back the answer to a watch. It is due when the last verification has
/// become as old as it may be, because that answer is the next one. A watch ends together with that of the
/// other dataset if that one ends earlier but not too soon, since one report tells the verifications of both.
/// If the last verification is older than that already, the watch ends at once, but not two in a row.
mono_time watch_due_at(const store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    const auto& state = sync_of(sync, dataset);
    const auto earliest = state.last_watch_was_short ? now + min_watch_hold : now;
    const auto latest =
        std::clamp(state.verified_at + verification_period, earliest, now + verification_period);
    const auto& other = sync_of(sync, other_dataset(dataset));
    const bool can_end_together =
        other.read_in_progress && other.watch_in_progress && other.watch_due_at >= now + min_watch_hold;
    return can_end_together ? std::min(other.watch_due_at, latest) : latest;
}

/// Returns until when the store may hold back its answer; the epoch if not at all.
mono_time hold_until(const store_sync& sync, store_dataset dataset, read_kind kind, mono_time now) noexcept {
    switch (kind) {
        case read_kind::catch_up:
            return now + catch_up_hold_limit;
        case read_kind::watch:
            return watch_due_at(sync, dataset, now);
        case read_kind::full:
        case read_kind::full_cached:
            break;
    }
    return {};
}

}  // namespace

call_limits limits_of(mono_time answer_due_at) noexcept {
    const auto first_byte_deadline = answer_due_at + read_stall_timeout;
    return {.first_byte_deadline = first_byte_deadline,
            .idle_timeout = read_stall_timeout,
            .deadline = first_byte_deadline + max_read_duration};
}

dataset_sync& sync_of(store_sync& sync, store_dataset dataset) noexcept {
    return sync.datasets[static_cast<std::size_t>(dataset)];
}

const dataset_sync& sync_of(const store_sync& sync, store_dataset dataset) noexcept {
    return sync.datasets[static_cast<std::size_t>(dataset)];
}

bool start_read_if_due(store_sync& sync, store_dataset dataset, mono_time now, due_read& due) noexcept {
    auto& state = sync_of(sync, dataset);
    if (state.read_in_progress || now < due_at(sync, dataset)) {
        return false;
    }
    state.read_in_progress = true;
    const auto kind = next_kind(sync, dataset, now);
    due = {.dataset = dataset, .kind = kind, .hold_until = hold_until(sync, dataset, kind, now)};
    state.watch_in_progress = due.kind == read_kind::watch;
    state.watch_due_at = due.hold_until;
    return true;
}

void record_read(store_sync& sync, const due_read& read, mono_time started, mono_time now) noexcept {
    auto& state = sync_of(sync, read.dataset);
    const bool full = read.kind == read_kind::full;
    // The first watch follows at once, because changes since this read began are not covered yet.
    const auto next_read_at = full || !state.was_read ? now : std::max(now, started + min_watch_period);
    const bool verified = full || state.verified;
    const bool is_catch_up = read.kind == read_kind::catch_up;
    const bool shows_newest_state = read.kind != read_kind::full_cached;
    const bool is_short_watch = read.kind == read_kind::watch && read.hold_until < started + min_watch_hold;
    state = {.next_read_at = next_read_at,
             .last_watch_was_short = is_short_watch,
             .needs_full_read = false,
             .was_read = true,
             .catch_up_reads = is_catch_up ? state.catch_up_reads + 1 : 0,
             .first_read_at = state.was_read ? state.first_read_at : now,
             .verified = verified,
             .verified_at = shows_newest_state ? std::max(state.verified_at, started) : state.verified_at};
    // Only a listing needs a full read after a cached one: a watch brings a configuration that came from a
    // cached answer up to date.
    state.needs_full_read = sync.is_reader && awaits_confirmation(state, read.dataset);
    if (sync.store_available_since == mono_time::max()) {
        sync.store_available_since = now;
    }
}

void record_unchanged(store_sync& sync, const due_read& read, mono_time now) noexcept {
    auto& state = sync_of(sync, read.dataset);
    // A store that answers before it must may have done so at any time since the start of the watch.
    if (now >= read.hold_until) {
        state.verified_at = std::max(state.verified_at, read.hold_until);
        if (sync.is_reader) {
            state.next_read_at = now;
        }
    }
}

mono_time datasets_verified_at(const store_sync& sync) noexcept {
    const auto listing_verified_at = sync_of(sync, store_dataset::listing).verified_at;
    const auto& configuration = sync_of(sync, store_dataset::configuration);
    return configuration.absent ? listing_verified_at
                                : std::min(listing_verified_at, configuration.verified_at);
}

void discard_verification(store_sync& sync) noexcept {
    for (auto& state : sync.datasets) {
        state.verified_at = mono_time{};
        state.last_watch_was_short = false;
    }
}

void record_stale_read(store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    auto& state = sync_of(sync, dataset);
    state.read_in_progress = false;
    ++state.stale_cached_reads;
    state.next_read_at = now + stale_read_retry_wait;
}

void set_coverage_deadline(store_sync& sync, mono_time until) noexcept { sync.covered_until = until; }

void record_coverage_loss(store_sync& sync, mono_time now) noexcept {
    for (auto& state : sync.datasets) {
        state.next_read_at = std::min(state.next_read_at, now + min_read_retry_wait);
    }
}

void record_reader_role(store_sync& sync, bool is_reader, mono_time now) noexcept {
    const bool becomes_reader = is_reader && !sync.is_reader;
    sync.is_reader = is_reader;
    // The first watch of a new reader may end at once, since others rely on the reader only after it.
    for (auto& state : sync.datasets) {
        state.last_watch_was_short = state.last_watch_was_short && !becomes_reader;
    }
    const auto& listing = sync_of(sync, store_dataset::listing);
    if (is_reader && !listing.read_in_progress && awaits_confirmation(listing, store_dataset::listing)) {
        request_full_read(sync, store_dataset::listing, now);
    }
}

void record_confirmation(store_sync& sync, store_dataset dataset) noexcept {
    sync_of(sync, dataset).verified = true;
}

void set_behind(store_sync& sync, store_dataset dataset, bool behind, mono_time now) noexcept {
    auto& state = sync_of(sync, dataset);
    if (!behind) {
        state.behind_since = mono_time::max();
        state.stale_cached_reads = 0;
        state.catch_up_reads = 0;
    } else if (!is_behind(state)) {
        state.behind_since = now;
        if (state.consecutive_failures > 0) {
            state.next_read_at = std::min(state.next_read_at, now + min_read_retry_wait);
        }
    }
}

bool record_read_failure(store_sync& sync, store_dataset dataset, bool covered, mono_time now) noexcept {
    auto& state = sync_of(sync, dataset);
    state.read_in_progress = false;
    ++state.consecutive_failures;
    const bool is_own_read = !sync.is_reader && state.was_read;
    const auto covered_wait = is_behind(state) ? behind_read_retry_wait : covered_read_retry_wait;
    const auto uncovered_wait =
        is_own_read ? own_read_retry_wait : retry_wait_after(state.consecutive_failures);
    state.next_read_at = now + (covered && !sync.is_reader ? covered_wait : uncovered_wait);
    state.needs_full_read = true;
    const bool is_first_failure =
        sync.store_available_since != mono_time::max() || state.consecutive_failures == 1;
    sync.store_available_since = mono_time::max();
    return is_first_failure;
}

void record_absence(store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    auto& state = sync_of(sync, dataset);
    state = {.next_read_at = now + max_read_retry_wait,
             .absent = true,
             .behind_since = state.behind_since,
             .stale_cached_reads = is_behind(state) ? state.stale_cached_reads + 1 : 0};
}

bool is_redundant_watch(const store_sync& sync, store_dataset dataset) noexcept {
    const auto& state = sync_of(sync, dataset);
    return state.read_in_progress && state.watch_in_progress && is_covered(sync, state);
}

bool is_overtaken_watch(const store_sync& sync, store_dataset dataset, mono_time started,
                        mono_time now) noexcept {
    const auto& state = sync_of(sync, dataset);
    return sync.is_reader && state.read_in_progress && state.watch_in_progress && is_behind(state) &&
           now >= std::max(started, state.behind_since) + lost_update_wait;
}

void record_cancelled_read(store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    auto& state = sync_of(sync, dataset);
    state.read_in_progress = false;
    state.watch_in_progress = false;
    state.next_read_at = now;
}

void record_discarded_history(store_sync& sync, store_dataset dataset, mono_time now) noexcept {
    sync_of(sync, dataset).read_in_progress = false;
    request_full_read(sync, dataset, now + min_read_retry_wait);
}

void request_verification(store_sync& sync, store_dataset dataset) noexcept {
    auto& state = sync_of(sync, dataset);
    state.read_requested = state.read_requested || state.was_read;
}

void request_full_read(store_sync& sync, store_dataset dataset, mono_time at) noexcept {
    auto& state = sync_of(sync, dataset);
    state.needs_full_read = true;
    state.read_requested = true;
    state.next_read_at = at;
}

void record_restore(store_sync& sync, mono_time now) noexcept {
    if (sync.store_available_since != mono_time::max()) {
        sync.store_available_since = now;
    }
    if (sync.is_reader) {
        request_full_read(sync, store_dataset::listing, now);
        request_full_read(sync, store_dataset::configuration, now);
    }
}

check_verdict judge_check(bool answered, bool has_missed_change, bool watch_is_open) noexcept {
    if (!answered) {
        return check_verdict::inconclusive;
    }
    if (!has_missed_change) {
        return check_verdict::complete;
    }
    return watch_is_open ? check_verdict::watch_is_dead : check_verdict::inconclusive;
}

mono_time next_configuration_check_at(std::size_t bytes, mono_time now) noexcept {
    const auto pause = std::chrono::milliseconds{static_cast<std::int64_t>(bytes) * std::milli::den /
                                                 max_configuration_check_bytes_per_s};
    return now + std::max<std::chrono::milliseconds>(pause, store_dataset_count * check_period);
}

mono_time earliest_read_at(const store_sync& sync) noexcept {
    mono_time earliest = mono_time::max();
    for (const auto dataset : {store_dataset::configuration, store_dataset::listing}) {
        if (!sync_of(sync, dataset).read_in_progress) {
            earliest = std::min(earliest, due_at(sync, dataset));
        }
    }
    return earliest;
}

}  // namespace guavaramp
