#include "steering_internal.hpp"

#include <algorithm>

namespace guavaramp {
namespace {

using namespace steering_detail;

// Every flow is checked twice a second, so unanswered flows are found well within the delays below, which are
// whole seconds.
constexpr auto sweep_period = milliseconds{500};
constexpr auto placement_update_period = milliseconds{100};
constexpr flow_tick ticks_per_second = 1000 / flow_tick_ms;
// A flow whose caller's packet is unanswered is suspected after 2 s and then probed every second. After 3
// unanswered probes it is reset if the host has answered other flows, and otherwise 8 s after the unanswered
// packet.
constexpr flow_tick suspicion_delay = 2 * ticks_per_second;
constexpr flow_tick silence_probe_interval = ticks_per_second;
constexpr flow_tick unreachable_delay = 8 * ticks_per_second;
constexpr std::uint8_t max_silence_probes = 3;
// Limits of the idle time after which a flow is removed. A caller may retransmit its last segments for some
// seconds after both ends have closed.
constexpr flow_tick ended_idle_limit = 10 * ticks_per_second;
constexpr flow_tick closing_idle_limit = 300 * ticks_per_second;
constexpr flow_tick opening_idle_limit = 60 * ticks_per_second;
constexpr flow_tick udp_idle_limit = 3600 * ticks_per_second;
constexpr flow_tick established_idle_limit = 24 * 3600 * ticks_per_second;

flow_tick idle_limit(const flow_entry& entry, transport protocol) noexcept {
    if ((entry.flags & flow_flag::ended) != 0) {
        return ended_idle_limit;
    }
    if ((entry.flags & flow_flag::closing) != 0) {
        return closing_idle_limit;
    }
    if ((entry.flags & flow_flag::opening) != 0) {
        return opening_idle_limit;
    }
    return protocol == transport::udp ? udp_idle_limit : established_idle_limit;
}

flow_key make_flow_key(const flow_entry& entry, const service& target) {
    return {.caller = {.address = entry.caller, .port = entry.caller_port},
            .service = target.address,
            .protocol = target.protocol};
}

/// Sends a keep-alive segment in the caller's name to the upstream of a flow whose packets are unanswered.
void send_silence_probe(const flow_entry& entry, const service& target, const upstream& host,
                        steering_effects& effects) {
    const auto flow = make_flow_key(entry, target);
    effects.sends.push_back({.kind = send_kind::probe,
                             .destination = host.packet_address,
                             .owned_inner = build_segment(flow.caller, flow.service, tcp_flag::ack,
                                                          entry.next_sequence - 1, entry.acknowledgment)});
}

/// Returns whether the upstream has answered any flow within the last `suspected_for` ticks.
bool has_answered_since_suspicion(const steering_state& state, upstream_id id, flow_tick suspected_for,
                                  steering_time now) {
    const auto seen = state.placement.upstreams.find(static_cast<std::uint32_t>(id));
    const auto since = now.mono - milliseconds{static_cast<std::int64_t>(suspected_for) * flow_tick_ms};
    return seen != state.placement.upstreams.end() && seen->second.last_answer >= since;
}

/// Ends a flow: sends RST to its caller and its upstream and removes its entry.
void reset_caller_and_upstream(steering_state& state, flow_entry& entry, const service& target,
                               const upstream& host, flow_end cause, steering_time now,
                               steering_effects& effects) {
    const auto flow = make_flow_key(entry, target);
    report_flow_end(state, entry, cause, now, effects);
    observe_failure(state.placement, entry.upstream, now.mono);
    reset_caller(state, flow, entry.acknowledgment, entry.next_sequence, effects);
    effects.sends.push_back(
        {.kind = send_kind::reset_upstream,
         .destination = host.packet_address,
         .owned_inner = build_segment(flow.caller, flow.service, tcp_flag::rst, entry.next_sequence, 0)});
    state.flows.erase(entry);
}

/// Probes the upstream of a TCP flow with an unanswered packet, and resets the flow when it counts as lost.
void check_unanswered_flow(steering_state& state, flow_entry& entry, const service& target, steering_time now,
                           steering_effects& effects) {
    const auto waited =
        static_cast<flow_tick>(static_cast<std::uint16_t>(tick_at(state, now) - entry.unanswered_since));
    if (waited < suspicion_delay) {
        return;
    }
    if ((entry.flags & flow_flag::opening) != 0) {
        // An unanswered SYN counts as a failure of the host. The flow needs no RST, since the caller gives
        // up by itself.
        if (entry.unanswered_probes == 0) {
            entry.unanswered_probes = 1;
            observe_failure(state.placement, entry.upstream, now.mono);
        }
        return;
    }
    const auto* host = usable_upstream(state, entry.service, entry.upstream, now);
    if (host == nullptr) {
        return;
    }
    if (entry.unanswered_probes < max_silence_probes) {
        if (waited >= suspicion_delay + entry.unanswered_probes * silence_probe_interval) {
            state.totals.suspected_flows += entry.unanswered_probes == 0 ? 1 : 0;
            entry.unanswered_probes =
                static_cast<std::uint8_t>((entry.unanswered_probes + 1) & max_silence_probes);
            send_silence_probe(entry, target, *host, effects);
        }
        return;
    }
    if (waited < suspicion_delay + max_silence_probes * silence_probe_interval) {
        return;
    }
    if (has_answered_since_suspicion(state, entry.upstream, waited - suspicion_delay, now)) {
        reset_caller_and_upstream(state, entry, target, *host, flow_end::lost_at_upstream, now, effects);
    } else if (waited >= unreachable_delay) {
        reset_caller_and_upstream(state, entry, target, *host, flow_end::host_unreachable, now, effects);
    }
}

/// Removes a flow that has exceeded its idle limit, and checks a TCP flow with an unanswered packet.
void check_flow(steering_state& state, flow_entry& entry, steering_time now, steering_effects& effects) {
    const auto* target = state.config->find_service(entry.service);
    const auto protocol = target == nullptr ? transport::tcp : target->protocol;
    const auto idle = tick_at(state, now) - std::max(entry.last_from_caller, entry.last_from_upstream);
    if (idle > idle_limit(entry, protocol)) {
        const bool owned = (entry.flags & flow_flag::owned) != 0;
        if (owned && (entry.flags & flow_flag::ended) == 0) {
            report_flow_end(state, entry, flow_end::expired, now, effects);
        }
        state.flows.erase(entry);
        return;
    }
    const bool waits = (entry.flags & flow_flag::unanswered) != 0 && (entry.flags & flow_flag::closing) == 0;
    if (waits && target != nullptr && protocol == transport::tcp) {
        check_unanswered_flow(state, entry, *target, now, effects);
    }
}

/// Hands an owned UDP flow over to the next owner during a planned stop, if the next owner would place it on
/// another upstream. UDP flows cannot be probed, so the next owner could not find the upstream by itself.
void hand_over_flow(steering_state& state, flow_entry& entry, steering_time now, steering_effects& effects) {
    const auto* target = state.config->find_service(entry.service);
    if (target == nullptr || target->protocol != transport::udp || (entry.flags & flow_flag::owned) == 0) {
        return;
    }
    const auto flow = make_flow_key(entry, *target);
    const auto hash = hash_flow(flow);
    const auto* owner = find_owner(state, hash, std::nullopt);
    const auto* first = find_candidates(state.placement, *target, hash, now).first;
    if (owner == nullptr || owner->address == state.options.local ||
        (first != nullptr && first->id == entry.upstream)) {
        return;
    }
    auto owned_inner =
        build_headers({.source = flow.caller, .destination = flow.service, .protocol = transport::udp});
    if (!take_tokens(state.hand_over_budget, static_cast<double>(owned_inner.size() + relay_header_size),
                     now.mono)) {
        return;
    }
    entry.flags &= static_cast<std::uint8_t>(~flow_flag::owned);
    ++state.totals.handed_over_flows;
    send_relay(state, owner->address,
               {.kind = relay_kind::hand_over, .origin = state.options.local, .upstream = entry.upstream}, {},
               std::move(owned_inner), effects);
}

void update_placement(steering_state& state, steering_time now) {
    if (now.mono - state.last_placement_update_at < placement_update_period) {
        return;
    }
    state.last_placement_update_at = now.mono;
    for (const auto& [name, value] : state.config->value().services) {
        update_service(state.placement, value, now);
    }
}

}  // namespace

namespace steering_detail {

void sweep_flows(steering_state& state, steering_time now, steering_effects& effects) {
    const auto elapsed = std::min<mono_time::duration>(now.mono - state.last_sweep_at, sweep_period);
    const auto buckets = state.flows.bucket_count();
    const auto share = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(sweep_period);
    auto buckets_left = static_cast<std::size_t>(share * static_cast<double>(buckets));
    if (buckets_left == 0) {
        return;
    }
    state.last_sweep_at = now.mono;
    while (buckets_left > 0) {
        const auto last = std::min(state.next_sweep_bucket + buckets_left, buckets);
        state.flows.visit(state.next_sweep_bucket, last, [&](flow_entry& entry) {
            if (state.leaving) {
                hand_over_flow(state, entry, now, effects);
            }
            check_flow(state, entry, now, effects);
        });
        buckets_left -= last - state.next_sweep_bucket;
        state.next_sweep_bucket = last == buckets ? 0 : last;
    }
}

}  // namespace steering_detail

void run_periodic_work(steering_state& state, steering_time now, steering_effects& effects) {
    if (!state.config) {
        return;
    }
    advance_resolutions(state, now, effects);
    sweep_flows(state, now, effects);
    update_placement(state, now);
}

}  // namespace guavaramp
