#include <guavaramp/director/choice.hpp>

#include <guavaramp/base/hash.hpp>

#include <limits>

namespace guavaramp {
namespace {

double cost_of(const director_state& state, const fleet_view& view, const known_upstream& candidate,
               steering_tag tag, mono_time now) {
    const auto& report = candidate.report;
    double cost = (open_flows(state.flows, tag) + 1.0) / std::max<std::uint32_t>(report.slots, 1);
    if (report.failure_domain != view.own_failure_domain) {
        cost *= other_failure_domain_cost;
    }
    if (report.warmup_left_ms > 0) {
        cost *= warming_up_cost;
    }
    const auto health = state.health.find(static_cast<std::uint32_t>(tag));
    if (health != state.health.end() && is_avoided(health->second, now)) {
        cost *= avoided_cost;
    }
    return cost;
}

}  // namespace

const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                      const std::string& service, std::uint64_t flow_hash,
                                      steering_tag except, mono_time now) {
    const auto ready = view.upstreams->ready_by_service.find(service);
    if (ready == view.upstreams->ready_by_service.end()) {
        return nullptr;
    }
    const known_upstream* best = nullptr;
    double best_cost = std::numeric_limits<double>::max();
    std::uint64_t best_tie = 0;
    for (const auto position : ready->second) {
        const auto& candidate = view.upstreams->upstreams[position];
        const auto tag = tag_of(candidate.report.delivery_id);
        double cost = cost_of(state, view, candidate, tag, now);
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
