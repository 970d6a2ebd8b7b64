#include "steering_internal.hpp"

#include <guavaramp/base/hash.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

using namespace steering_detail;

constexpr std::size_t max_segment_size = 128;
constexpr std::uint8_t max_hops = 3;
// A peer is bypassed as owner if it has left at least this many relayed packets unanswered for at least this
// time.
constexpr std::uint32_t bypass_unanswered_relays = 3;
constexpr auto bypass_unanswered_time = milliseconds{150};
constexpr auto bypass_duration = seconds{1};
// A latency sample that has had no answer for this time may be replaced, since the answer went through
// another entry VM.
constexpr auto max_latency_sample_age = seconds{10};
constexpr std::uint8_t max_relayed_packets = 7;
// A caller may reuse a port after TIME-WAIT (30 s or more), so the entry of a flow that was opened or
// answered within the last 5 s is current.
constexpr flow_tick max_unconfirmed_age = 5 * 1000 / flow_tick_ms;

constexpr std::array<const char*, static_cast<std::size_t>(drop_reason::count_)> drop_names{
    "malformed",
    "no_configuration",
    "undeclared_service",
    "not_an_upstream",
    "other_upstream",
    "no_active_upstream",
    "table_full",
    "resolution_limit",
    "resolution_held_full",
    "flow_not_found",
    "upstream_removed",
    "unknown_upstream",
    "wrong_service",
    "unauthenticated",
    "replayed",
    "too_many_hops",
    "late_answer",
    "probe_answer",
    "reset_of_unknown_flow",
    "unconfirmed_reset",
    "refreshing"};

/// Returns whether `packet` is a SYN with which the caller reuses the port of an earlier flow, while that
/// flow's upstream accepts no new flows.
bool needs_new_placement(const steering_state& state, const flow_entry& entry, const ip_packet& packet,
                         steering_time now) {
    if (!is_syn(packet)) {
        return false;
    }
    const bool is_retransmission = entry.next_sequence == packet.sequence + 1;
    const auto* host = usable_upstream(state, entry.service, entry.upstream, now);
    return !is_retransmission && (host == nullptr || state_at(*host, now.wall) != upstream_state::active);
}

/// Returns the flow's entry, or null if there is none. An entry that the packet replaces by a new flow with
/// the same key is erased.
flow_entry* find_current_entry(steering_state& state, const flow_id& id, const ip_packet& packet,
                               steering_time now) {
    auto* entry = state.flows.find(id);
    if (entry != nullptr && needs_new_placement(state, *entry, packet, now)) {
        state.flows.erase(*entry);
        return nullptr;
    }
    return entry;
}

/// Returns the owner of a flow, without the peers that are bypassed. Starts to bypass peers that have stopped
/// answering.
const steering_peer* choose_owner(steering_state& state, std::uint64_t hash, steering_time now) {
    for (auto& peer : state.peers) {
        const bool is_unresponsive = peer.unanswered_relays >= bypass_unanswered_relays &&
                                     now.mono - peer.first_unanswered_at >= bypass_unanswered_time;
        if (is_unresponsive && peer.address != state.options.local) {
            peer.bypassed_until = now.mono + bypass_duration;
            peer.unanswered_relays = 0;
            ++state.totals.owner_bypasses;
        }
    }
    return find_owner(state, hash, now.mono);
}

void count_unanswered_relay(steering_state& state, const ip_address& owner, steering_time now) {
    const auto peer = std::ranges::find(state.peers, owner, &steering_peer::address);
    if (peer == state.peers.end()) {
        return;
    }
    if (peer->unanswered_relays++ == 0) {
        peer->first_unanswered_at = now.mono;
    }
}

/// Handles a caller's packet of an unknown flow: resolves the flow if this daemon is its owner, and otherwise
/// relays the packet to the owner.
void steer_unknown_flow(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
                        std::uint64_t hash, const service& target, steering_time now,
                        steering_effects& effects) {
    const auto* owner = choose_owner(state, hash, now);
    const auto& local = state.options.local;
    if (owner == nullptr || owner->address == local) {
        resolve(state, inner, packet, hash, target, local, now, effects);
        return;
    }
    const auto address = owner->address;
    send_relay(state, address, {.kind = relay_kind::ask_owner, .origin = local}, inner, {}, effects);
    count_unanswered_relay(state, address, now);
}

