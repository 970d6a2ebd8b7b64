#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/urgent_capacity.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Seed of the hash that orders the hosts.
constexpr std::uint64_t rank_seed = 0x757267656e74ULL;
/// Requests/s of a priority below which it does not count as in use.
constexpr double min_requests_per_second = 0.05;

/// Returns the requests/s that this director's flows of a priority ask for.
double requests_per_second(const priority_demand& demand, mono_time now) noexcept {
    return std::max(rate_per_second(demand.opened_flows, demand_time_constant, now),
                    rate_per_second(demand.answered_requests, demand_time_constant, now));
}

}  // namespace

void record_opened_flow(service_demand& demand, std::uint32_t priority, double utilisation, mono_time now) {
    add_part(demand.by_priority[priority].opened_flows, 1, demand_time_constant, now);
    demand.is_reserving = utilisation >= (demand.is_reserving ? release_utilisation : reserve_utilisation);
}

void record_answered_request(service_demand& demand, std::uint32_t priority, mono_time::duration answer_time,
                             double utilisation, mono_time now) {
    auto& measured = demand.by_priority[priority];
    add_part(measured.answered_requests, 1, demand_time_constant, now);
    const double answer_ms = std::chrono::duration<double, std::milli>(answer_time).count();
    // While hosts are kept, answers of the urgent class wait in shorter queues than `utilisation` tells, so
    // they do not show the work.
    const bool is_refusal =
        utilisation >= release_utilisation && answer_ms < min_work_sample_ratio * measured.work_ms;
    if ((!demand.is_reserving || measured.measured_requests == 0) && !is_refusal) {
        measured.measured_requests = std::min(measured.measured_requests + 1, averaged_requests);
        const bool is_first = measured.measured_requests == 1;
        const double highest = is_first ? answer_ms : max_work_sample_ratio * measured.work_ms;
        const double work_ms = std::min(answer_ms, highest) / std::max(utilisation, 1.0);
        measured.work_ms += (work_ms - measured.work_ms) / measured.measured_requests;
    }
}

double slots_needed(const priority_demand& demand, mono_time now) noexcept {
    return requests_per_second(demand, now) * demand.work_ms / 1000;
}

rank_range hosts_for_priority(const service_demand& demand, std::uint32_t priority, double slots,
                              mono_time now) noexcept {
    if (!demand.is_reserving || slots <= 0) {
        return {};
    }
    double more_urgent = 0;
    double as_urgent = 0;
    bool has_less_urgent = false;
    for (const auto& [other, measured] : demand.by_priority) {
        if (other < priority) {
            more_urgent += slots_needed(measured, now);
        } else if (other == priority) {
            as_urgent = slots_needed(measured, now);
        } else {
            has_less_urgent =
                has_less_urgent || requests_per_second(measured, now) >= min_requests_per_second;
        }
    }
    const auto share_of = [slots](double used) { return used / (slots * kept_host_utilisation); };
    const double needed = more_urgent + as_urgent;
    const bool has_kept_hosts = has_less_urgent && needed <= slots * max_kept_share;
    return {.begin = std::min(avoided_share_factor * share_of(more_urgent), max_kept_share),
            .end = has_kept_hosts ? std::min(share_of(needed), max_kept_share) : 1.0};
}

std::vector<double> make_urgent_ranks(const upstream_index& index) {
    std::vector<double> ranks(index.upstreams.size(), 0.0);
    const auto order_of = [&index](std::size_t position) {
        return mix_hashes(index.upstreams[position].report.delivery_id, rank_seed);
    };
    for (const auto& [service, ready] : index.ready_by_service) {
        for (const auto& [domain, positions] : ready.by_failure_domain) {
            auto ordered = positions;
            std::ranges::sort(ordered, {}, order_of);
            const double all_slots = std::max<std::uint32_t>(ready.slots_by_failure_domain.at(domain), 1);
            double slots_before = 0;
            for (const auto position : ordered) {
                ranks[position] = slots_before / all_slots;
                slots_before += index.upstreams[position].report.slots;
            }
        }
    }
    return ranks;
}

}  // namespace guavaramp
