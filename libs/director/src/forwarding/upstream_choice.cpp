#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/upstream_choice.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace guavaramp {
namespace {

/// Weight of the newest sample in the moving average of a service's utilisation: one director of 60 sees a
/// few requests at a time, so single samples differ much.
constexpr double newest_utilisation_weight = 0.05;

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

/// What the costs of all candidates for a new flow have in common.
struct cost_context {
    double mean_answer_ms{0};        ///< of the candidates that were measured; 0 if none was
    double answer_time_exponent{1};  ///< exponent of the cost of a candidate's answer time
    rank_range ranks;                ///< hosts that the flow should use
    bool ignores_domain{false};      ///< all failure domains cost the same
};

/// Returns the cost factor for the answer time of an upstream.
double answer_time_cost(const host_health& health, const cost_context& context, mono_time now) noexcept {
    const double ratio = std::clamp(health.answer_time_ms / context.mean_answer_ms, min_answer_time_ratio,
                                    max_answer_time_ratio);
    const std::chrono::duration<double> age = now - health.last_answer_at;
    const std::chrono::duration<double> half_life = answer_time_half_life;
    if (context.ranks.end < 1 && ratio > min_clear_answer_ratio && ratio < max_clear_answer_ratio) {
        return 1;
    }
    const double current_ratio = 1.0 + (ratio - 1.0) * std::exp2(-std::max(age / half_life, 0.0));
    return std::pow(current_ratio, context.answer_time_exponent);
}

/// Returns the cost of placing a new flow on `candidate`, see the factors in upstream_choice.hpp.
double cost_of(const director_state& state, const fleet_view& view, const known_upstream& candidate,
               steering_tag tag, const cost_context& context, mono_time now) {
    const auto& report = candidate.report;
    const auto load = load_of(state.flows, tag);
    double cost = (load.open_flows + waiting_flow_cost * load.waiting_flows + 1.0) /
                  std::max<std::uint32_t>(report.slots, 1);
    const bool is_in_other_domain = report.failure_domain != view.own_failure_domain;
    if (is_in_other_domain && !context.ignores_domain &&
        state.mechanisms.is_enabled(mechanism::failure_domain_cost)) {
        cost *= other_failure_domain_cost;
    }
    if (report.warmup_left_ms > 0) {
        cost *= warming_up_cost;
    }
    const auto* health = find_health(state, tag);
    if (health == nullptr) {
        return cost;
    }
    if (health->answer_time_ms > 0 && state.mechanisms.is_enabled(mechanism::answer_time_cost)) {
        cost *= answer_time_cost(*health, context, now);
    }
    return is_avoided(*health, now) ? cost * avoided_cost : cost;
}

struct chosen_candidate {
    std::size_t offset{0};  ///< position in the list of candidates
    double cost{std::numeric_limits<double>::max()};
    bool avoided{true};  ///< new flows should avoid it
};

/// Returns the candidate with the lowest cost; the first one if several have it.
chosen_candidate cheapest_of(const director_state& state, const fleet_view& view,
                             const std::vector<std::size_t>& candidates, cost_context context,
                             steering_tag last_resort, mono_time now) {
    context.mean_answer_ms = mean_answer_time_ms(state, *view.upstreams, candidates);
    chosen_candidate best;
    for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
        const auto& candidate = view.upstreams->upstreams[candidates[offset]];
        const auto tag = tag_of(candidate.report.delivery_id);
        double cost = cost_of(state, view, candidate, tag, context, now);
        const bool avoided = cost >= avoided_cost || tag == last_resort;
        const double rank = view.upstreams->urgent_ranks[candidates[offset]];
        if (rank < context.ranks.begin || rank >= context.ranks.end) {
            cost *= wrong_class_cost;
        }
        if (tag == last_resort) {
            cost *= avoided_cost * avoided_cost;
        }
        if (cost < best.cost) {
            best = {.offset = offset, .cost = cost, .avoided = avoided};
        }
    }
    return best;
}

/// Returns the positions of this director's subset of `list`, the upstreams of a service in its failure
/// domain.
std::vector<std::size_t> own_domain_candidates(const director_state& state,
                                               const std::vector<std::size_t>& list) {
    const auto begin = state.subset.index * list.size() / state.subset.count;
    const auto count = state.mechanisms.is_enabled(mechanism::candidate_subset)
                           ? std::min(list.size(), max_own_domain_candidates)
                           : list.size();
    std::vector<std::size_t> candidates;
    for (std::size_t step = 0; step < count; ++step) {
        candidates.push_back(list[(begin + step) % list.size()]);
    }
    return candidates;
}

/// Returns the requests that this director's flows have outstanding at the upstreams at `positions`.
double count_waiting_requests(const director_state& state, const upstream_index& index,
                              const std::vector<std::size_t>& positions) {
    double waiting_requests = 0;
    for (const auto position : positions) {
        const auto tag = tag_of(index.upstreams[position].report.delivery_id);
        waiting_requests += load_of(state.flows, tag).waiting_flows;
    }
    return waiting_requests;
}

