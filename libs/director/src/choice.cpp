#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/choice.hpp>

#include <algorithm>
#include <limits>

namespace guavaramp {
namespace {

const host_health* find_health(const director_state& state, steering_tag tag) {
    const auto found = state.health.find(static_cast<std::uint32_t>(tag));
    return found == state.health.end() ? nullptr : &found->second;
}

/// Mean answer time of the candidates that have one; 0 when none has.
double mean_answer_time_ms(const director_state& state, const fleet_view& view,
                           const std::vector<std::size_t>& candidates) {
    double sum = 0;
    double count = 0;
    for (const auto position : candidates) {
        const auto* health =
            find_health(state, tag_of(view.upstreams->upstreams[position].report.delivery_id));
        if (health != nullptr && health->answer_time_ms > 0) {
            sum += health->answer_time_ms;
            count += 1;
        }
    }
    return count == 0 ? 0 : sum / count;
}

double cost_of(const director_state& state, const fleet_view& view, const known_upstream& candidate,
               steering_tag tag, double mean_answer_ms, mono_time now) {
    const auto& report = candidate.report;
    const auto work = work_of(state.flows, tag);
    double cost =
        (work.open + waiting_flow_cost * work.waiting + 1.0) / std::max<std::uint32_t>(report.slots, 1);
    if (report.failure_domain != view.own_failure_domain) {
        cost *= other_failure_domain_cost;
    }
    if (report.warmup_left_ms > 0) {
        cost *= warming_up_cost;
    }
    const auto* health = find_health(state, tag);
    if (health == nullptr) {
        return cost;
    }
    if (health->answer_time_ms > 0) {
        cost *= std::clamp(health->answer_time_ms / mean_answer_ms, least_speed_cost, most_speed_cost);
    }
    return is_avoided(*health, now) ? cost * avoided_cost : cost;
}

}  // namespace

const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                      const std::string& service, std::uint64_t flow_hash,
                                      steering_tag except, mono_time now) {
    const auto ready = view.upstreams->ready_by_service.find(service);
    if (ready == view.upstreams->ready_by_service.end()) {
        return nullptr;
    }
    const double mean_answer_ms = mean_answer_time_ms(state, view, ready->second);
    const known_upstream* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    std::uint64_t best_tie = 0;
    for (const auto position : ready->second) {
        const auto& candidate = view.upstreams->upstreams[position];
        const auto tag = tag_of(candidate.report.delivery_id);
        double cost = cost_of(state, view, candidate, tag, mean_answer_ms, now);
        if (tag == except) {
            cost *= avoided_cost * avoided_cost;
        }
        const auto tie = mix_hashes(flow_hash, static_cast<std::uint32_t>(tag));
        if (best == nullptr || cost < best_cost || (cost == best_cost && tie < best_tie)) {
            best = &candidate;
            best_cost = cost;
            best_tie = tie;
        }
    }
    return best;
}

}  // namespace guavaramp
