#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/choice.hpp>

#include <algorithm>
#include <limits>
#include <vector>

namespace guavaramp {
namespace {

const host_health* find_health(const director_state& state, steering_tag tag) {
    const auto found = state.health.find(static_cast<std::uint32_t>(tag));
    return found == state.health.end() ? nullptr : &found->second;
}

/// Mean answer time of the candidates that have one; 0 when none has.
double mean_answer_time_ms(const director_state& state, const upstream_index& index,
                           const std::vector<std::size_t>& candidates) {
    double sum = 0;
    double count = 0;
    for (const auto position : candidates) {
        const auto* health = find_health(state, tag_of(index.upstreams[position].report.delivery_id));
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

/// The cheapest of `candidates`; the first among equals.
struct chosen_candidate {
    std::size_t offset{0};  ///< in the candidates
    double cost{std::numeric_limits<double>::max()};
};

chosen_candidate cheapest_of(const director_state& state, const fleet_view& view,
                             const std::vector<std::size_t>& candidates, steering_tag except, mono_time now) {
    const double mean_answer_ms = mean_answer_time_ms(state, *view.upstreams, candidates);
    chosen_candidate best;
    for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
        const auto& candidate = view.upstreams->upstreams[candidates[offset]];
        const auto tag = tag_of(candidate.report.delivery_id);
        double cost = cost_of(state, view, candidate, tag, mean_answer_ms, now);
        if (tag == except) {
            cost *= avoided_cost * avoided_cost;
        }
        if (cost < best.cost) {
            best = {.offset = offset, .cost = cost};
        }
    }
    return best;
}

/// This director's share of the upstreams in its failure domain, and a few of all.
std::vector<std::size_t> share_of(const director_state& state, const fleet_view& view,
                                  const ready_upstreams& ready, std::uint64_t flow_hash) {
    std::vector<std::size_t> candidates;
    const auto own = ready.by_failure_domain.find(view.own_failure_domain);
    if (own != ready.by_failure_domain.end()) {
        const auto& list = own->second;
        const auto begin = state.share.index * list.size() / state.share.count;
        for (std::size_t step = 0; step < std::min(list.size(), most_candidates); ++step) {
            candidates.push_back(list[(begin + step) % list.size()]);
        }
    }
    const auto begin = mix_hashes(flow_hash, state.seed);
    const auto stride = ready.all.size() / most_other_candidates + 1;
    for (std::size_t step = 0; step < std::min(ready.all.size(), most_other_candidates); ++step) {
        candidates.push_back(ready.all[(begin + step * stride) % ready.all.size()]);
    }
    return candidates;
}

}  // namespace

const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                      const std::string& service, std::uint64_t flow_hash,
                                      steering_tag except, mono_time now) {
    const auto found = view.upstreams->ready_by_service.find(service);
    if (found == view.upstreams->ready_by_service.end()) {
        return nullptr;
    }
    const auto& ready = found->second;
    auto candidates = share_of(state, view, ready, flow_hash);
    auto best = cheapest_of(state, view, candidates, except, now);
    if (best.cost >= avoided_cost) {
        candidates = ready.all;
        best = cheapest_of(state, view, candidates, except, now);
    }
    const auto& chosen = view.upstreams->upstreams[candidates[best.offset]];
    return &chosen;
}

}  // namespace guavaramp
