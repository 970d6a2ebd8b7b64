#include "steering_internal.hpp"

#include <guavaramp/base/hash.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

using namespace steering_detail;

constexpr std::size_t max_segment_size = 128;
constexpr std::uint8_t max_hops = 3;
constexpr std::uint32_t unanswered_before_bypass = 3;
constexpr auto unanswered_for = milliseconds{150};
constexpr auto bypass_time = seconds{1};
// A sample whose answer has not come by then is replaced: the answer went through another entry VM.
constexpr auto sample_lifetime = seconds{10};
constexpr std::uint8_t most_relayed = 7;
// A caller may use a port again after TIME-WAIT (30 s or more), so what was heard of within 5 s is current.
constexpr flow_tick current_for = 5 * 1000 / flow_tick_ms;

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

/// A flow key of a TCP packet whose caller reuses an earlier flow's port while that flow's upstream takes no
/// new work.
bool needs_new_placement(const steering_state& state, const flow_entry& entry, const ip_packet& packet,
                         steering_time now) {
    if (!is_syn(packet)) {
        return false;
    }
    const bool repeated = entry.next_sequence == packet.sequence + 1;
    const auto* host = usable_upstream(state, entry.service, entry.upstream, now);
    return !repeated && (host == nullptr || state_at(*host, now.wall) != upstream_state::active);
}

/// The flow's entry, or null when the packet opens a new flow under a used key.
flow_entry* find_current(steering_state& state, const flow_id& id, const ip_packet& packet,
                         steering_time now) {
    auto* entry = state.flows.find(id);
    if (entry != nullptr && needs_new_placement(state, *entry, packet, now)) {
        state.flows.erase(*entry);
        return nullptr;
    }
    return entry;
}

const steering_peer* choose_owner(steering_state& state, std::uint64_t hash, steering_time now) {
    for (auto& peer : state.peers) {
        const bool silent = peer.unanswered >= unanswered_before_bypass &&
                            now.mono - peer.oldest_unanswered >= unanswered_for;
        if (silent && peer.address != state.options.local) {
            peer.bypassed_until = now.mono + bypass_time;
            peer.unanswered = 0;
            ++state.totals.bypasses;
        }
    }
    return first_owner(state, hash, now.mono);
}

void count_relay(steering_state& state, const ip_address& owner, steering_time now) {
    const auto peer = std::ranges::find(state.peers, owner, &steering_peer::address);
    if (peer == state.peers.end()) {
        return;
    }
    if (peer->unanswered++ == 0) {
        peer->oldest_unanswered = now.mono;
    }
}

/// A packet of a flow that is not known here.
void steer_unknown(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
                   std::uint64_t hash, const service& target, steering_time now, steering_effects& out) {
    const auto* owner = choose_owner(state, hash, now);
    const auto& local = state.options.local;
    if (owner == nullptr || owner->address == local) {
        resolve(state, inner, packet, hash, target, local, now, out);
        return;
    }
    const auto address = owner->address;
    relay_to(state, address, {.kind = relay_kind::ask_owner, .origin = local}, inner, {}, out);
    count_relay(state, address, now);
}

void note_relayed(flow_entry& entry) {
    if (entry.relayed < most_relayed) {
        entry.relayed = static_cast<std::uint8_t>((entry.relayed + 1) & most_relayed);
    }
}

/// Whether a peer named an upstream that this daemon may use for the service.
bool accept_upstream(const steering_state& state, const relay_packet& event, const service& target,
                     steering_time now, steering_effects& out) {
    const auto ref = state.config->find_upstream(event.header.upstream);
    if (ref.host == nullptr) {
        out.drops.push_back(drop_reason::unknown_upstream);
        if (event.header.revision > state.config->revision()) {
            out.behind_of.push_back(event.sender);
        }
        return false;
    }
    if (ref.owner->id != target.id) {
        out.drops.push_back(drop_reason::wrong_service);
        return false;
    }
    if (usable_upstream(state, target.id, ref.host->id, now) == nullptr) {
        out.drops.push_back(drop_reason::upstream_removed);
        return false;
    }
    return true;
}