/// Returns the positions of this director's subset of the upstreams in the other failure domains, about as
/// many of each. Directors of one failure domain begin at different positions, and those of different ones
/// too.
std::vector<std::size_t> other_domain_candidates(const director_state& state, const fleet_view& view,
                                                 const ready_upstreams& ready) {
    const auto other_domains =
        ready.by_failure_domain.size() - ready.by_failure_domain.count(view.own_failure_domain);
    std::vector<std::size_t> candidates;
    std::size_t domains_left = other_domains;
    for (const auto& [domain, list] : ready.by_failure_domain) {
        if (domain == view.own_failure_domain) {
            continue;
        }
        const auto wanted = (max_own_domain_candidates - candidates.size()) / domains_left;
        --domains_left;
        const auto begin = state.subset.index * list.size() / state.subset.count +
                           hash_text(view.own_failure_domain) % list.size();
        for (std::size_t step = 0; step < std::min(list.size(), wanted); ++step) {
            candidates.push_back(list[(begin + step) % list.size()]);
        }
    }
    return candidates;
}

/// Returns the slots of `ready` and the directors that share them.
domain_capacity capacity_of(const director_state& state, const fleet_view& view,
                            const ready_upstreams& ready) {
    domain_capacity capacity{.directors = state.known_directors};
    for (const auto& [domain, slots] : ready.slots_by_failure_domain) {
        capacity.all_slots += slots;
        capacity.own_slots += domain == view.own_failure_domain ? slots : 0;
    }
    return capacity;
}

/// Returns whether a new flow goes to another failure domain because the own one is full.
bool goes_to_other_domain(const director_state& state, const placement_load& load,
                          const domain_capacity& capacity, std::uint64_t flow_hash, mono_time now) {
    if (!state.mechanisms.is_enabled(mechanism::domain_spill)) {
        return false;
    }
    const double share = spill_share(load.answers, capacity, now);
    return share > 0 && is_spilled(flow_hash, state.seed, share);
}

/// Returns the ranks of the hosts that a new flow of `priority` should use.
rank_range ranks_for(const director_state& state, const placement_load& load, const domain_capacity& capacity,
                     std::uint32_t priority, mono_time now) {
    if (!state.mechanisms.is_enabled(mechanism::urgent_capacity) || capacity.directors == 0) {
        return {};
    }
    return hosts_for_priority(load.demand, priority,
                              capacity.own_slots / static_cast<double>(capacity.directors), now);
}

/// Returns the positions of this director's subset of the upstreams in its failure domain, and of a few
/// upstreams of all failure domains.
std::vector<std::size_t> candidates_for(const director_state& state, const fleet_view& view,
                                        const ready_upstreams& ready, std::uint64_t flow_hash) {
    std::vector<std::size_t> candidates;
    const auto own = ready.by_failure_domain.find(view.own_failure_domain);
    if (own != ready.by_failure_domain.end()) {
        candidates = own_domain_candidates(state, own->second);
    }
    const auto begin = mix_hashes(flow_hash, state.seed);
    const auto stride = ready.all.size() / max_all_domain_candidates + 1;
    for (std::size_t step = 0; step < std::min(ready.all.size(), max_all_domain_candidates); ++step) {
        candidates.push_back(ready.all[(begin + step * stride) % ready.all.size()]);
    }
    return candidates;
}

}  // namespace

double answer_time_exponent_at(double utilisation) noexcept {
    const double position =
        std::clamp((utilisation - low_utilisation) / (high_utilisation - low_utilisation), 0.0, 1.0);
    return std::lerp(max_answer_time_exponent, 1.0, position);
}

service_use use_of_service(const director_state& state, const fleet_view& view, const std::string& service) {
    const auto found = view.upstreams->ready_by_service.find(service);
    if (found == view.upstreams->ready_by_service.end()) {
        return {};
    }
    const auto& ready = found->second;
    const auto own = ready.by_failure_domain.find(view.own_failure_domain);
    std::vector<std::size_t> counted;
    if (ready.all.size() <= max_own_domain_candidates) {
        counted = ready.all;
    } else if (own == ready.by_failure_domain.end()) {
        counted = other_domain_candidates(state, view, ready);
    } else {
        counted = own_domain_candidates(state, own->second);
    }
    double slots = 0;
    for (const auto& [domain, domain_slots] : ready.slots_by_failure_domain) {
        slots += domain_slots;
    }
    const auto sharers =
        std::max<std::size_t>(ready.slots_by_failure_domain.size() * state.known_directors, 1);
    return {.waiting_requests = count_waiting_requests(state, *view.upstreams, counted),
            .slots = slots / static_cast<double>(sharers)};
}

