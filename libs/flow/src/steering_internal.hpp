#pragma once

#include <guavaramp/flow/steering.hpp>

#include <chrono>

namespace guavaramp::steering_detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns `now` as a timestamp of the flow table. The result is at least 1, since 0 means "never".
[[nodiscard]] flow_tick tick_at(const steering_state& state, steering_time now) noexcept;

[[nodiscard]] inline bool is_syn(const ip_packet& packet) noexcept {
    return packet.protocol == transport::tcp &&
           (packet.tcp_flags & (tcp_flag::syn | tcp_flag::ack)) == tcp_flag::syn;
}

/// Returns whether a packet may open a flow, which holds for a SYN and for any UDP packet.
[[nodiscard]] inline bool may_open(const ip_packet& packet) noexcept {
    return packet.protocol == transport::udp || is_syn(packet);
}

/// Returns the length of a TCP segment in sequence space: its payload plus one each for SYN and FIN.
[[nodiscard]] inline std::uint32_t sequence_length(const ip_packet& packet) noexcept {
    const auto flags = packet.tcp_flags;
    return static_cast<std::uint32_t>(packet.payload.size()) + ((flags & tcp_flag::syn) != 0 ? 1 : 0) +
           ((flags & tcp_flag::fin) != 0 ? 1 : 0);
}

[[nodiscard]] flow_id make_flow_id(const flow_key& flow, service_id service, std::uint64_t hash) noexcept;

/// Returns the upstream `id` if packets of known flows of `service` may go to it, and null otherwise. It must
/// belong to the service. A retired upstream must also be within its retention time, and its address must not
/// be in use by another service.
[[nodiscard]] const upstream* usable_upstream(const steering_state& state, service_id service, upstream_id id,
                                              steering_time now);

/// Returns the owner of a flow by rendezvous hashing among the peers that can own flows, or null if there is
/// none. If `now` is given, peers that are bypassed at that time are left out.
[[nodiscard]] const steering_peer* find_owner(const steering_state& state, std::uint64_t hash,
                                              std::optional<mono_time> now) noexcept;

[[nodiscard]] flow_record make_flow_record(const steering_state& state, const flow_entry& entry,
                                           steering_time now);

/// Appends a record of the flow's end to `effects`. The entry stays in the table.
void report_flow_end(const steering_state& state, const flow_entry& entry, flow_end end, steering_time now,
                     steering_effects& effects);

/// Returns an IP packet with a TCP segment without data.
[[nodiscard]] std::vector<std::byte> build_segment(const endpoint& source, const endpoint& destination,
                                                   std::uint8_t flags, std::uint32_t sequence,
                                                   std::uint32_t acknowledgment);

/// Sends a RST to the caller of a TCP flow; does nothing for UDP. `sequence` is the sequence number that the
/// caller expects next.
void reset_caller(const steering_state& state, const flow_key& flow, std::uint32_t sequence,
                  std::uint32_t acknowledgment, steering_effects& effects);

/// Starts a resolution for the packet's flow, or adds the packet to the resolution in progress. A new flow
/// that no other daemon may have placed is placed at once.
void resolve(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
             std::uint64_t hash, const service& target, const ip_address& origin, steering_time now,
             steering_effects& effects);

/// Ends a resolution successfully: records the flow with the upstream `found` and delivers the held packets.
void finish_resolution(steering_state& state, std::uint64_t hash, upstream_id found, placement_reason reason,
                       steering_time now, steering_effects& effects);

/// Chooses the upstream of a new flow; a flow that is already in the table keeps its own. Sends the packet to
/// the upstream if `origin` is the local daemon, and otherwise back to `origin`. If `copy` is set, the effect
/// gets its own copy of `inner`.
void place_flow(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
                std::uint64_t hash, const service& target, const ip_address& origin, bool copy,
                steering_time now, steering_effects& effects);

/// Consumes a packet that answers a probe of a resolution. Returns false if the packet is no such answer;
/// answers to the probes of unresponsive flows are forwarded like other packets.
[[nodiscard]] bool consume_probe_answer(steering_state& state, const upstream_packet& event,
                                        upstream_id source, steering_time now, steering_effects& effects);

/// Handles `not_known`: a peer returned the packet of `ask_peer` since it does not know the flow.
void on_not_known(steering_state& state, const relay_packet& event, const service& target, steering_time now,
                  steering_effects& effects);

/// Asks the next peer, probes again or gives up for each resolution whose next step is due.
void advance_resolutions(steering_state& state, steering_time now, steering_effects& effects);
/// Checks the part of the flow table that is due: removes expired flows, probes unresponsive ones and, during
/// a planned stop, hands over UDP flows.
void sweep_flows(steering_state& state, steering_time now, steering_effects& effects);

/// Inserts a flow into the table and sets its timestamps. Counts refused insertions and replaced cached
/// entries. Returns null if the insertion was refused.
flow_entry* add_flow(steering_state& state, const flow_id& id, upstream_id chosen, placement_reason reason,
                     std::uint8_t flags, steering_time now);

/// Updates a flow's entry from a packet of its caller.
void update_from_caller(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                        steering_effects& effects);

/// Records that the local daemon is about to send the packet to the upstream, so that the answer will arrive
/// here. An owner that returns a packet to its origin does not call this, since the answer goes to the
/// origin.
void expect_answer(steering_state& state, flow_entry& entry, const ip_packet& packet, std::uint64_t hash,
                   steering_time now);

/// Sends the packet to its upstream if `origin` is the local daemon, and otherwise back to `origin`. The
/// packet is in `owned_inner` if that is not empty, and otherwise in `inner`.
void deliver(steering_state& state, const service& target, upstream_id chosen, const ip_address& origin,
             std::span<const std::byte> inner, std::vector<std::byte> owned_inner, steering_time now,
             steering_effects& effects);

/// Sends a relay message to `peer` with the local configuration revision. The packet is in `owned_inner` if
/// that is not empty, and otherwise in `inner`.
void send_relay(steering_state& state, const ip_address& peer, const relay_header& header,
                std::span<const std::byte> inner, std::vector<std::byte> owned_inner,
                steering_effects& effects);

/// Returns the headers of a caller's packet without its data, for relay messages that only name the flow.
[[nodiscard]] std::vector<std::byte> build_headers(const ip_packet& packet);

}  // namespace guavaramp::steering_detail