void count_relayed_packet(flow_entry& entry) {
    if (entry.relayed_packets < max_relayed_packets) {
        entry.relayed_packets = static_cast<std::uint8_t>((entry.relayed_packets + 1) & max_relayed_packets);
    }
}

/// Returns whether a peer named an upstream that this daemon may use for the service. Otherwise it adds the
/// reason for dropping the packet to `effects`.
bool accept_upstream(const steering_state& state, const relay_packet& event, const service& target,
                     steering_time now, steering_effects& effects) {
    const auto ref = state.config->find_upstream(event.header.upstream);
    if (ref.host == nullptr) {
        effects.drops.push_back(drop_reason::unknown_upstream);
        if (event.header.revision > state.config->revision()) {
            effects.peers_with_newer_config.push_back(event.sender);
        }
        return false;
    }
    if (ref.owner->id != target.id) {
        effects.drops.push_back(drop_reason::wrong_service);
        return false;
    }
    if (usable_upstream(state, target.id, ref.host->id, now) == nullptr) {
        effects.drops.push_back(drop_reason::upstream_removed);
        return false;
    }
    return true;
}

void on_ask_owner(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& effects) {
    const auto id = make_flow_id(flow_from_caller(event.packet), target.id, event.hash);
    if (auto* entry = find_current_entry(state, id, event.packet, now)) {
        entry->flags |= flow_flag::owned;
        count_relayed_packet(*entry);
        update_from_caller(state, *entry, event.packet, now, effects);
        deliver(state, target, entry->upstream, event.header.origin, event.inner, {}, now, effects);
        return;
    }
    const auto* owner = state.leaving ? choose_owner(state, event.hash, now) : nullptr;
    if (owner == nullptr || owner->address == state.options.local) {
        resolve(state, event.inner, event.packet, event.hash, target, event.header.origin, now, effects);
        return;
    }
    if (event.header.hops >= max_hops) {
        effects.drops.push_back(drop_reason::too_many_hops);
        return;
    }
    auto header = event.header;
    ++header.hops;
    send_relay(state, owner->address, header, event.inner, {}, effects);
}

void on_answer(steering_state& state, const relay_packet& event, const service& target, steering_time now,
               steering_effects& effects) {
    if (!accept_upstream(state, event, target, now, effects)) {
        return;
    }
    const auto id = make_flow_id(flow_from_caller(event.packet), target.id, event.hash);
    auto* entry = find_current_entry(state, id, event.packet, now);
    if (entry == nullptr) {
        entry = add_flow(state, id, event.header.upstream, placement_reason::learned_from_owner, 0, now);
    }
    if (entry != nullptr) {
        count_relayed_packet(*entry);
        update_from_caller(state, *entry, event.packet, now, effects);
        expect_answer(state, *entry, event.packet, event.hash, now);
    }
    // If the table has no room, the packet still reaches its upstream, and the flow's next packet is relayed
    // again.
    const auto chosen = entry == nullptr ? event.header.upstream : entry->upstream;
    deliver(state, target, chosen, state.options.local, event.inner, {}, now, effects);
}

void on_ask_peer(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                 steering_effects& effects) {
    const auto id = make_flow_id(flow_from_caller(event.packet), target.id, event.hash);
    relay_header header{.kind = relay_kind::not_known, .origin = event.header.origin};
    if (auto* entry = find_current_entry(state, id, event.packet, now);
        entry != nullptr && usable_upstream(state, target.id, entry->upstream, now) != nullptr) {
        // The asking daemon owns the flow from now on, so the local entry may be replaced when the table is
        // full.
        entry->flags &= static_cast<std::uint8_t>(~flow_flag::owned);
        header.kind = relay_kind::known;
        header.upstream = entry->upstream;
    }
    send_relay(state, event.sender, header, event.inner, {}, effects);
}

