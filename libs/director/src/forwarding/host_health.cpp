#include <guavaramp/director/host_health.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Limit of the doublings of the avoidance time; with this many it reaches `max_avoidance`.
constexpr std::uint32_t max_avoidance_doublings = 3;

/// Ends a stall because the host answers requests again: new flows no longer avoid it.
void clear_stall(host_health& health) noexcept {
    if (health.consecutive_stalls > 0) {
        health.avoid_until = mono_time{};
        health.trial_until = mono_time{};
    }
    health.consecutive_stalls = 0;
}

}  // namespace

void record_progress(host_health& health, mono_time now) noexcept {
    health.last_progress_at = now;
    health.refused_at = mono_time{};
    health.last_probe_failed = false;
    health.unreachable_until = mono_time{};
}

void record_acknowledged_data(host_health& health, mono_time now) noexcept {
    clear_stall(health);
    health.overdue_requests = 0;
    health.last_answer_at = now;
    record_progress(health, now);
}

void record_answer(host_health& health, mono_time sent_at, mono_time now) noexcept {
    const double answer_ms = std::chrono::duration<double, std::milli>(now - sent_at).count();
    const bool is_first = health.measured_answers == 0;
    const double sample_ms =
        is_first ? answer_ms : std::min(answer_ms, health.answer_time_ms * max_answer_sample_ratio);
    health.measured_answers = std::min(health.measured_answers + 1, averaged_answers);
    health.answer_time_ms += (sample_ms - health.answer_time_ms) / health.measured_answers;
    record_acknowledged_data(health, now);
}

bool should_probe_after_silence(const host_health& health, mono_time first_sent_at, mono_time now) noexcept {
    if (health.last_progress_at > first_sent_at) {
        return false;
    }
    return !health.probing && now >= health.next_probe_at;
}

bool should_probe_after_slow_request(const host_health& health, mono_time first_sent_at,
                                     mono_time now) noexcept {
    return now >= health.next_request_probe_at && should_probe_after_silence(health, first_sent_at, now);
}

bool record_overdue_request(host_health& health, mono_time sent_at, mono_time now) noexcept {
    if (health.last_answer_at > sent_at) {
        return false;
    }
    if (health.overdue_requests == 0 || now - health.first_overdue_sent_at > overdue_window) {
        health.overdue_requests = 0;
        health.first_overdue_sent_at = sent_at;
    }
    health.first_overdue_sent_at = std::min(health.first_overdue_sent_at, sent_at);
    ++health.overdue_requests;
    return true;
}

void record_remote_answer(host_health& health, mono_time answered_at) noexcept {
    health.last_answer_at = std::max(health.last_answer_at, answered_at);
    if (answered_at > health.first_overdue_sent_at) {
        health.overdue_requests = 0;
    }
    if (answered_at > health.stalled_at) {
        clear_stall(health);
    }
}

bool is_stalled(const host_health& health, mono_time now) noexcept {
    return health.overdue_requests >= min_overdue_requests_of_stall &&
           now - health.first_overdue_sent_at >= min_stall_time;
}

void record_stall(host_health& health, std::chrono::milliseconds jitter, mono_time now) noexcept {
    health.overdue_requests = 0;
    health.stalled_at = now;
    health.trial_until = mono_time{};
    const auto avoidance = std::min<mono_time::duration>(
        avoidance_after_silence * (1U << std::min(health.consecutive_stalls, max_avoidance_doublings)),
        max_avoidance);
    ++health.consecutive_stalls;
    health.avoid_until = now + avoidance + jitter;
}

bool is_half_open(const host_health& health, mono_time now) noexcept {
    return health.consecutive_stalls > 0 && now >= health.avoid_until;
}

void record_trial(host_health& health, mono_time now) noexcept { health.trial_until = now + trial_timeout; }

bool is_probe_due(const host_health& health, mono_time now) noexcept {
    const bool is_suspected = health.last_probe_failed || health.refused_at != mono_time{};
    return is_suspected && !health.probing && now >= health.next_probe_at;
}

std::chrono::milliseconds probe_period_of(std::size_t directors) noexcept {
    return std::max<std::chrono::milliseconds>(
        probe_period_reachable, min_shared_probe_interval * static_cast<std::int64_t>(directors));
}

void record_probe_started(host_health& health, mono_time now) noexcept {
    health.probing = true;
    health.probe_started_at = now;
    health.next_probe_at = now + probe_period_reachable;
}

void record_probe_ended(host_health& health, probe_outcome outcome, mono_time started_at, mono_time now,
                        std::chrono::milliseconds request_probe_period) noexcept {
    health.probing = false;
    if (outcome == probe_outcome::connected) {
        health.refused_at = mono_time{};
        health.last_probe_failed = false;
        health.unreachable_until = mono_time{};
        health.next_probe_at = now + probe_period_reachable;
        health.next_request_probe_at = now + request_probe_period;
        return;
    }
    if (health.last_progress_at > started_at) {
        return;
    }
    health.last_probe_failed = true;
    health.unreachable_until = now + unreachable_validity;
    health.next_probe_at = now + probe_period_unreachable;
}

void record_draining_probe_ended(host_health& health, probe_outcome outcome, mono_time started_at,
                                 std::chrono::milliseconds refusal_interval, mono_time now) noexcept {
    const bool is_first = health.refused_at == mono_time{};
    const bool is_too_soon = is_first || now < health.refused_at + refusal_interval;
    if (outcome == probe_outcome::refused && is_too_soon && health.last_progress_at <= started_at) {
        health.probing = false;
        health.refused_at = is_first ? now : health.refused_at;
        health.next_probe_at = now + draining_refusal_interval;
        return;
    }
    record_probe_ended(health, outcome, started_at, now);
}

bool is_unreachable(const host_health& health, mono_time now) noexcept {
    return health.last_probe_failed && now < health.unreachable_until;
}

bool is_avoided(const host_health& health, mono_time now) noexcept {
    return health.last_probe_failed || now < health.avoid_until || now < health.trial_until;
}

}  // namespace guavaramp
