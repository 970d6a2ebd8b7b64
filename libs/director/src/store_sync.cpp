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

}  // namespace

subject_sync& sync_of(store_sync& sync, store_subject subject) noexcept {
    return sync.subjects[static_cast<std::size_t>(subject)];
}

const subject_sync& sync_of(const store_sync& sync, store_subject subject) noexcept {
    return sync.subjects[static_cast<std::size_t>(subject)];
}

bool start_if_due(store_sync& sync, store_subject subject, mono_time now, due_reading& out) noexcept {
    auto& state = sync_of(sync, subject);
    if (state.reading || now < state.next_at) {
        return false;
    }
    state.reading = true;
    out = {.subject = subject, .whole = state.read_whole};
    return true;
}

void note_read(store_sync& sync, const due_reading& reading, mono_time started, mono_time now) noexcept {
    const bool configuration = reading.subject == store_subject::configuration;
    const auto least_period = configuration ? least_configuration_period : least_listing_period;
    // The first watch follows the reading at once; the time since then is not covered yet.
    const auto next_at = reading.whole ? now : std::max(now, started + least_period);
    sync_of(sync, reading.subject) = {.next_at = next_at, .read_whole = false};
    if (sync.steady_since == mono_time::max()) {
        sync.steady_since = now;
    }
}

bool note_read_failure(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.reading = false;
    ++state.failures;
    state.next_at = now + wait_after(state.failures);
    state.read_whole = true;
    const bool news = sync.steady_since != mono_time::max() || state.failures == 1;
    sync.steady_since = mono_time::max();
    return news;
}

void note_absent(store_sync& sync, store_subject subject, mono_time now) noexcept {
    sync_of(sync, subject) = {.next_at = now + longest_retry_wait};
}

void want_whole(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.read_whole = true;
    state.next_at = now;
}

mono_time next_check_at(std::size_t bytes, mono_time now) noexcept {
    const auto pause =
        std::chrono::milliseconds{static_cast<std::int64_t>(bytes) * std::milli::den / check_bytes_per_s};
    return now + std::max<std::chrono::milliseconds>(pause, store_subjects * check_period);
}

mono_time next_reading_at(const store_sync& sync) noexcept {
    mono_time earliest = mono_time::max();
    for (const auto& state : sync.subjects) {
        if (!state.reading) {
            earliest = std::min(earliest, state.next_at);
        }
    }
    return earliest;
}

}  // namespace guavaramp