/// Handles `known`: a peer returned the packet of `ask_peer` and named its upstream. Several packets of one
/// flow may be in flight to peers. The first one that returns ends the resolution and discards the held
/// copies, since each packet returns by itself.
void on_known(steering_state& state, const relay_packet& event, const service& target, steering_time now,
              steering_effects& effects) {
    if (!accept_upstream(state, event, target, now, effects)) {
        return;
    }
    const auto flow = flow_from_caller(event.packet);
    if (const auto found = state.resolutions.find(event.hash);
        found != state.resolutions.end() && found->second.flow == flow) {
        state.resolutions.erase(found);
    }
    const auto id = make_flow_id(flow, target.id, event.hash);
    auto* entry = find_current_entry(state, id, event.packet, now);
    if (entry == nullptr) {
        entry = add_flow(state, id, event.header.upstream, placement_reason::learned_from_peer,
                         flow_flag::owned, now);
    }
    if (entry != nullptr) {
        update_from_caller(state, *entry, event.packet, now, effects);
        if (event.header.origin == state.options.local) {
            expect_answer(state, *entry, event.packet, event.hash, now);
        }
    }
    // If the table has no room, the packet still reaches its upstream, and the flow's next packet is resolved
    // again.
    const auto chosen = entry == nullptr ? event.header.upstream : entry->upstream;
    deliver(state, target, chosen, event.header.origin, event.inner, {}, now, effects);
}

void on_hand_over(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& effects) {
    if (!accept_upstream(state, event, target, now, effects)) {
        return;
    }
    const auto id = make_flow_id(flow_from_caller(event.packet), target.id, event.hash);
    if (state.flows.find(id) == nullptr) {
        add_flow(state, id, event.header.upstream, placement_reason::handed_over, flow_flag::owned, now);
    }
}

bool is_syn_ack(const ip_packet& packet) noexcept {
    constexpr std::uint8_t both = tcp_flag::syn | tcp_flag::ack;
    return packet.protocol == transport::tcp && (packet.tcp_flags & both) == both;
}

/// Returns whether a RST may be due to an outdated entry. A host answers a packet of an unknown connection
/// with RST and without ACK (RFC 9293 section 3.10.7.1). If this daemon has seen no packet from the flow's
/// upstream for a while, the caller may have reused its port, and the new flow may have another upstream.
bool may_be_outdated(const steering_state& state, const flow_entry& entry, const ip_packet& packet,
                     steering_time now) {
    const bool unknown_to_host = (packet.tcp_flags & (tcp_flag::rst | tcp_flag::ack)) == tcp_flag::rst;
    const auto last_heard = std::max(entry.first_seen, entry.last_from_upstream);
    return unknown_to_host && entry.unanswered_probes == 0 && (entry.flags & flow_flag::ended) == 0 &&
           tick_at(state, now) - last_heard > max_unconfirmed_age;
}

/// Ends the flow's latency sample and returns the measured time in milliseconds. Returns nothing if the
/// packet does not answer the timed packet.
std::optional<double> take_latency(steering_state& state, const upstream_packet& event,
                                   const flow_entry& entry, steering_time now) {
    auto& sample = state.latency_samples[event.hash % state.latency_samples.size()];
    const bool answers = !event.packet.payload.empty() || is_syn_ack(event.packet);
    if (!answers || sample.hash != event.hash) {
        return std::nullopt;
    }
    sample.hash = 0;
    // An answer that does not acknowledge exactly the timed packet belongs to another packet.
    if (event.packet.protocol == transport::tcp && event.packet.acknowledgment != entry.next_sequence) {
        return std::nullopt;
    }
    return std::chrono::duration<double, std::milli>(now.mono - sample.sent_at).count();
}

/// Updates a TCP flow's state from the RST and FIN flags of a packet from its upstream.
void apply_upstream_flags(steering_state& state, flow_entry& entry, const ip_packet& packet,
                          steering_time now, steering_effects& effects) {
    if ((entry.flags & flow_flag::ended) != 0 || packet.protocol == transport::udp) {
        return;
    }
    if ((packet.tcp_flags & tcp_flag::rst) != 0) {
        const bool lost = entry.unanswered_probes != 0 && (entry.flags & flow_flag::opening) == 0;
        report_flow_end(state, entry, lost ? flow_end::lost_at_upstream : flow_end::reset_by_upstream, now,
                        effects);
        entry.flags |= flow_flag::ended;
    } else if ((packet.tcp_flags & tcp_flag::fin) != 0) {
        entry.flags |= flow_flag::fin_upstream;
        if ((entry.flags & flow_flag::fin_caller) != 0) {
            entry.flags |= flow_flag::ended;
            report_flow_end(state, entry, flow_end::closed, now, effects);
        }
    }
}

