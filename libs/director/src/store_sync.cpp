#include <guavaramp/director/store_sync.hpp>

#include <algorithm>
#include <ratio>

namespace guavaramp {
namespace {

/// Doublings of the wait after failures: 100, 200, 400 ms, then the longest wait.
constexpr std::uint32_t most_doublings = 3;

std::chrono::milliseconds wait_after(std::uint32_t failures) noexcept {
    const auto doublings = std::min(failures - 1, most_doublings);
    return std::min<std::chrono::milliseconds>(retry_wait * (1U << doublings), longest_retry_wait);
}

bool is_behind(const subject_sync& state) noexcept { return state.behind_since != mono_time::max(); }

/// Whether the subject's watch is left to other directors.
bool is_covered(const store_sync& sync, const subject_sync& state) noexcept {
    return (state.known || state.absent) && sync.covered_until != mono_time{};
}

/// Whether the listing came from cached answers, and no reader has confirmed it. Pages of different age can
/// lack a change that is older than the newest one, so reading what has changed does not mend it.
bool awaits_confirmation(const subject_sync& state, store_subject subject) noexcept {
    return subject == store_subject::listing && state.known && !state.verified;
}

/// Whether the first configuration waits for the first listing. With the listing, open flows go on; together,
/// both take as long as the larger one when the whole fleet starts and the store's link is the narrowest
/// place.
bool waits_for_listing(const store_sync& sync, store_subject subject) noexcept {
    const auto& listing = sync_of(sync, store_subject::listing);
    const bool first = !sync_of(sync, subject).known && !sync_of(sync, subject).absent;
    return !sync.is_reader && subject == store_subject::configuration && first && listing.reading &&
           !listing.known && listing.failures == 0;
}

mono_time due_at(const store_sync& sync, store_subject subject) noexcept {
    const auto& state = sync_of(sync, subject);
    if (waits_for_listing(sync, subject)) {
        return mono_time::max();
    }
    if (!is_covered(sync, state) || state.wanted) {
        return state.next_at;
    }
    auto news_do_until = sync.covered_until;
    if (is_behind(state)) {
        const auto patience = subject == store_subject::listing ? repair_wait : std::chrono::milliseconds{0};
        news_do_until = std::min(news_do_until, state.behind_since + patience);
    } else if (awaits_confirmation(state, subject)) {
        news_do_until = std::min(news_do_until, state.read_at + confirmation_wait);
    }
    return std::max(state.next_at, news_do_until);
}

reading_kind next_kind(const store_sync& sync, store_subject subject, mono_time now) noexcept {
    const auto& state = sync_of(sync, subject);
    const bool cached_allowed = state.old_readings < most_cached_readings;
    if (state.read_whole) {
        const bool cached_does = state.absent || (!sync.is_reader && !state.known);
        return cached_does && cached_allowed ? reading_kind::whole_cached : reading_kind::whole;
    }
    if (awaits_confirmation(state, subject)) {
        return reading_kind::whole;
    }
    const bool follows = is_covered(sync, state) && is_behind(state) && now < sync.covered_until;
    if (!follows) {
        return reading_kind::watch;
    }
    if (subject == store_subject::listing) {
        return state.catch_ups < most_catch_ups ? reading_kind::catch_up : reading_kind::whole;
    }
    return cached_allowed ? reading_kind::whole_cached : reading_kind::whole;
}

}  // namespace

call_limits limits_of(reading_kind kind, mono_time started) noexcept {
    const auto wait = kind == reading_kind::watch      ? watch_wait
                      : kind == reading_kind::catch_up ? catch_up_wait
                                                       : std::chrono::milliseconds{0};
    const auto first_byte_deadline = started + wait + read_timeout;
    return {.first_byte_deadline = first_byte_deadline,
            .idle_timeout = read_timeout,
            .deadline = first_byte_deadline + longest_reading};
}

subject_sync& sync_of(store_sync& sync, store_subject subject) noexcept {
    return sync.subjects[static_cast<std::size_t>(subject)];
}

const subject_sync& sync_of(const store_sync& sync, store_subject subject) noexcept {
    return sync.subjects[static_cast<std::size_t>(subject)];
}

bool start_if_due(store_sync& sync, store_subject subject, mono_time now, due_reading& out) noexcept {
    auto& state = sync_of(sync, subject);
    if (state.reading || now < due_at(sync, subject)) {
        return false;
    }
    state.reading = true;
    out = {.subject = subject, .kind = next_kind(sync, subject, now)};
    state.watching = out.kind == reading_kind::watch;
    return true;
}

void note_read(store_sync& sync, const due_reading& reading, mono_time started, mono_time now) noexcept {
    const bool configuration = reading.subject == store_subject::configuration;
    const auto least_period = configuration ? least_configuration_period : least_listing_period;
    auto& state = sync_of(sync, reading.subject);
    const bool whole = reading.kind == reading_kind::whole;
    // The first watch follows the reading at once; the time since then is not covered yet.
    const auto next_at = whole || !state.known ? now : std::max(now, started + least_period);
    const bool verified = whole || state.verified;
    const bool caught_up = reading.kind == reading_kind::catch_up;
    state = {.next_at = next_at,
             .read_whole = false,
             .known = true,
             .catch_ups = caught_up ? state.catch_ups + 1 : 0,
             .read_at = state.known ? state.read_at : now,
             .verified = verified};
    // A configuration that came from a cached answer is brought up to date by its watch.
    state.read_whole = sync.is_reader && awaits_confirmation(state, reading.subject);
    if (sync.steady_since == mono_time::max()) {
        sync.steady_since = now;
    }
}

void note_old_reading(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.reading = false;
    ++state.old_readings;
    state.next_at = now + cached_retry_wait;
}

void note_coverage(store_sync& sync, mono_time until) noexcept { sync.covered_until = until; }

void note_reader(store_sync& sync, bool is_reader, mono_time now) noexcept {
    sync.is_reader = is_reader;
    const auto& listing = sync_of(sync, store_subject::listing);
    if (is_reader && !listing.reading && awaits_confirmation(listing, store_subject::listing)) {
        want_whole(sync, store_subject::listing, now);
    }
}

void note_confirmed(store_sync& sync, store_subject subject) noexcept {
    sync_of(sync, subject).verified = true;
}

void note_behind(store_sync& sync, store_subject subject, bool behind, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    if (!behind) {
        state.behind_since = mono_time::max();
        state.old_readings = 0;
        state.catch_ups = 0;
    } else if (!is_behind(state)) {
        state.behind_since = now;
    }
}

bool note_read_failure(store_sync& sync, store_subject subject, bool covered, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.reading = false;
    ++state.failures;
    const auto covered_wait = is_behind(state) ? behind_retry_wait : covered_retry_wait;
    state.next_at = now + (covered ? covered_wait : wait_after(state.failures));
    state.read_whole = true;
    const bool news = sync.steady_since != mono_time::max() || state.failures == 1;
    sync.steady_since = mono_time::max();
    return news;
}

void note_absent(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state = {.next_at = now + longest_retry_wait,
             .absent = true,
             .behind_since = state.behind_since,
             .old_readings = is_behind(state) ? state.old_readings + 1 : 0};
}

bool is_needless_watch(const store_sync& sync, store_subject subject) noexcept {
    const auto& state = sync_of(sync, subject);
    return state.reading && state.watching && is_covered(sync, state);
}

void note_given_up(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.reading = false;
    state.watching = false;
    state.next_at = now;
}

void note_history_lost(store_sync& sync, store_subject subject, mono_time now) noexcept {
    sync_of(sync, subject).reading = false;
    want_whole(sync, subject, now + retry_wait);
}

void want_whole(store_sync& sync, store_subject subject, mono_time at) noexcept {
    auto& state = sync_of(sync, subject);
    state.read_whole = true;
    state.wanted = true;
    state.next_at = at;
}

mono_time next_check_at(std::size_t bytes, mono_time now) noexcept {
    const auto pause =
        std::chrono::milliseconds{static_cast<std::int64_t>(bytes) * std::milli::den / check_bytes_per_s};
    return now + std::max<std::chrono::milliseconds>(pause, store_subjects * check_period);
}

mono_time next_reading_at(const store_sync& sync) noexcept {
    mono_time earliest = mono_time::max();
    for (const auto subject : {store_subject::configuration, store_subject::listing}) {
        if (!sync_of(sync, subject).reading) {
            earliest = std::min(earliest, due_at(sync, subject));
        }
    }
    return earliest;
}

}  // namespace guavaramp
