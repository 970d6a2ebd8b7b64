#include "steering_internal.hpp"

#include <guavaramp/base/hash.hpp>

#include <algorithm>

namespace guavaramp::steering_detail {
namespace {

// A peer answers within some milliseconds, but a burst of unknown flows queues its answers. After the restart
// of one of 3 daemons with 20,000 flows, 12 and 158 flows were probed in vain with 25 ms, 8 and 7 with 50 ms.
// Callers retransmit after 200 ms.
constexpr auto peer_answer_timeout = milliseconds{50};
constexpr auto probe_period = milliseconds{100};
constexpr auto probe_deadline = milliseconds{400};
constexpr std::uint8_t most_probes = 3;
constexpr std::size_t most_held_packets = 4;
// Other daemons learn of a membership change within this time, so until then two owners may exist.
constexpr auto membership_settling = seconds{3};
// An unknown UDP flow cannot be probed, so previous owners are asked for as long as a caller may be quiet.
constexpr auto udp_settling = seconds{60};
// A flow's packets pass several daemons, so after a crash of its owner one of the next two mostly knows it.
constexpr std::size_t most_peers_asked = 2;

std::vector<ip_address> peers_to_ask(const steering_state& state, std::uint64_t hash) {
    std::vector<std::pair<std::uint64_t, ip_address>> order;
    for (const auto& peer : state.peers) {
        if (peer.address != state.options.local) {
            order.emplace_back(mix_hashes(peer.key, hash), peer.address);
        }
    }
    std::ranges::sort(order, std::greater{});
    order.resize(std::min(order.size(), most_peers_asked));
    std::vector<ip_address> addresses;
    addresses.reserve(order.size());
    for (const auto& [score, address] : order) {
        addresses.push_back(address);
    }
    return addresses;
}

/// Whether another daemon may have placed a flow that seems new here.
bool may_be_placed_elsewhere(const steering_state& state, const ip_packet& packet, std::uint64_t hash,
                             steering_time now) {
    const auto settling = packet.protocol == transport::udp ? udp_settling : membership_settling;
    const auto* owner = first_owner(state, hash, std::nullopt);
    const bool bypassed = owner != nullptr && owner->address != state.options.local;
    return bypassed || now.mono - state.membership_changed < settling;
}

/// Passes the packet on to the peer that is being asked, which returns it. The copy held here is for a peer
/// that does not answer, and for probing.
void continue_resolution(steering_state& state, resolution& pending, std::span<const std::byte> inner,
                         const ip_address& origin, steering_effects& out) {
    const bool asking = pending.peers_tried < pending.peers.size();
    if (pending.held.size() < most_held_packets) {
        pending.held.push_back({.origin = origin, .inner = {inner.begin(), inner.end()}});
    } else if (!asking) {
        out.drops.push_back(drop_reason::resolution_held_full);
    }
    if (asking) {
        relay_to(state, pending.peers[pending.peers_tried], {.kind = relay_kind::ask_peer, .origin = origin},
                 inner, {}, out);
    }
}

void send_probes(steering_state& state, resolution& pending, steering_time now, steering_effects& out) {
    const auto* target = state.config->find_service(pending.service);
    ++pending.probes_sent;
    pending.next_step = now.mono + probe_period;
    pending.probed.clear();
    if (target == nullptr) {
        return;
    }
    for (const auto& host : target->upstreams) {
        if (usable_upstream(state, target->id, host.id, now) == nullptr) {
            continue;
        }
        pending.probed.push_back(host.id);
        if (std::ranges::find(pending.refused, host.id) != pending.refused.end()) {
            continue;
        }
        // A keep-alive segment (RFC 1122 section 4.2.3.6): one before the next sequence number, no data.
        out.sends.push_back({.kind = send_kind::probe,
                             .destination = host.packet_address,
                             .built = build_segment(pending.flow.caller, pending.flow.service, tcp_flag::ack,
                                                    pending.sequence - 1, pending.acknowledgment)});
    }
}

void start_probing(steering_state& state, std::uint64_t hash, steering_time now, steering_effects& out) {
    auto& pending = state.resolving.at(hash);
    if (!take_tokens(state.probe_tokens, 1.0, now.mono)) {
        out.drops.insert(out.drops.end(), pending.held.size(), drop_reason::resolution_limit);
        state.resolving.erase(hash);
        return;
    }
    pending.deadline = now.mono + probe_deadline;
    send_probes(state, pending, now, out);
}

void finish_not_found(steering_state& state, std::uint64_t hash, steering_time now, steering_effects& out) {
    const auto found = state.resolving.find(hash);
    const resolution pending = std::move(found->second);
    state.resolving.erase(found);
    out.drops.insert(out.drops.end(), pending.held.size(), drop_reason::flow_not_found);
    if (pending.ends) {
        return;
    }
    reset_caller(state, pending.flow, pending.acknowledgment, pending.sequence, out);
    const auto* owner = first_owner(state, hash, std::nullopt);
    out.ended.push_back({.flow = pending.flow,
                         .service = pending.service,
                         .reason = placement_reason::learned_from_probe,
                         .revision = state.config->revision(),
                         .owner = owner == nullptr ? state.options.local : owner->address,
                         .first_seen = now.wall,
                         .last_from_caller = now.wall,
                         .end = flow_end::not_found,
                         .ended_at = now.wall});
}

/// An unknown UDP flow may be an old one that cannot be probed, so it takes the first candidate, which other
/// owners would choose as well; a planned stop hands over the rest.
placement_choice choose_for(steering_state& state, const ip_packet& packet, const service& target,
                            std::uint64_t hash, steering_time now) {
    if (packet.protocol == transport::udp) {
        return {.host = find_candidates(state.placement, target, hash, now).first};
    }
    return choose_upstream(state.placement, target, hash, now);
}

/// No peer knows the flow: a new one is placed, another one probed.
void after_peers(steering_state& state, std::uint64_t hash, steering_time now, steering_effects& out) {
    auto& pending = state.resolving.at(hash);
    if (!pending.new_flow) {
        start_probing(state, hash, now, out);
        return;
    }
    const resolution done = std::move(pending);
    state.resolving.erase(hash);
    const auto* target = state.config->find_service(done.service);
    for (const auto& packet : done.held) {
        const auto parsed = parse_ip_packet(packet.inner);
        if (target == nullptr || !parsed) {
            out.drops.push_back(drop_reason::undeclared_service);
            continue;
        }
        place(state, packet.inner, *parsed, hash, *target, packet.origin, true, now, out);
    }
}

}  // namespace

void resolve(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
             std::uint64_t hash, const service& target, const ip_address& origin, steering_time now,
             steering_effects& out) {
    const auto flow = flow_from_caller(packet);
    if (const auto found = state.resolving.find(hash); found != state.resolving.end()) {
        if (found->second.flow != flow) {
            out.drops.push_back(drop_reason::resolution_limit);
            return;
        }
        continue_resolution(state, found->second, inner, origin, out);
        return;
    }
    const bool new_flow = may_open(packet);
    auto peers = peers_to_ask(state, hash);
    if (new_flow && (peers.empty() || !may_be_placed_elsewhere(state, packet, hash, now))) {
        place(state, inner, packet, hash, target, origin, false, now, out);
        return;
    }
    if (state.resolving.size() >= state.options.max_resolving) {
        out.drops.push_back(drop_reason::resolution_limit);
        return;
    }
    ++state.totals.resolutions;
    auto& pending = state.resolving[hash];
    pending.flow = flow;
    pending.service = target.id;
    pending.new_flow = new_flow;
    pending.ends = (packet.tcp_flags & (tcp_flag::fin | tcp_flag::rst)) != 0;
    pending.sequence = packet.sequence;
    pending.acknowledgment = packet.acknowledgment;
    pending.peers = std::move(peers);
    pending.next_step = now.mono + peer_answer_timeout;
    continue_resolution(state, pending, inner, origin, out);
    if (pending.peers.empty()) {
        start_probing(state, hash, now, out);
    }
}

void place(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
           std::uint64_t hash, const service& target, const ip_address& origin, bool copy, steering_time now,
           steering_effects& out) {
    const auto id = id_of(flow_from_caller(packet), target.id, hash);
    auto* entry = state.flows.find(id);
    if (entry == nullptr && state.refreshing) {
        out.drops.push_back(drop_reason::refreshing);
        return;
    }
    if (entry == nullptr) {
        const auto choice = choose_for(state, packet, target, hash, now);
        if (choice.host == nullptr) {
            out.drops.push_back(drop_reason::no_active_upstream);
            return;
        }
        const auto reason =
            choice.less_loaded ? placement_reason::less_loaded : placement_reason::first_candidate;
        entry = add_flow(state, id, choice.host->id, reason, flow_flag::owned, now);
        if (entry == nullptr) {
            out.drops.push_back(drop_reason::table_full);
            return;
        }
        ++state.totals.placed;
    }
    touch_from_caller(state, *entry, packet, now, out);
    if (origin == state.options.local) {
        expect_answer(state, *entry, packet, hash, now);
    }
    std::vector<std::byte> built;
    if (copy) {
        built.assign(inner.begin(), inner.end());
    }
    deliver(state, target, entry->upstream, origin, inner, std::move(built), now, out);
}

void finish_found(steering_state& state, std::uint64_t hash, upstream_id found, placement_reason reason,
                  steering_time now, steering_effects& out) {
    const auto position = state.resolving.find(hash);
    resolution done = std::move(position->second);
    state.resolving.erase(position);
    const auto* target = state.config->find_service(done.service);
    if (target == nullptr) {
        out.drops.insert(out.drops.end(), done.held.size(), drop_reason::undeclared_service);
        return;
    }
    const auto id = id_of(done.flow, done.service, hash);
    auto* entry = state.flows.find(id);
    if (entry == nullptr) {
        entry = add_flow(state, id, found, reason, flow_flag::owned, now);
    }
    for (auto& packet : done.held) {
        const auto parsed = parse_ip_packet(packet.inner);
        if (entry != nullptr && parsed) {
            touch_from_caller(state, *entry, *parsed, now, out);
            if (packet.origin == state.options.local) {
                expect_answer(state, *entry, *parsed, hash, now);
            }
        }
        // Without room in the table an open flow is still forwarded; its next packet is resolved again.
        deliver(state, *target, entry == nullptr ? found : entry->upstream, packet.origin, {},
                std::move(packet.inner), now, out);
    }
}

bool consume_probe_answer(steering_state& state, const upstream_packet& event, upstream_id source,
                          steering_time now, steering_effects& out) {
    if (state.resolving.empty() || !event.packet.payload.empty()) {
        return false;
    }
    const auto found = state.resolving.find(event.hash);
    if (found == state.resolving.end() || found->second.probes_sent == 0 ||
        found->second.flow != flow_from_upstream(event.packet)) {
        return false;
    }
    out.drops.push_back(drop_reason::probe_answer);
    auto& pending = found->second;
    if ((event.packet.tcp_flags & tcp_flag::rst) == 0) {
        finish_found(state, event.hash, source, placement_reason::learned_from_probe, now, out);
        return true;
    }
    if (std::ranges::find(pending.refused, source) == pending.refused.end()) {
        pending.refused.push_back(source);
    }
    const bool all_refused = std::ranges::all_of(pending.probed, [&pending](upstream_id id) {
        return std::ranges::find(pending.refused, id) != pending.refused.end();
    });
    if (all_refused) {
        finish_not_found(state, event.hash, now, out);
    }
    return true;
}

namespace {

/// Asks the next peer with the packet, or goes on without peers when all were asked.
void ask_next_peer(steering_state& state, std::uint64_t hash, const ip_address& origin,
                   std::span<const std::byte> inner, std::vector<std::byte> built, steering_time now,
                   steering_effects& out) {
    auto& pending = state.resolving.at(hash);
    ++pending.peers_tried;
    if (pending.peers_tried >= pending.peers.size()) {
        after_peers(state, hash, now, out);
        return;
    }
    pending.next_step = now.mono + peer_answer_timeout;
    relay_to(state, pending.peers[pending.peers_tried], {.kind = relay_kind::ask_peer, .origin = origin},
             inner, std::move(built), out);
}

}  // namespace

void peer_does_not_know(steering_state& state, const relay_packet& event, const service& target,
                        steering_time now, steering_effects& out) {
    const auto id = id_of(flow_from_caller(event.packet), target.id, event.hash);
    if (const auto* entry = state.flows.find(id)) {
        deliver(state, target, entry->upstream, event.header.origin, event.inner, {}, now, out);
        return;
    }
    const auto found = state.resolving.find(event.hash);
    if (found == state.resolving.end() || found->second.flow != flow_from_caller(event.packet)) {
        out.drops.push_back(drop_reason::late_answer);
        return;
    }
    auto& pending = found->second;
    // A later packet of the flow, or an answer after the timeout, does not move the resolution on. The copy
    // that is held here reaches the upstream when the flow is found.
    const bool current =
        pending.peers_tried < pending.peers.size() && pending.peers[pending.peers_tried] == event.sender;
    if (current) {
        ask_next_peer(state, event.hash, event.header.origin, event.inner, {}, now, out);
    }
}

void step_resolutions(steering_state& state, steering_time now, steering_effects& out) {
    std::vector<std::uint64_t> due;
    for (const auto& [hash, pending] : state.resolving) {
        if (pending.next_step <= now.mono) {
            due.push_back(hash);
        }
    }
    std::ranges::sort(due);
    for (const auto hash : due) {
        auto& pending = state.resolving.at(hash);
        if (pending.probes_sent == 0) {
            const auto copy = pending.held.front();
            ask_next_peer(state, hash, copy.origin, {}, copy.inner, now, out);
        } else if (pending.deadline <= now.mono) {
            finish_not_found(state, hash, now, out);
        } else if (pending.probes_sent < most_probes) {
            send_probes(state, pending, now, out);
        }
    }
}

}  // namespace guavaramp::steering_detail