/// Starts to measure the time until the answer to `packet`, unless it is a retransmission.
void start_latency_sample(steering_state& state, const flow_entry& entry, const ip_packet& packet,
                          std::uint64_t hash, steering_time now) {
    auto& sample = state.latency_samples[hash % state.latency_samples.size()];
    const bool is_retransmission =
        packet.protocol == transport::tcp && (entry.flags & flow_flag::unanswered) != 0;
    if (sample.hash == hash) {
        // If a second packet is sent before the answer, it is ambiguous which of the two is answered (Karn
        // and Partridge, 1987), so the sample is discarded.
        sample.hash = 0;
    } else if (!is_retransmission &&
               (sample.hash == 0 || now.mono - sample.sent_at > max_latency_sample_age)) {
        sample = {.hash = hash, .sent_at = now.mono};
    }
}

/// Updates a TCP flow's sequence numbers and state from a segment of its caller.
void apply_caller_segment(steering_state& state, flow_entry& entry, const ip_packet& packet,
                          steering_time now, steering_effects& effects) {
    const auto end = packet.sequence + sequence_length(packet);
    if (is_syn(packet)) {
        if (entry.next_sequence != end) {
            entry.flags &= flow_flag::owned;
            entry.unanswered_probes = 0;
        }
        entry.next_sequence = end;
        return;
    }
    const bool first = entry.next_sequence == 0 || (entry.flags & flow_flag::opening) != 0;
    entry.flags &= static_cast<std::uint8_t>(~flow_flag::opening);
    if (first || static_cast<std::int32_t>(end - entry.next_sequence) > 0) {
        entry.next_sequence = end;
    }
    entry.acknowledgment = packet.acknowledgment;
    if ((entry.flags & flow_flag::ended) != 0) {
        return;
    }
    if ((packet.tcp_flags & tcp_flag::rst) != 0) {
        entry.flags |= flow_flag::ended;
        report_flow_end(state, entry, flow_end::reset_by_caller, now, effects);
    } else if ((packet.tcp_flags & tcp_flag::fin) != 0) {
        entry.flags |= flow_flag::fin_caller;
        if ((entry.flags & flow_flag::fin_upstream) != 0) {
            entry.flags |= flow_flag::ended;
            report_flow_end(state, entry, flow_end::closed, now, effects);
        }
    }
}

}  // namespace

const char* to_string(drop_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < drop_names.size() ? drop_names[index] : "unknown";
}