void on_ask_owner(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& out) {
    const auto id = id_of(flow_from_caller(event.packet), target.id, event.hash);
    if (auto* entry = find_current(state, id, event.packet, now)) {
        entry->flags |= flow_flag::owned;
        note_relayed(*entry);
        touch_from_caller(state, *entry, event.packet, now, out);
        deliver(state, target, entry->upstream, event.header.origin, event.inner, {}, now, out);
        return;
    }
    const auto* owner = state.leaving ? choose_owner(state, event.hash, now) : nullptr;
    if (owner == nullptr || owner->address == state.options.local) {
        resolve(state, event.inner, event.packet, event.hash, target, event.header.origin, now, out);
        return;
    }
    if (event.header.hops >= max_hops) {
        out.drops.push_back(drop_reason::too_many_hops);
        return;
    }
    auto header = event.header;
    ++header.hops;
    relay_to(state, owner->address, header, event.inner, {}, out);
}

void on_answer(steering_state& state, const relay_packet& event, const service& target, steering_time now,
               steering_effects& out) {
    if (!accept_upstream(state, event, target, now, out)) {
        return;
    }
    const auto id = id_of(flow_from_caller(event.packet), target.id, event.hash);
    auto* entry = find_current(state, id, event.packet, now);
    if (entry == nullptr) {
        entry = add_flow(state, id, event.header.upstream, placement_reason::learned_from_owner, 0, now);
    }
    if (entry != nullptr) {
        note_relayed(*entry);
        touch_from_caller(state, *entry, event.packet, now, out);
        expect_answer(state, *entry, event.packet, event.hash, now);
    }
    // Without room in the table the packet still reaches its upstream; the next one is relayed again.
    const auto chosen = entry == nullptr ? event.header.upstream : entry->upstream;
    deliver(state, target, chosen, state.options.local, event.inner, {}, now, out);
}

void on_ask_peer(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                 steering_effects& out) {
    const auto id = id_of(flow_from_caller(event.packet), target.id, event.hash);
    relay_header header{.kind = relay_kind::not_known, .origin = event.header.origin};
    if (auto* entry = find_current(state, id, event.packet, now);
        entry != nullptr && usable_upstream(state, target.id, entry->upstream, now) != nullptr) {
        // The asking daemon owns the flow now; the entry here may be replaced when room is needed.
        entry->flags &= static_cast<std::uint8_t>(~flow_flag::owned);
        header.kind = relay_kind::known;
        header.upstream = entry->upstream;
    }
    relay_to(state, event.sender, header, event.inner, {}, out);
}

/// The packet comes back with its upstream. Several packets of one flow may be on their way; the first one
/// ends the resolution and its held copies, since each packet returns by itself.
void on_known(steering_state& state, const relay_packet& event, const service& target, steering_time now,
              steering_effects& out) {
    if (!accept_upstream(state, event, target, now, out)) {
        return;
    }
    const auto flow = flow_from_caller(event.packet);
    if (const auto found = state.resolving.find(event.hash);
        found != state.resolving.end() && found->second.flow == flow) {
        state.resolving.erase(found);
    }
    const auto id = id_of(flow, target.id, event.hash);
    auto* entry = find_current(state, id, event.packet, now);
    if (entry == nullptr) {
        entry = add_flow(state, id, event.header.upstream, placement_reason::learned_from_peer,
                         flow_flag::owned, now);
    }
    if (entry != nullptr) {
        touch_from_caller(state, *entry, event.packet, now, out);
        if (event.header.origin == state.options.local) {
            expect_answer(state, *entry, event.packet, event.hash, now);
        }
    }
    // Without room in the table the packet still reaches its upstream; the next one is resolved again.
    const auto chosen = entry == nullptr ? event.header.upstream : entry->upstream;
    deliver(state, target, chosen, event.header.origin, event.inner, {}, now, out);
}

void on_hand_over(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& out) {
    if (!accept_upstream(state, event, target, now, out)) {
        return;
    }
    const auto id = id_of(flow_from_caller(event.packet), target.id, event.hash);
    if (state.flows.find(id) == nullptr) {
        add_flow(state, id, event.header.upstream, placement_reason::handed_over, flow_flag::owned, now);
    }
}

bool is_syn_ack(const ip_packet& packet) noexcept {
    constexpr std::uint8_t both = tcp_flag::syn | tcp_flag::ack;
    return packet.protocol == transport::tcp && (packet.tcp_flags & both) == both;
}

