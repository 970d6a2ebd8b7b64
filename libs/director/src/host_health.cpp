#include <guavaramp/director/host_health.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Share of the newest sample in the moving average: about the last ten answers count.
constexpr double newest_answer_share = 0.1;

/// Doublings of the avoidance that stay below its limit.
constexpr std::uint32_t most_doublings = 3;

/// The host answers requests again: new flows need not avoid it any longer.
void end_stall(host_health& health) noexcept {
    if (health.stalls > 0) {
        health.avoid_until = mono_time{};
        health.trial_until = mono_time{};
    }
    health.stalls = 0;
}

}  // namespace

void note_progress(host_health& health, mono_time now) noexcept {
    health.last_progress = now;
    health.refused_at = mono_time{};
    health.unreachable = false;
    health.unreachable_until = mono_time{};
}

void note_data(host_health& health, mono_time now) noexcept {
    end_stall(health);
    health.overdue_requests = 0;
    health.last_answer = now;
    note_progress(health, now);
}

void note_answer(host_health& health, mono_time sent, mono_time now) noexcept {
    const double sample_ms = std::chrono::duration<double, std::milli>(now - sent).count();
    health.answer_time_ms =
        health.answer_time_ms == 0.0
            ? sample_ms
            : health.answer_time_ms + (sample_ms - health.answer_time_ms) * newest_answer_share;
    note_data(health, now);
}

bool note_silence(host_health& health, mono_time first_sent, mono_time now) noexcept {
    if (health.last_progress > first_sent) {
        return false;
    }
    return !health.probing && now >= health.next_probe_at;
}

bool note_overdue(host_health& health, mono_time sent, mono_time now) noexcept {
    if (health.last_answer > sent) {
        return false;
    }
    if (health.overdue_requests == 0 || now - health.first_overdue_sent > overdue_window) {
        health.overdue_requests = 0;
        health.first_overdue_sent = sent;
    }
    health.first_overdue_sent = std::min(health.first_overdue_sent, sent);
    ++health.overdue_requests;
    return true;
}

void note_answer_elsewhere(host_health& health, mono_time answered) noexcept {
    health.last_answer = std::max(health.last_answer, answered);
    if (answered > health.first_overdue_sent) {
        health.overdue_requests = 0;
    }
    if (answered > health.stalled_at) {
        end_stall(health);
    }
}

bool is_stalled(const host_health& health, mono_time now) noexcept {
    return health.overdue_requests >= overdue_requests_of_stalled &&
           now - health.first_overdue_sent >= least_stall_time;
}

void note_stalled(host_health& health, std::chrono::milliseconds spread, mono_time now) noexcept {
    health.overdue_requests = 0;
    health.stalled_at = now;
    health.trial_until = mono_time{};
    const auto avoidance = std::min<mono_time::duration>(
        avoid_after_silence * (1U << std::min(health.stalls, most_doublings)), longest_avoidance);
    ++health.stalls;
    health.avoid_until = now + avoidance + spread;
}

bool is_on_trial(const host_health& health, mono_time now) noexcept {
    return health.stalls > 0 && now >= health.avoid_until;
}

void note_trial(host_health& health, mono_time now) noexcept { health.trial_until = now + trial_time; }

bool is_probe_due(const host_health& health, mono_time now) noexcept {
    const bool doubted = health.unreachable || health.refused_at != mono_time{};
    return doubted && !health.probing && now >= health.next_probe_at;
}

void note_probe_started(host_health& health, mono_time now) noexcept {
    health.probing = true;
    health.next_probe_at = now + probe_period_reachable;
}

void note_probe_ended(host_health& health, probe_outcome outcome, mono_time started, mono_time now) noexcept {
    health.probing = false;
    if (outcome == probe_outcome::connected) {
        health.refused_at = mono_time{};
        health.unreachable = false;
        health.unreachable_until = mono_time{};
        health.next_probe_at = now + probe_period_reachable;
        return;
    }
    if (health.last_progress > started) {
        return;
    }
    health.unreachable = true;
    health.unreachable_until = now + unreachable_validity;
    health.next_probe_at = now + probe_period_unreachable;
}

void note_draining_probe_ended(host_health& health, probe_outcome outcome, mono_time started,
                               mono_time now) noexcept {
    const bool first = health.refused_at == mono_time{};
    const bool too_soon = first || now < health.refused_at + draining_patience;
    if (outcome == probe_outcome::refused && too_soon && health.last_progress <= started) {
        health.probing = false;
        health.refused_at = first ? now : health.refused_at;
        health.next_probe_at = health.refused_at + draining_patience;
        return;
    }
    note_probe_ended(health, outcome, started, now);
}

bool is_unreachable(const host_health& health, mono_time now) noexcept {
    return health.unreachable && now < health.unreachable_until;
}

bool is_avoided(const host_health& health, mono_time now) noexcept {
    return health.unreachable || now < health.avoid_until || now < health.trial_until;
}

}  // namespace guavaramp