namespace steering_detail {

void report_flow_end(const steering_state& state, const flow_entry& entry, flow_end end, steering_time now,
                     steering_effects& effects) {
    auto record = make_flow_record(state, entry, now);
    record.end = end;
    record.ended_at = now.wall;
    effects.ended.push_back(record);
}

std::vector<std::byte> build_segment(const endpoint& source, const endpoint& destination, std::uint8_t flags,
                                     std::uint32_t sequence, std::uint32_t acknowledgment) {
    std::vector<std::byte> bytes(max_segment_size);
    bytes.resize(build_ip_packet({.source = source,
                                  .destination = destination,
                                  .protocol = transport::tcp,
                                  .tcp_flags = flags,
                                  .sequence = sequence,
                                  .acknowledgment = acknowledgment},
                                 bytes));
    return bytes;
}

std::vector<std::byte> build_headers(const ip_packet& packet) {
    std::vector<std::byte> bytes(max_segment_size);
    auto headers = packet;
    headers.payload = {};
    bytes.resize(build_ip_packet(headers, bytes));
    return bytes;
}

void reset_caller(const steering_state& state, const flow_key& flow, std::uint32_t sequence,
                  std::uint32_t acknowledgment, steering_effects& effects) {
    if (flow.protocol != transport::tcp) {
        return;
    }
    effects.sends.push_back(
        {.kind = send_kind::reset_caller,
         .destination = state.options.egress,
         .owned_inner = build_segment(flow.service, flow.caller, tcp_flag::rst | tcp_flag::ack, sequence,
                                      acknowledgment)});
}

flow_entry* add_flow(steering_state& state, const flow_id& id, upstream_id chosen, placement_reason reason,
                     std::uint8_t flags, steering_time now) {
    const auto added = state.flows.insert(id, flags);
    if (added.entry == nullptr) {
        ++state.totals.refused_flows;
        return nullptr;
    }
    if (added.outcome == insert_outcome::replaced_cached) {
        ++state.totals.evicted_cached_flows;
    }
    added.entry->upstream = chosen;
    added.entry->reason = static_cast<std::uint8_t>(reason) & 0x7U;
    added.entry->first_seen = tick_at(state, now);
    added.entry->last_from_caller = added.entry->first_seen;
    added.entry->revision = static_cast<std::uint16_t>(static_cast<std::uint64_t>(state.config->revision()));
    return added.entry;
}

void update_from_caller(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                        steering_effects& effects) {
    entry.last_from_caller = tick_at(state, now);
    if (packet.protocol == transport::tcp) {
        apply_caller_segment(state, entry, packet, now, effects);
    }
}

void expect_answer(steering_state& state, flow_entry& entry, const ip_packet& packet, std::uint64_t hash,
                   steering_time now) {
    if (!packet.payload.empty() || is_syn(packet)) {
        start_latency_sample(state, entry, packet, hash, now);
    }
    if (packet.protocol == transport::udp) {
        return;
    }
    if (is_syn(packet)) {
        entry.flags |= flow_flag::opening;
    }
    if (sequence_length(packet) != 0 && (entry.flags & flow_flag::unanswered) == 0) {
        entry.unanswered_since = static_cast<std::uint16_t>(entry.last_from_caller);
        entry.flags |= flow_flag::unanswered;
    }
}

void send_relay(steering_state& state, const ip_address& peer, const relay_header& header,
                std::span<const std::byte> inner, std::vector<std::byte> owned_inner,
                steering_effects& effects) {
    auto stamped = header;
    stamped.revision = state.config->revision();
    ++state.totals.sent_relays;
    effects.sends.push_back({.kind = send_kind::relay,
                             .destination = {.address = peer, .port = state.options.relay_port},
                             .relay = stamped,
                             .inner = inner,
                             .owned_inner = std::move(owned_inner)});
}

void deliver(steering_state& state, const service& target, upstream_id chosen, const ip_address& origin,
             std::span<const std::byte> inner, std::vector<std::byte> owned_inner, steering_time now,
             steering_effects& effects) {
    const auto* host = usable_upstream(state, target.id, chosen, now);
    if (host == nullptr) {
        effects.drops.push_back(drop_reason::upstream_removed);
        return;
    }
    if (origin != state.options.local) {
        send_relay(state, origin, {.kind = relay_kind::answer, .origin = origin, .upstream = chosen}, inner,
                   std::move(owned_inner), effects);
        return;
    }
    effects.sends.push_back({.kind = send_kind::to_upstream,
                             .destination = host->packet_address,
                             .inner = inner,
                             .owned_inner = std::move(owned_inner)});
}

}  // namespace steering_detail

void apply(steering_state& state, const caller_packet& event, steering_time now, steering_effects& effects) {
    if (!state.config) {
        effects.drops.push_back(drop_reason::no_configuration);
        return;
    }
    const auto* target = state.config->find_service(event.packet.destination, event.packet.protocol);
    if (target == nullptr) {
        effects.drops.push_back(drop_reason::undeclared_service);
        return;
    }
    const auto flow = flow_from_caller(event.packet);
    const auto id = make_flow_id(flow, target->id, event.hash);
    auto* entry = find_current_entry(state, id, event.packet, now);
    if (entry == nullptr) {
        steer_unknown_flow(state, event.inner, event.packet, event.hash, *target, now, effects);
        return;
    }
    update_from_caller(state, *entry, event.packet, now, effects);
    expect_answer(state, *entry, event.packet, event.hash, now);
    const auto* host = usable_upstream(state, target->id, entry->upstream, now);
    if (host != nullptr) {
        effects.sends.push_back(
            {.kind = send_kind::to_upstream, .destination = host->packet_address, .inner = event.inner});
        return;
    }
    effects.drops.push_back(drop_reason::upstream_removed);
    if ((entry->flags & flow_flag::ended) == 0) {
        report_flow_end(state, *entry, flow_end::upstream_removed, now, effects);
        reset_caller(state, flow, entry->acknowledgment, entry->next_sequence, effects);
    }
    state.flows.erase(*entry);
}