/// A host answers a connection that it does not know with RST and no ACK (RFC 9293 section 3.10.7.1). When
/// this daemon has not heard of the flow for long, the caller may have used its port again since and the new
/// flow may have another upstream.
bool may_be_outdated(const steering_state& state, const flow_entry& entry, const ip_packet& packet,
                     steering_time now) {
    const bool unknown_to_host = (packet.tcp_flags & (tcp_flag::rst | tcp_flag::ack)) == tcp_flag::rst;
    const auto heard = std::max(entry.first_seen, entry.last_from_upstream);
    return unknown_to_host && entry.silent_probes == 0 && (entry.flags & flow_flag::ended) == 0 &&
           tick_at(state, now) - heard > current_for;
}

std::optional<double> take_latency(steering_state& state, const upstream_packet& event,
                                   const flow_entry& entry, steering_time now) {
    auto& sample = state.samples[event.hash % state.samples.size()];
    const bool answers = !event.packet.payload.empty() || is_syn_ack(event.packet);
    if (!answers || sample.hash != event.hash) {
        return std::nullopt;
    }
    sample.hash = 0;
    // An answer that does not acknowledge the timed packet exactly belongs to another one.
    if (event.packet.protocol == transport::tcp && event.packet.acknowledgment != entry.next_sequence) {
        return std::nullopt;
    }
    return std::chrono::duration<double, std::milli>(now.mono - sample.sent).count();
}

void note_upstream_flags(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                         steering_effects& out) {
    if ((entry.flags & flow_flag::ended) != 0 || packet.protocol == transport::udp) {
        return;
    }
    if ((packet.tcp_flags & tcp_flag::rst) != 0) {
        const bool lost = entry.silent_probes != 0 && (entry.flags & flow_flag::opening) == 0;
        end_flow(state, entry, lost ? flow_end::lost_at_upstream : flow_end::reset_by_upstream, now, out);
        entry.flags |= flow_flag::ended;
    } else if ((packet.tcp_flags & tcp_flag::fin) != 0) {
        entry.flags |= flow_flag::fin_upstream;
        if ((entry.flags & flow_flag::fin_caller) != 0) {
            entry.flags |= flow_flag::ended;
            end_flow(state, entry, flow_end::closed, now, out);
        }
    }
}

void time_answer(steering_state& state, const flow_entry& entry, const ip_packet& packet, std::uint64_t hash,
                 steering_time now) {
    auto& sample = state.samples[hash % state.samples.size()];
    const bool repeated = packet.protocol == transport::tcp && (entry.flags & flow_flag::waiting) != 0;
    if (sample.hash == hash) {
        // A second packet before the answer makes the time ambiguous (Karn and Partridge, 1987).
        sample.hash = 0;
    } else if (!repeated && (sample.hash == 0 || now.mono - sample.sent > sample_lifetime)) {
        sample = {.hash = hash, .sent = now.mono};
    }
}

void note_caller_tcp(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                     steering_effects& out) {
    const auto end = packet.sequence + sequence_length(packet);
    if (is_syn(packet)) {
        if (entry.next_sequence != end) {
            entry.flags &= flow_flag::owned;
            entry.silent_probes = 0;
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
        end_flow(state, entry, flow_end::reset_by_caller, now, out);
    } else if ((packet.tcp_flags & tcp_flag::fin) != 0) {
        entry.flags |= flow_flag::fin_caller;
        if ((entry.flags & flow_flag::fin_upstream) != 0) {
            entry.flags |= flow_flag::ended;
            end_flow(state, entry, flow_end::closed, now, out);
        }
    }
}

}  // namespace

const char* to_string(drop_reason value) noexcept {
    const auto index = static_cast<std::size_t>(value);
    return index < drop_names.size() ? drop_names[index] : "unknown";
}