void update_utilisation(director_state& state, const fleet_view& view, const std::string& service) {
    const auto found = view.upstreams->ready_by_service.find(service);
    if (found == view.upstreams->ready_by_service.end() || state.known_directors == 0) {
        return;
    }
    const auto& ready = found->second;
    const auto own = ready.by_failure_domain.find(view.own_failure_domain);
    if (own == ready.by_failure_domain.end()) {
        return;
    }
    const double waiting_requests =
        count_waiting_requests(state, *view.upstreams, own_domain_candidates(state, own->second));
    const double slots =
        std::max<std::uint32_t>(ready.slots_by_failure_domain.at(view.own_failure_domain), 1);
    const double sample = waiting_requests * static_cast<double>(state.known_directors) / slots;
    auto& average = state.utilisation.try_emplace(service, sample).first->second;
    average += (sample - average) * newest_utilisation_weight;
}

double placement_utilisation(const director_state& state, const fleet_view& view, const std::string& service,
                             mono_time now) {
    const auto load = state.placement_loads.find(service);
    const auto ready = view.upstreams->ready_by_service.find(service);
    if (load == state.placement_loads.end() || ready == view.upstreams->ready_by_service.end()) {
        return 0;
    }
    return domain_utilisation(load->second.answers, capacity_of(state, view, ready->second), now);
}

void record_placement_opening(director_state& state, const fleet_view& view, const std::string& service,
                              std::uint32_t priority, mono_time now) {
    const double utilisation = placement_utilisation(state, view, service, now);
    record_opened_flow(state.placement_loads[service].demand, priority, utilisation, now);
}

void record_placement_answer(director_state& state, const fleet_view& view, const known_upstream& target,
                             std::uint32_t priority, mono_time::duration answer_time, mono_time now) {
    const auto& report = target.report;
    auto& load = state.placement_loads[report.service];
    const bool is_own_domain = report.failure_domain == view.own_failure_domain;
    record_domain_answer(load.answers, is_own_domain, answer_time, now);
    const double utilisation = placement_utilisation(state, view, report.service, now);
    record_answered_request(load.demand, priority, answer_time, utilisation, now);
}

std::size_t count_reserving_services(const director_state& state, const fleet_view& view, mono_time now) {
    return static_cast<std::size_t>(
        std::ranges::count_if(state.placement_loads, [&state, &view, now](const auto& item) {
            return item.second.demand.is_reserving && item.second.demand.by_priority.size() > 1 &&
                   placement_utilisation(state, view, item.first, now) >= release_utilisation;
        }));
}

const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                      const std::string& service, std::uint64_t flow_hash,
                                      steering_tag last_resort, mono_time now, std::uint32_t priority) {
    const auto found = view.upstreams->ready_by_service.find(service);
    if (found == view.upstreams->ready_by_service.end()) {
        return choose_cold_host(state.cold_hosts, *view.upstreams, service, view.own_failure_domain,
                                last_resort, now);
    }
    const auto& ready = found->second;
    const auto utilisation = state.utilisation.find(service);
    const bool has_own_domain = ready.by_failure_domain.contains(view.own_failure_domain);
    cost_context context{.answer_time_exponent = answer_time_exponent_at(
                             utilisation == state.utilisation.end() ? 1.0 : utilisation->second),
                         .ignores_domain = !has_own_domain};
    if (const auto load = state.placement_loads.find(service); load != state.placement_loads.end()) {
        const auto capacity = capacity_of(state, view, ready);
        context.ranks = ranks_for(state, load->second, capacity, priority, now);
        context.ignores_domain =
            !has_own_domain || goes_to_other_domain(state, load->second, capacity, flow_hash, now);
    }
    auto candidates = context.ignores_domain ? other_domain_candidates(state, view, ready)
                                             : candidates_for(state, view, ready, flow_hash);
    if (context.ranks.end < 1) {
        // Directors that all begin with the same kept host would fill its queue.
        const auto begin = mix_hashes(flow_hash, state.seed) % candidates.size();
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(begin),
                    candidates.end());
    }
    auto best = cheapest_of(state, view, candidates, context, last_resort, now);
    if (best.avoided) {
        context.ignores_domain = !has_own_domain;
        candidates = ready.all;
        best = cheapest_of(state, view, candidates, context, last_resort, now);
    }
    const auto& chosen = view.upstreams->upstreams[candidates[best.offset]];
    const auto* health = find_health(state, tag_of(chosen.report.delivery_id));
    if (health != nullptr && is_unreachable(*health, now)) {  // then no other warm one is usable
        const auto* cold = choose_cold_host(state.cold_hosts, *view.upstreams, service,
                                            view.own_failure_domain, last_resort, now);
        return cold == nullptr ? &chosen : cold;
    }
    return &chosen;
}

}  // namespace guavaramp