void apply(steering_state& state, const upstream_packet& event, steering_time now,
           steering_effects& effects) {
    const auto* target =
        state.config ? state.config->find_service(event.packet.source, event.packet.protocol) : nullptr;
    if (target == nullptr) {
        effects.drops.push_back(state.config ? drop_reason::undeclared_service
                                             : drop_reason::no_configuration);
        return;
    }
    const auto host = std::ranges::find(target->upstreams, event.source, &upstream::packet_address);
    if (host == target->upstreams.end()) {
        effects.drops.push_back(drop_reason::not_an_upstream);
        return;
    }
    const auto flow = flow_from_upstream(event.packet);
    auto* entry = state.flows.find(make_flow_id(flow, target->id, event.hash));
    const auto source =
        entry != nullptr && usable_upstream(state, target->id, entry->upstream, now) != nullptr &&
                state.config->find_upstream(entry->upstream).host->packet_address == event.source
            ? entry->upstream
            : host->id;
    if (consume_probe_answer(state, event, source, now, effects)) {
        observe_answer(state.placement, source, std::nullopt, now.mono);
        return;
    }
    const bool reset = (event.packet.tcp_flags & tcp_flag::rst) != 0;
    if (entry == nullptr && reset) {
        effects.drops.push_back(drop_reason::reset_of_unknown_flow);
        return;
    }
    if (entry != nullptr && entry->upstream != source) {
        effects.drops.push_back(drop_reason::other_upstream);
        return;
    }
    if (entry != nullptr && may_be_outdated(state, *entry, event.packet, now)) {
        // The caller's retransmission will find no entry here, so the owner is asked for the upstream.
        state.flows.erase(*entry);
        effects.drops.push_back(drop_reason::unconfirmed_reset);
        return;
    }
    std::optional<double> latency_ms;
    if (entry != nullptr) {
        latency_ms = take_latency(state, event, *entry, now);
        if (latency_ms && is_syn_ack(event.packet)) {
            observe_connect(state.placement, source, *latency_ms);
            latency_ms.reset();
        }
        apply_upstream_flags(state, *entry, event.packet, now, effects);
        entry->last_from_upstream = tick_at(state, now);
        entry->flags &= static_cast<std::uint8_t>(~flow_flag::unanswered);
        entry->unanswered_probes = 0;
    }
    observe_answer(state.placement, source, latency_ms, now.mono);
    effects.sends.push_back(
        {.kind = send_kind::to_caller, .destination = state.options.egress, .inner = event.inner});
}

void apply(steering_state& state, const relay_packet& event, steering_time now, steering_effects& effects) {
    if (!state.config) {
        effects.drops.push_back(drop_reason::no_configuration);
        return;
    }
    const auto peer = std::ranges::find(state.peers, event.sender, &steering_peer::address);
    if (peer != state.peers.end() && event.header.kind == relay_kind::answer) {
        peer->unanswered_relays = 0;
        peer->bypassed_until = {};
    }
    const auto* target = state.config->find_service(event.packet.destination, event.packet.protocol);
    if (target == nullptr) {
        effects.drops.push_back(drop_reason::undeclared_service);
        if (event.header.revision > state.config->revision()) {
            effects.peers_with_newer_config.push_back(event.sender);
        }
        return;
    }
    switch (event.header.kind) {
        case relay_kind::ask_owner:
            return on_ask_owner(state, event, *target, now, effects);
        case relay_kind::answer:
            return on_answer(state, event, *target, now, effects);
        case relay_kind::ask_peer:
            return on_ask_peer(state, event, *target, now, effects);
        case relay_kind::known:
            return on_known(state, event, *target, now, effects);
        case relay_kind::not_known:
            return on_not_known(state, event, *target, now, effects);
        case relay_kind::hand_over:
            return on_hand_over(state, event, *target, now, effects);
    }
}

}  // namespace guavaramp
