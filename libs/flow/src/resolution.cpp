#include "steering_internal.hpp"

#include <guavaramp/base/hash.hpp>

#include <algorithm>

namespace guavaramp::steering_detail {
namespace {

// A peer answers within a few milliseconds, but its answers queue up in a burst of unknown flows. In two
// restarts of one of 3 daemons with 20,000 flows, 12 and 158 flows were probed needlessly with a timeout of
// 25 ms, and 8 and 7 flows with 50 ms. Callers retransmit after 200 ms.
constexpr auto peer_answer_timeout = milliseconds{50};
constexpr auto probe_period = milliseconds{100};
constexpr auto resolution_probe_timeout = milliseconds{400};
constexpr std::uint8_t max_probes = 3;
constexpr std::size_t max_held_packets = 4;
// Other daemons learn of a membership change within this time. Until then, a flow may have two owners.
constexpr auto membership_settling_time = seconds{3};
// An unknown UDP flow cannot be probed, so after a membership change previous owners are asked for as long as
// a caller may send nothing.
constexpr auto udp_settling_time = seconds{60};
// A flow's packets pass through several daemons, so after its owner has crashed, one of the next two daemons
// in rendezvous order usually knows the flow.
constexpr std::size_t max_peers_asked = 2;

/// Returns the peers to ask for an unknown flow, in rendezvous order.
std::vector<ip_address> peers_to_ask(const steering_state& state, std::uint64_t hash) {
    std::vector<std::pair<std::uint64_t, ip_address>> order;
    for (const auto& peer : state.peers) {
        if (peer.address != state.options.local) {
            order.emplace_back(mix_hashes(peer.key, hash), peer.address);
        }
    }
    std::ranges::sort(order, std::greater{});
    order.resize(std::min(order.size(), max_peers_asked));
    std::vector<ip_address> addresses;
    addresses.reserve(order.size());
    for (const auto& [score, address] : order) {
        addresses.push_back(address);
    }
    return addresses;
}

/// Returns whether another daemon may have placed a flow that is unknown to the local daemon.
bool may_be_placed_elsewhere(const steering_state& state, const ip_packet& packet, std::uint64_t hash,
                             steering_time now) {
    const auto settling = packet.protocol == transport::udp ? udp_settling_time : membership_settling_time;
    const auto* owner = find_owner(state, hash, std::nullopt);
    const bool bypassed = owner != nullptr && owner->address != state.options.local;
    return bypassed || now.mono - state.membership_changed_at < settling;
}

/// Relays the packet to the peer that is being asked, which returns it. A copy is held here in case the peer
/// does not answer or the upstreams are probed.
void continue_resolution(steering_state& state, resolution& pending, std::span<const std::byte> inner,
                         const ip_address& origin, steering_effects& effects) {
    const bool is_asking_peer = pending.current_peer_index < pending.peers.size();
    if (pending.held_packets.size() < max_held_packets) {
        pending.held_packets.push_back({.origin = origin, .inner = {inner.begin(), inner.end()}});
    } else if (!is_asking_peer) {
        effects.drops.push_back(drop_reason::resolution_held_full);
    }
    if (is_asking_peer) {
        send_relay(state, pending.peers[pending.current_peer_index],
                   {.kind = relay_kind::ask_peer, .origin = origin}, inner, {}, effects);
    }
}

/// Sends a round of probes to the usable upstreams of the service that have not answered RST.
void send_probes(steering_state& state, resolution& pending, steering_time now, steering_effects& effects) {
    const auto* target = state.config->find_service(pending.service);
    ++pending.probes_sent;
    pending.next_step_at = now.mono + probe_period;
    pending.probed_upstreams.clear();
    if (target == nullptr) {
        return;
    }
    for (const auto& host : target->upstreams) {
        if (usable_upstream(state, target->id, host.id, now) == nullptr) {
            continue;
        }
        pending.probed_upstreams.push_back(host.id);
        if (std::ranges::find(pending.refusing_upstreams, host.id) != pending.refusing_upstreams.end()) {
            continue;
        }
        // The probe is a keep-alive segment (RFC 1122 section 4.2.3.6): it has no data, and its sequence
        // number is one less than the next one.
        effects.sends.push_back(
            {.kind = send_kind::probe,
             .destination = host.packet_address,
             .owned_inner = build_segment(pending.flow.caller, pending.flow.service, tcp_flag::ack,
                                          pending.sequence - 1, pending.acknowledgment)});
    }
}

/// Sends the first round of probes, or drops the held packets if the rate limit of probed flows is reached.
void start_probing(steering_state& state, std::uint64_t hash, steering_time now, steering_effects& effects) {
    auto& pending = state.resolutions.at(hash);
    if (!take_tokens(state.probe_tokens, 1.0, now.mono)) {
        effects.drops.insert(effects.drops.end(), pending.held_packets.size(), drop_reason::resolution_limit);
        state.resolutions.erase(hash);
        return;
    }
    pending.deadline = now.mono + resolution_probe_timeout;
    send_probes(state, pending, now, effects);
}

/// Ends a resolution whose flow was not found and drops the held packets. Resets the caller and reports the
/// broken flow, unless the packet that started the resolution carries FIN or RST.
void fail_resolution(steering_state& state, std::uint64_t hash, steering_time now,
                     steering_effects& effects) {
    const auto found = state.resolutions.find(hash);
    const resolution pending = std::move(found->second);
    state.resolutions.erase(found);
    effects.drops.insert(effects.drops.end(), pending.held_packets.size(), drop_reason::flow_not_found);
    if (pending.is_closing) {
        return;
    }
    reset_caller(state, pending.flow, pending.acknowledgment, pending.sequence, effects);
    const auto* owner = find_owner(state, hash, std::nullopt);
    effects.ended.push_back({.flow = pending.flow,
                             .service = pending.service,
                             .reason = placement_reason::learned_from_probe,
                             .revision = state.config->revision(),
                             .owner = owner == nullptr ? state.options.local : owner->address,
                             .first_seen = now.wall,
                             .last_from_caller = now.wall,
                             .end = flow_end::not_found,
                             .ended_at = now.wall});
}

/// Chooses the upstream of a new flow. An unknown UDP flow may be an existing one and cannot be probed, so it
/// gets its first candidate, which other owners would choose as well. In a planned stop, the owner hands over
/// the UDP flows that have other upstreams.
placement_choice choose_for_new_flow(steering_state& state, const ip_packet& packet, const service& target,
                                     std::uint64_t hash, steering_time now) {
    if (packet.protocol == transport::udp) {
        return {.host = find_candidates(state.placement, target, hash, now).first};
    }
    return choose_upstream(state.placement, target, hash, now);
}

/// Continues a resolution whose flow no peer knows: places a new flow, and probes the upstreams for any other
/// flow.
void continue_without_peers(steering_state& state, std::uint64_t hash, steering_time now,
                            steering_effects& effects) {
    auto& pending = state.resolutions.at(hash);
    if (!pending.is_new_flow) {
        start_probing(state, hash, now, effects);
        return;
    }
    const resolution done = std::move(pending);
    state.resolutions.erase(hash);
    const auto* target = state.config->find_service(done.service);
    for (const auto& packet : done.held_packets) {
        const auto parsed = parse_ip_packet(packet.inner);
        if (target == nullptr || !parsed) {
            effects.drops.push_back(drop_reason::undeclared_service);
            continue;
        }
        place_flow(state, packet.inner, *parsed, hash, *target, packet.origin, true, now, effects);
    }
}

}  // namespace

void resolve(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
             std::uint64_t hash, const service& target, const ip_address& origin, steering_time now,
             steering_effects& effects) {
    const auto flow = flow_from_caller(packet);
    if (const auto found = state.resolutions.find(hash); found != state.resolutions.end()) {
        if (found->second.flow != flow) {
            effects.drops.push_back(drop_reason::resolution_limit);
            return;
        }
        continue_resolution(state, found->second, inner, origin, effects);
        return;
    }
    const bool is_new_flow = may_open(packet);
    auto peers = peers_to_ask(state, hash);
    if (is_new_flow && (peers.empty() || !may_be_placed_elsewhere(state, packet, hash, now))) {
        place_flow(state, inner, packet, hash, target, origin, false, now, effects);
        return;
    }
    if (state.resolutions.size() >= state.options.max_resolutions) {
        effects.drops.push_back(drop_reason::resolution_limit);
        return;
    }
    ++state.totals.started_resolutions;
    auto& pending = state.resolutions[hash];
    pending.flow = flow;
    pending.service = target.id;
    pending.is_new_flow = is_new_flow;
    pending.is_closing = (packet.tcp_flags & (tcp_flag::fin | tcp_flag::rst)) != 0;
    pending.sequence = packet.sequence;
    pending.acknowledgment = packet.acknowledgment;
    pending.peers = std::move(peers);
    pending.next_step_at = now.mono + peer_answer_timeout;
    continue_resolution(state, pending, inner, origin, effects);
    if (pending.peers.empty()) {
        start_probing(state, hash, now, effects);
    }
}

void place_flow(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
                std::uint64_t hash, const service& target, const ip_address& origin, bool copy,
                steering_time now, steering_effects& effects) {
    const auto id = make_flow_id(flow_from_caller(packet), target.id, hash);
    auto* entry = state.flows.find(id);
    if (entry == nullptr && state.refreshing) {
        effects.drops.push_back(drop_reason::refreshing);
        return;
    }
    if (entry == nullptr) {
        const auto choice = choose_for_new_flow(state, packet, target, hash, now);
        if (choice.host == nullptr) {
            effects.drops.push_back(drop_reason::no_active_upstream);
            return;
        }
        const auto reason =
            choice.less_loaded ? placement_reason::less_loaded : placement_reason::first_candidate;
        entry = add_flow(state, id, choice.host->id, reason, flow_flag::owned, now);
        if (entry == nullptr) {
            effects.drops.push_back(drop_reason::table_full);
            return;
        }
        ++state.totals.placed_flows;
    }
    update_from_caller(state, *entry, packet, now, effects);
    if (origin == state.options.local) {
        expect_answer(state, *entry, packet, hash, now);
    }
    std::vector<std::byte> owned_inner;
    if (copy) {
        owned_inner.assign(inner.begin(), inner.end());
    }
    deliver(state, target, entry->upstream, origin, inner, std::move(owned_inner), now, effects);
}

void finish_resolution(steering_state& state, std::uint64_t hash, upstream_id found, placement_reason reason,
                       steering_time now, steering_effects& effects) {
    const auto position = state.resolutions.find(hash);
    resolution done = std::move(position->second);
    state.resolutions.erase(position);
    const auto* target = state.config->find_service(done.service);
    if (target == nullptr) {
        effects.drops.insert(effects.drops.end(), done.held_packets.size(), drop_reason::undeclared_service);
        return;
    }
    const auto id = make_flow_id(done.flow, done.service, hash);
    auto* entry = state.flows.find(id);
    if (entry == nullptr) {
        entry = add_flow(state, id, found, reason, flow_flag::owned, now);
    }
    for (auto& packet : done.held_packets) {
        const auto parsed = parse_ip_packet(packet.inner);
        if (entry != nullptr && parsed) {
            update_from_caller(state, *entry, *parsed, now, effects);
            if (packet.origin == state.options.local) {
                expect_answer(state, *entry, *parsed, hash, now);
            }
        }
        // If the table has no room, the packet is still delivered, and the flow's next packet is resolved
        // again.
        deliver(state, *target, entry == nullptr ? found : entry->upstream, packet.origin, {},
                std::move(packet.inner), now, effects);
    }
}

bool consume_probe_answer(steering_state& state, const upstream_packet& event, upstream_id source,
                          steering_time now, steering_effects& effects) {
    if (state.resolutions.empty() || !event.packet.payload.empty()) {
        return false;
    }
    const auto found = state.resolutions.find(event.hash);
    if (found == state.resolutions.end() || found->second.probes_sent == 0 ||
        found->second.flow != flow_from_upstream(event.packet)) {
        return false;
    }
    effects.drops.push_back(drop_reason::probe_answer);
    auto& pending = found->second;
    if ((event.packet.tcp_flags & tcp_flag::rst) == 0) {
        finish_resolution(state, event.hash, source, placement_reason::learned_from_probe, now, effects);
        return true;
    }
    if (std::ranges::find(pending.refusing_upstreams, source) == pending.refusing_upstreams.end()) {
        pending.refusing_upstreams.push_back(source);
    }
    const bool all_refused = std::ranges::all_of(pending.probed_upstreams, [&pending](upstream_id id) {
        return std::ranges::find(pending.refusing_upstreams, id) != pending.refusing_upstreams.end();
    });
    if (all_refused) {
        fail_resolution(state, event.hash, now, effects);
    }
    return true;
}

namespace {

/// Relays the packet to the next peer, or continues without peers if all of them were asked.
void ask_next_peer(steering_state& state, std::uint64_t hash, const ip_address& origin,
                   std::span<const std::byte> inner, std::vector<std::byte> owned_inner, steering_time now,
                   steering_effects& effects) {
    auto& pending = state.resolutions.at(hash);
    ++pending.current_peer_index;
    if (pending.current_peer_index >= pending.peers.size()) {
        continue_without_peers(state, hash, now, effects);
        return;
    }
    pending.next_step_at = now.mono + peer_answer_timeout;
    send_relay(state, pending.peers[pending.current_peer_index],
               {.kind = relay_kind::ask_peer, .origin = origin}, inner, std::move(owned_inner), effects);
}

}  // namespace

void on_not_known(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& effects) {
    const auto id = make_flow_id(flow_from_caller(event.packet), target.id, event.hash);
    if (const auto* entry = state.flows.find(id)) {
        deliver(state, target, entry->upstream, event.header.origin, event.inner, {}, now, effects);
        return;
    }
    const auto found = state.resolutions.find(event.hash);
    if (found == state.resolutions.end() || found->second.flow != flow_from_caller(event.packet)) {
        effects.drops.push_back(drop_reason::late_answer);
        return;
    }
    auto& pending = found->second;
    // Neither the return of a later packet of the flow nor an answer after the timeout advances the
    // resolution. The copy of the packet that is held here reaches the upstream when the flow is found.
    const bool current = pending.current_peer_index < pending.peers.size() &&
                         pending.peers[pending.current_peer_index] == event.sender;
    if (current) {
        ask_next_peer(state, event.hash, event.header.origin, event.inner, {}, now, effects);
    }
}

void advance_resolutions(steering_state& state, steering_time now, steering_effects& effects) {
    std::vector<std::uint64_t> due_hashes;
    for (const auto& [hash, pending] : state.resolutions) {
        if (pending.next_step_at <= now.mono) {
            due_hashes.push_back(hash);
        }
    }
    std::ranges::sort(due_hashes);
    for (const auto hash : due_hashes) {
        auto& pending = state.resolutions.at(hash);
        if (pending.probes_sent == 0) {
            const auto copy = pending.held_packets.front();
            ask_next_peer(state, hash, copy.origin, {}, copy.inner, now, effects);
        } else if (pending.deadline <= now.mono) {
            fail_resolution(state, hash, now, effects);
        } else if (pending.probes_sent < max_probes) {
            send_probes(state, pending, now, effects);
        }
    }
}

}  // namespace guavaramp::steering_detail
