#include <guavaramp/director/store_sync.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Doublings of the wait after failures: 100, 200, 400 ms, then the read period.
constexpr std::uint32_t most_doublings = 3;

std::chrono::milliseconds wait_after(std::uint32_t failures) noexcept {
    const auto doublings = std::min(failures - 1, most_doublings);
    return std::min<std::chrono::milliseconds>(retry_wait * (1U << doublings), read_period);
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
    out = {.subject = subject, .newest = state.want_newest};
    return true;
}

void note_read(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state = {.next_at = now + read_period, .known = true, .want_newest = false};
    if (sync.steady_since == mono_time::max()) {
        sync.steady_since = now;
    }
}

bool note_read_failure(store_sync& sync, store_subject subject, mono_time now) noexcept {
    auto& state = sync_of(sync, subject);
    state.reading = false;
    ++state.failures;
    state.next_at = now + wait_after(state.failures);
    state.want_newest = true;
    const bool news = sync.steady_since != mono_time::max() || state.failures == 1;
    sync.steady_since = mono_time::max();
    return news;
}

void want_newest(store_sync& sync, store_subject subject) noexcept {
    sync_of(sync, subject).want_newest = true;
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

mono_time absence_counts_from(const store_sync& sync) noexcept {
    return sync.steady_since == mono_time::max() ? sync.steady_since : sync.steady_since + relisting_time;
}

mono_time includes_changes_until(mono_time started, bool newest) noexcept {
    return newest ? started : started - cached_answer_age;
}

}  // namespace guavaramp
