#include "request_copies.hpp"

namespace guavaramp {

void await_late(request_copies& copies, request_runs& runs, mono_time now) {
    runs.is_copy_alone = false;
    if (copies.limit <= 0) {
        return;
    }
    runs.sent_at = now;
    auto& seen = copies.hedging[runs.service];
    record_request_sent(seen, now);
    const auto delay = request_hedge_delay(seen);
    if (delay != mono_time::duration::max()) {
        copies.late_timers.emplace(now + delay, late_timer{.ticket = runs.first.ticket, .sent_at = now});
    }
}

std::vector<late_timer> take_due_timers(request_copies& copies, mono_time now) {
    std::vector<late_timer> due;
    const auto end = copies.late_timers.upper_bound(now);
    for (auto timer = copies.late_timers.begin(); timer != end; ++timer) {
        due.push_back(timer->second);
    }
    copies.late_timers.erase(copies.late_timers.begin(), end);
    return due;
}

bool is_late(const request_runs& runs, const late_timer& timer) noexcept {
    return runs.sent_at == timer.sent_at && runs.first.call != 0 && !runs.was_late;
}

request_hedge try_copy(request_copies& copies, request_runs& runs, admission& limits,
                       std::uint64_t copy_ticket, mono_time now) {
    runs.was_late = true;
    auto& seen = copies.hedging[runs.service];
    const auto decided = decide_request_hedge(seen, copies.limit, runs.is_repeatable,
                                              limits.queued_for(runs.service) > 0, now);
    if (decided != request_hedge::send) {
        return decided;
    }
    if (!limits.send_copy(runs.first.ticket, copy_ticket, now)) {
        return request_hedge::no_host;
    }
    runs.copy.ticket = copy_ticket;
    runs.copy_was_sent = true;
    record_request_copy(seen, now);
    return request_hedge::send;
}

host_run& run_of(request_runs& runs, std::uint64_t ticket) noexcept {
    return ticket == runs.copy.ticket ? runs.copy : runs.first;
}

void remove_run(request_runs& runs, std::uint64_t ticket) {
    if (ticket != runs.copy.ticket) {
        runs.first = runs.copy;
        runs.is_copy_alone = true;
    }
    runs.copy = {};
}

host_run record_answered(request_copies& copies, request_runs& runs, std::uint64_t ticket, mono_time now) {
    if (copies.limit > 0 && runs.sent_at >= copies.discarded_at) {
        record_request_answer(copies.hedging[runs.service], now - runs.sent_at, runs.was_late);
    }
    const bool is_copy = ticket == runs.copy.ticket;
    runs.copy_won = is_copy || runs.is_copy_alone;
    if (runs.copy.ticket == 0) {
        return {};
    }
    return is_copy ? runs.first : runs.copy;
}

void discard_measurements(request_copies& copies, mono_time now) {
    copies.hedging.clear();
    copies.discarded_at = now;
}

}  // namespace guavaramp
