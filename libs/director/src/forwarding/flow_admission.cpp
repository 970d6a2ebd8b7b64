#include <guavaramp/director/flow_admission.hpp>

#include <algorithm>

namespace guavaramp {

void record_service_answer(service_load& load, mono_time::duration answer_time,
                           std::chrono::milliseconds objective, double waiting, double slots, mono_time now) {
    if (objective <= std::chrono::milliseconds{0}) {
        return;
    }
    const double share =
        std::chrono::duration<double>(answer_time) / std::chrono::duration<double>(objective);
    load.objective_share += (share - load.objective_share) * newest_objective_share_weight;
    const bool may_change = now >= load.limit_changed_at + limit_decrease_period;
    if (load.objective_share > max_objective_share) {
        if (may_change) {
            const double lowest = std::max(min_requests_per_slot * slots, 1.0);
            load.limit = std::max(std::min(load.limit, waiting) * limit_decrease_factor, lowest);
            load.limit_changed_at = now;
        }
    } else if (load.objective_share < low_objective_share) {
        if (may_change) {
            load.limit *= limit_recovery_factor;
            load.limit_changed_at = now;
        }
    } else {
        load.limit += limit_increase / load.limit;
    }
}

bool record_arrival(route_arrivals& arrivals, mono_time now) noexcept {
    if (now >= arrivals.window_began_at + arrival_window) {
        const bool is_next_window = now < arrivals.window_began_at + 2 * arrival_window;
        arrivals = {.window_began_at = now, .previous_count = is_next_window ? arrivals.count : 0};
    }
    ++arrivals.count;
    return std::max(arrivals.count, arrivals.previous_count) >= min_arrivals_to_refuse;
}

bool admits_flow(service_load& load, std::uint32_t priority, double waiting, mono_time now) noexcept {
    const bool is_most_urgent =
        priority <= load.most_urgent_priority || now >= load.most_urgent_seen_at + priority_retention;
    if (is_most_urgent) {
        load.most_urgent_priority = priority;
        load.most_urgent_seen_at = now;
    }
    return waiting < load.limit * (is_most_urgent ? 1.0 : less_urgent_limit_share);
}

}  // namespace guavaramp
