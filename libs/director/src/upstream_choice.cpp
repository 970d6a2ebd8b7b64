#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/upstream_choice.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace guavaramp {
namespace {

const host_health* find_health(const director_state& state, steering_tag tag) {
    const auto found = state.health.find(static_cast<std::uint32_t>(tag));
    return found == state.health.end() ? nullptr : &found->second;
}

/// Returns the mean answer time of the candidates for which one was measured; 0 if there is none.
double mean_answer_time_ms(const director_state& state, const upstream_index& index,
                           const std::vector<std::size_t>& candidates) {
    double sum_ms = 0;
    double count = 0;
    for (const auto position : candidates) {
        const auto* health = find_health(state, tag_of(index.upstreams[position].report.delivery_id));
        if (health != nullptr && health->answer_time_ms > 0) {
            sum_ms += health->answer_time_ms;
            count += 1;
        }
    }
    return count == 0 ? 0 : sum_ms / count;
}

/// Returns the cost of placing a new flow on `candidate`, see the factors in upstream_choice.hpp.
double cost_of(const director_state& state, const fleet_view& view, const known_upstream& candidate,
               steering_tag tag, double mean_answer_ms, mono_time now) {
    const auto& report = candidate.report;
    const auto load = load_of(state.flows, tag);
    double cost = (load.open_flows + waiting_flow_cost * load.waiting_flows + 1.0) /
                  std::max<std::uint32_t>(report.slots, 1);
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
        cost *=
            std::clamp(health->answer_time_ms / mean_answer_ms, min_answer_time_cost, max_answer_time_cost);
    }
    return is_avoided(*health, now) ? cost * avoided_cost : cost;
}

struct chosen_candidate {
    std::size_t offset{0};  ///< position in the list of candidates
    double cost{std::numeric_limits<double>::max()};
};

/// Returns the candidate with the lowest cost; the first one if several have it.
chosen_candidate cheapest_of(const director_state& state, const fleet_view& view,
                             const std::vector<std::size_t>& candidates, steering_tag last_resort,
                             mono_time now) {
    const double mean_answer_ms = mean_answer_time_ms(state, *view.upstreams, candidates);
    chosen_candidate best;
    for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
        const auto& candidate = view.upstreams->upstreams[candidates[offset]];
        const auto tag = tag_of(candidate.report.delivery_id);
        double cost = cost_of(state, view, candidate, tag, mean_answer_ms, now);
        if (tag == last_resort) {
            cost *= avoided_cost * avoided_cost;
        }
        if (cost < best.cost) {
            best = {.offset = offset, .cost = cost};
        }
    }
    return best;
}

/// Returns the positions of this director's subset of the upstreams in its failure domain, and of a few
/// upstreams of all failure domains.
std::vector<std::size_t> candidates_for(const director_state& state, const fleet_view& view,
                                        const ready_upstreams& ready, std::uint64_t flow_hash) {
    std::vector<std::size_t> candidates;
    const auto own = ready.by_failure_domain.find(view.own_failure_domain);
    if (own != ready.by_failure_domain.end()) {
        const auto& list = own->second;
        const auto begin = state.subset.index * list.size() / state.subset.count;
        for (std::size_t step = 0; step < std::min(list.size(), max_own_domain_candidates); ++step) {
            candidates.push_back(list[(begin + step) % list.size()]);
        }
    }
    const auto begin = mix_hashes(flow_hash, state.seed);
    const auto stride = ready.all.size() / max_all_domain_candidates + 1;
    for (std::size_t step = 0; step < std::min(ready.all.size(), max_all_domain_candidates); ++step) {
        candidates.push_back(ready.all[(begin + step * stride) % ready.all.size()]);
    }
    return candidates;
}

}  // namespace

const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                      const std::string& service, std::uint64_t flow_hash,
                                      steering_tag last_resort, mono_time now) {
    const auto found = view.upstreams->ready_by_service.find(service);
    if (found == view.upstreams->ready_by_service.end()) {
        return nullptr;
    }
    const auto& ready = found->second;
    auto candidates = candidates_for(state, view, ready, flow_hash);
    auto best = cheapest_of(state, view, candidates, last_resort, now);
    if (best.cost >= avoided_cost) {
        candidates = ready.all;
        best = cheapest_of(state, view, candidates, last_resort, now);
    }
    const auto& chosen = view.upstreams->upstreams[candidates[best.offset]];
    return &chosen;
}

}  // namespace guavaramp
