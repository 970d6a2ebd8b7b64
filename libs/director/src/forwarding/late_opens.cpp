#include <guavaramp/director/late_opens.hpp>
#include <guavaramp/director/upstream_choice.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Returns whether anything but the late opening packet speaks against the host with `tag`.
bool is_suspected(const director_state& state, steering_tag tag, mono_time now) {
    const auto found = state.health.find(static_cast<std::uint32_t>(tag));
    if (found == state.health.end()) {
        return false;
    }
    const auto& health = found->second;
    return is_avoided(health, now) || health.probing || health.consecutive_stalls > 0 ||
           health.overdue_requests > 0 || health.refused_at != mono_time{};
}

}  // namespace

bool is_near_capacity(const director_state& state, const fleet_view& view, const std::string& service) {
    const auto utilisation = state.utilisation.find(service);
    if (utilisation == state.utilisation.end() || utilisation->second >= high_utilisation) {
        return true;
    }
    const auto load = state.service_loads.find(service);
    if (load == state.service_loads.end()) {
        return false;
    }
    return load->second.objective_share > max_objective_share ||
           use_of_service(state, view, service).waiting_requests >=
               less_urgent_limit_share * load->second.limit;
}

void await_open(director_state& state, const fleet_view& view, const flow_packet& packet,
                const decision& placed, std::span<const std::byte> bytes, mono_time now) {
    const auto* matched = view.routes == nullptr ? nullptr : find_route(*view.routes, packet.flow);
    if (state.hedging.limit <= 0 || matched == nullptr || placed.target == nullptr) {
        return;
    }
    record_placed_open(state.hedging, packet.flow,
                       {.service = placed.target->report.service,
                        .tag = placed.tag,
                        .sequence = packet.sequence,
                        .is_repeatable = matched->is_repeatable,
                        .carries_data = packet.payload_bytes > 0,
                        .placed_at = now,
                        .packet = {bytes.begin(), bytes.end()}});
}

std::vector<extra_open> handle_late_opens(director_state& state, const fleet_view& view, mono_time now) {
    std::vector<extra_open> copies;
    for (const auto& flow : take_late_opens(state.hedging, now)) {
        auto& late = state.hedging.awaited.at(flow);
        const auto* entry = find_flow(state.flows, flow);
        const bool is_waiting = entry != nullptr && !entry->established &&
                                entry->opening_sequence == late.sequence && entry->tag == late.tag;
        const auto* target = view.upstreams == nullptr ? nullptr : find_by_tag(*view.upstreams, late.tag);
        if (!is_waiting || target == nullptr) {
            continue;
        }
        const hedge_conditions conditions{
            .is_repeatable = late.is_repeatable,
            .carries_data = late.carries_data,
            .host_takes_new_flows = takes_new_flows(*view.upstreams, late.tag),
            .host_is_cold = now < target->warm_at,
            .host_is_suspected = is_suspected(state, late.tag, now),
            .service_is_near_capacity = is_near_capacity(state, view, late.service)};
        if (record_late_open(state.hedging, late, conditions, now) == hedge_decision::send) {
            copies.push_back({.flow = flow, .target = target, .tag = late.tag, .packet = late.packet});
        }
    }
    return copies;
}

}  // namespace guavaramp