namespace steering_detail {

void end_flow(const steering_state& state, const flow_entry& entry, flow_end end, steering_time now,
              steering_effects& out) {
    auto record = record_of(state, entry, now);
    record.end = end;
    record.ended_at = now.wall;
    out.ended.push_back(record);
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

std::vector<std::byte> headers_of(const ip_packet& packet) {
    std::vector<std::byte> bytes(max_segment_size);
    auto headers = packet;
    headers.payload = {};
    bytes.resize(build_ip_packet(headers, bytes));
    return bytes;
}

void reset_caller(const steering_state& state, const flow_key& flow, std::uint32_t sequence,
                  std::uint32_t acknowledgment, steering_effects& out) {
    if (flow.protocol != transport::tcp) {
        return;
    }
    out.sends.push_back({.kind = send_kind::reset_caller,
                         .destination = state.options.egress,
                         .built = build_segment(flow.service, flow.caller, tcp_flag::rst | tcp_flag::ack,
                                                sequence, acknowledgment)});
}

flow_entry* add_flow(steering_state& state, const flow_id& id, upstream_id chosen, placement_reason reason,
                     std::uint8_t flags, steering_time now) {
    const auto added = state.flows.insert(id, flags);
    if (added.entry == nullptr) {
        ++state.totals.refused_flows;
        return nullptr;
    }
    if (added.outcome == insert_outcome::replaced_cached) {
        ++state.totals.evicted_cached;
    }
    added.entry->upstream = chosen;
    added.entry->reason = static_cast<std::uint8_t>(reason) & 0x7U;
    added.entry->first_seen = tick_at(state, now);
    added.entry->last_from_caller = added.entry->first_seen;
    added.entry->revision = static_cast<std::uint16_t>(static_cast<std::uint64_t>(state.config->revision()));
    return added.entry;
}

void touch_from_caller(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                       steering_effects& out) {
    entry.last_from_caller = tick_at(state, now);
    if (packet.protocol == transport::tcp) {
        note_caller_tcp(state, entry, packet, now, out);
    }
}

void expect_answer(steering_state& state, flow_entry& entry, const ip_packet& packet, std::uint64_t hash,
                   steering_time now) {
    if (!packet.payload.empty() || is_syn(packet)) {
        time_answer(state, entry, packet, hash, now);
    }
    if (packet.protocol == transport::udp) {
        return;
    }
    if (is_syn(packet)) {
        entry.flags |= flow_flag::opening;
    }
    if (sequence_length(packet) != 0 && (entry.flags & flow_flag::waiting) == 0) {
        entry.waiting_since = static_cast<std::uint16_t>(entry.last_from_caller);
        entry.flags |= flow_flag::waiting;
    }
}

void relay_to(steering_state& state, const ip_address& peer, const relay_header& header,
              std::span<const std::byte> inner, std::vector<std::byte> built, steering_effects& out) {
    auto stamped = header;
    stamped.revision = state.config->revision();
    ++state.totals.relays;
    out.sends.push_back({.kind = send_kind::relay,
                         .destination = {.address = peer, .port = state.options.relay_port},
                         .relay = stamped,
                         .inner = inner,
                         .built = std::move(built)});
}

void deliver(steering_state& state, const service& target, upstream_id chosen, const ip_address& origin,
             std::span<const std::byte> inner, std::vector<std::byte> built, steering_time now,
             steering_effects& out) {
    const auto* host = usable_upstream(state, target.id, chosen, now);
    if (host == nullptr) {
        out.drops.push_back(drop_reason::upstream_removed);
        return;
    }
    if (origin != state.options.local) {
        relay_to(state, origin, {.kind = relay_kind::answer, .origin = origin, .upstream = chosen}, inner,
                 std::move(built), out);
        return;
    }
    out.sends.push_back({.kind = send_kind::to_upstream,
                         .destination = host->packet_address,
                         .inner = inner,
                         .built = std::move(built)});
}

}  // namespace steering_detail

void apply(steering_state& state, const caller_packet& event, steering_time now, steering_effects& out) {
    if (!state.config) {
        out.drops.push_back(drop_reason::no_configuration);
        return;
    }
    const auto* target = state.config->find_service(event.packet.destination, event.packet.protocol);
    if (target == nullptr) {
        out.drops.push_back(drop_reason::undeclared_service);
        return;
    }
    const auto flow = flow_from_caller(event.packet);
    const auto id = id_of(flow, target->id, event.hash);
    auto* entry = find_current(state, id, event.packet, now);
    if (entry == nullptr) {
        steer_unknown(state, event.inner, event.packet, event.hash, *target, now, out);
        return;
    }
    touch_from_caller(state, *entry, event.packet, now, out);
    expect_answer(state, *entry, event.packet, event.hash, now);
    const auto* host = usable_upstream(state, target->id, entry->upstream, now);
    if (host != nullptr) {
        out.sends.push_back(
            {.kind = send_kind::to_upstream, .destination = host->packet_address, .inner = event.inner});
        return;
    }
    out.drops.push_back(drop_reason::upstream_removed);
    if ((entry->flags & flow_flag::ended) == 0) {
        end_flow(state, *entry, flow_end::upstream_removed, now, out);
        reset_caller(state, flow, entry->acknowledgment, entry->next_sequence, out);
    }
    state.flows.erase(*entry);
}

void apply(steering_state& state, const upstream_packet& event, steering_time now, steering_effects& out) {
    const auto* target =
        state.config ? state.config->find_service(event.packet.source, event.packet.protocol) : nullptr;
    if (target == nullptr) {
        out.drops.push_back(state.config ? drop_reason::undeclared_service : drop_reason::no_configuration);
        return;
    }
    const auto host = std::ranges::find(target->upstreams, event.source, &upstream::packet_address);
    if (host == target->upstreams.end()) {
        out.drops.push_back(drop_reason::not_an_upstream);
        return;
    }
    const auto flow = flow_from_upstream(event.packet);
    auto* entry = state.flows.find(id_of(flow, target->id, event.hash));
    const auto source =
        entry != nullptr && usable_upstream(state, target->id, entry->upstream, now) != nullptr &&
                state.config->find_upstream(entry->upstream).host->packet_address == event.source
            ? entry->upstream
            : host->id;
    if (consume_probe_answer(state, event, source, now, out)) {
        observe_answer(state.placement, source, std::nullopt, now.mono);
        return;
    }
    const bool reset = (event.packet.tcp_flags & tcp_flag::rst) != 0;
    if (entry == nullptr && reset) {
        out.drops.push_back(drop_reason::reset_of_unknown_flow);
        return;
    }
    if (entry != nullptr && entry->upstream != source) {
        out.drops.push_back(drop_reason::other_upstream);
        return;
    }
    if (entry != nullptr && may_be_outdated(state, *entry, event.packet, now)) {
        // The caller's retransmission asks the owner.
        state.flows.erase(*entry);
        out.drops.push_back(drop_reason::unconfirmed_reset);
        return;
    }
    std::optional<double> latency_ms;
    if (entry != nullptr) {
        latency_ms = take_latency(state, event, *entry, now);
        if (latency_ms && is_syn_ack(event.packet)) {
            observe_connect(state.placement, source, *latency_ms);
            latency_ms.reset();
        }
        note_upstream_flags(state, *entry, event.packet, now, out);
        entry->last_from_upstream = tick_at(state, now);
        entry->flags &= static_cast<std::uint8_t>(~flow_flag::waiting);
        entry->silent_probes = 0;
    }
    observe_answer(state.placement, source, latency_ms, now.mono);
    out.sends.push_back(
        {.kind = send_kind::to_caller, .destination = state.options.egress, .inner = event.inner});
}

void apply(steering_state& state, const relay_packet& event, steering_time now, steering_effects& out) {
    if (!state.config) {
        out.drops.push_back(drop_reason::no_configuration);
        return;
    }
    const auto peer = std::ranges::find(state.peers, event.sender, &steering_peer::address);
    if (peer != state.peers.end() && event.header.kind == relay_kind::answer) {
        peer->unanswered = 0;
        peer->bypassed_until = {};
    }
    const auto* target = state.config->find_service(event.packet.destination, event.packet.protocol);
    if (target == nullptr) {
        out.drops.push_back(drop_reason::undeclared_service);
        if (event.header.revision > state.config->revision()) {
            out.behind_of.push_back(event.sender);
        }
        return;
    }
    switch (event.header.kind) {
        case relay_kind::ask_owner:
            return on_ask_owner(state, event, *target, now, out);
        case relay_kind::answer:
            return on_answer(state, event, *target, now, out);
        case relay_kind::ask_peer:
            return on_ask_peer(state, event, *target, now, out);
        case relay_kind::known:
            return on_known(state, event, *target, now, out);
        case relay_kind::not_known:
            return peer_does_not_know(state, event, *target, now, out);
        case relay_kind::hand_over:
            return on_hand_over(state, event, *target, now, out);
    }
}

}  // namespace guavaramp
