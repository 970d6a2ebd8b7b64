#include "steering_internal.hpp"

#include <algorithm>

namespace guavaramp {
namespace {

using namespace steering_detail;

// Every flow is looked at twice a second, which finds silence well within its bounds of whole seconds.
constexpr auto sweep_period = milliseconds{500};
constexpr auto update_period = milliseconds{100};
constexpr flow_tick ticks_per_second = 1000 / flow_tick_ms;
constexpr flow_tick suspected_after = 2 * ticks_per_second;
constexpr flow_tick probe_spacing = ticks_per_second;
constexpr flow_tick unreachable_after = 8 * ticks_per_second;
constexpr std::uint8_t silence_probes = 3;
// A caller may retransmit its last segments for some seconds after both ends have closed.
constexpr flow_tick ended_kept = 10 * ticks_per_second;
constexpr flow_tick closing_kept = 300 * ticks_per_second;
constexpr flow_tick opening_kept = 60 * ticks_per_second;
constexpr flow_tick udp_kept = 3600 * ticks_per_second;
constexpr flow_tick established_kept = 24 * 3600 * ticks_per_second;

flow_tick idle_limit(const flow_entry& entry, transport protocol) noexcept {
    if ((entry.flags & flow_flag::ended) != 0) {
        return ended_kept;
    }
    if ((entry.flags & flow_flag::closing) != 0) {
        return closing_kept;
    }
    if ((entry.flags & flow_flag::opening) != 0) {
        return opening_kept;
    }
    return protocol == transport::udp ? udp_kept : established_kept;
}

flow_key key_of(const flow_entry& entry, const service& target) {
    return {.caller = {.address = entry.caller, .port = entry.caller_port},
            .service = target.address,
            .protocol = target.protocol};
}

void probe(const flow_entry& entry, const service& target, const upstream& host, steering_effects& out) {
    const auto flow = key_of(entry, target);
    out.sends.push_back({.kind = send_kind::probe,
                         .destination = host.packet_address,
                         .built = build_segment(flow.caller, flow.service, tcp_flag::ack,
                                                entry.next_sequence - 1, entry.acknowledgment)});
}

bool answered_others(const steering_state& state, upstream_id id, flow_tick suspected_for,
                     steering_time now) {
    const auto seen = state.placement.upstreams.find(static_cast<std::uint32_t>(id));
    const auto since = now.mono - milliseconds{static_cast<std::int64_t>(suspected_for) * flow_tick_ms};
    return seen != state.placement.upstreams.end() && seen->second.last_answer >= since;
}

void reset_both(steering_state& state, flow_entry& entry, const service& target, const upstream& host,
                flow_end cause, steering_time now, steering_effects& out) {
    const auto flow = key_of(entry, target);
    end_flow(state, entry, cause, now, out);
    observe_failure(state.placement, entry.upstream, now.mono);
    reset_caller(state, flow, entry.acknowledgment, entry.next_sequence, out);
    out.sends.push_back(
        {.kind = send_kind::reset_upstream,
         .destination = host.packet_address,
         .built = build_segment(flow.caller, flow.service, tcp_flag::rst, entry.next_sequence, 0)});
    state.flows.erase(entry);
}

void check_silence(steering_state& state, flow_entry& entry, const service& target, steering_time now,
                   steering_effects& out) {
    const auto waited =
        static_cast<flow_tick>(static_cast<std::uint16_t>(tick_at(state, now) - entry.waiting_since));
    if (waited < suspected_after) {
        return;
    }
    if ((entry.flags & flow_flag::opening) != 0) {
        // A SYN without an answer says something about the host, and the caller gives up by itself.
        if (entry.silent_probes == 0) {
            entry.silent_probes = 1;
            observe_failure(state.placement, entry.upstream, now.mono);
        }
        return;
    }
    const auto* host = usable_upstream(state, entry.service, entry.upstream, now);
    if (host == nullptr) {
        return;
    }
    if (entry.silent_probes < silence_probes) {
        if (waited >= suspected_after + entry.silent_probes * probe_spacing) {
            state.totals.suspected += entry.silent_probes == 0 ? 1 : 0;
            entry.silent_probes = static_cast<std::uint8_t>((entry.silent_probes + 1) & silence_probes);
            probe(entry, target, *host, out);
        }
        return;
    }
    if (waited < suspected_after + silence_probes * probe_spacing) {
        return;
    }
    if (answered_others(state, entry.upstream, waited - suspected_after, now)) {
        reset_both(state, entry, target, *host, flow_end::lost_at_upstream, now, out);
    } else if (waited >= unreachable_after) {
        reset_both(state, entry, target, *host, flow_end::host_unreachable, now, out);
    }
}

void check_flow(steering_state& state, flow_entry& entry, steering_time now, steering_effects& out) {
    const auto* target = state.config->find_service(entry.service);
    const auto protocol = target == nullptr ? transport::tcp : target->protocol;
    const auto idle = tick_at(state, now) - std::max(entry.last_from_caller, entry.last_from_upstream);
    if (idle > idle_limit(entry, protocol)) {
        const bool owned = (entry.flags & flow_flag::owned) != 0;
        if (owned && (entry.flags & flow_flag::ended) == 0) {
            end_flow(state, entry, flow_end::expired, now, out);
        }
        state.flows.erase(entry);
        return;
    }
    const bool waits = (entry.flags & flow_flag::waiting) != 0 && (entry.flags & flow_flag::closing) == 0;
    if (waits && target != nullptr && protocol == transport::tcp) {
        check_silence(state, entry, *target, now, out);
    }
}

/// Planned stop: UDP flows cannot be probed, so the next owner is told of those that it would place
/// elsewhere.
void hand_over(steering_state& state, flow_entry& entry, steering_time now, steering_effects& out) {
    const auto* target = state.config->find_service(entry.service);
    if (target == nullptr || target->protocol != transport::udp || (entry.flags & flow_flag::owned) == 0) {
        return;
    }
    const auto flow = key_of(entry, *target);
    const auto hash = hash_flow(flow);
    const auto* owner = first_owner(state, hash, std::nullopt);
    const auto* first = find_candidates(state.placement, *target, hash, now).first;
    if (owner == nullptr || owner->address == state.options.local ||
        (first != nullptr && first->id == entry.upstream)) {
        return;
    }
    auto built = headers_of({.source = flow.caller, .destination = flow.service, .protocol = transport::udp});
    if (!take_tokens(state.hand_over_bytes, static_cast<double>(built.size() + relay_header_size),
                     now.mono)) {
        return;
    }
    entry.flags &= static_cast<std::uint8_t>(~flow_flag::owned);
    ++state.totals.handed_over;
    relay_to(state, owner->address,
             {.kind = relay_kind::hand_over, .origin = state.options.local, .upstream = entry.upstream}, {},
             std::move(built), out);
}

void update_placement(steering_state& state, steering_time now) {
    if (now.mono - state.last_update < update_period) {
        return;
    }
    state.last_update = now.mono;
    for (const auto& [name, value] : state.config->value().services) {
        update_service(state.placement, value, now);
    }
}

}  // namespace

namespace steering_detail {

void sweep_flows(steering_state& state, steering_time now, steering_effects& out) {
    const auto elapsed = std::min<mono_time::duration>(now.mono - state.last_sweep, sweep_period);
    const auto buckets = state.flows.bucket_count();
    const auto share = std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(sweep_period);
    auto left = static_cast<std::size_t>(share * static_cast<double>(buckets));
    if (left == 0) {
        return;
    }
    state.last_sweep = now.mono;
    while (left > 0) {
        const auto last = std::min(state.swept_bucket + left, buckets);
        state.flows.visit(state.swept_bucket, last, [&](flow_entry& entry) {
            if (state.leaving) {
                hand_over(state, entry, now, out);
            }
            check_flow(state, entry, now, out);
        });
        left -= last - state.swept_bucket;
        state.swept_bucket = last == buckets ? 0 : last;
    }
}

}  // namespace steering_detail

void advance_clock(steering_state& state, steering_time now, steering_effects& out) {
    if (!state.config) {
        return;
    }
    step_resolutions(state, now, out);
    sweep_flows(state, now, out);
    update_placement(state, now);
}

}  // namespace guavaramp
