#pragma once

#include <guavaramp/flow/steering.hpp>

#include <chrono>

namespace guavaramp::steering_detail {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Now in table ticks; at least 1, since 0 means "never".
[[nodiscard]] flow_tick tick_at(const steering_state& state, steering_time now) noexcept;

[[nodiscard]] inline bool is_syn(const ip_packet& packet) noexcept {
    return packet.protocol == transport::tcp &&
           (packet.tcp_flags & (tcp_flag::syn | tcp_flag::ack)) == tcp_flag::syn;
}

/// Whether a packet may open a flow: a SYN, or any UDP packet.
[[nodiscard]] inline bool may_open(const ip_packet& packet) noexcept {
    return packet.protocol == transport::udp || is_syn(packet);
}

/// Length of a TCP segment in sequence space.
[[nodiscard]] inline std::uint32_t sequence_length(const ip_packet& packet) noexcept {
    const auto flags = packet.tcp_flags;
    return static_cast<std::uint32_t>(packet.payload.size()) + ((flags & tcp_flag::syn) != 0 ? 1 : 0) +
           ((flags & tcp_flag::fin) != 0 ? 1 : 0);
}

[[nodiscard]] flow_id id_of(const flow_key& flow, service_id service, std::uint64_t hash) noexcept;

/// The upstream when packets of known flows of `service` may go to it: it belongs to the service, and a
/// retired one is still kept and its address not in use by another service. Null otherwise.
[[nodiscard]] const upstream* usable_upstream(const steering_state& state, service_id service, upstream_id id,
                                              steering_time now);

/// Owner among the peers that can own, without those bypassed when `now` is given. Null when there is none.
[[nodiscard]] const steering_peer* first_owner(const steering_state& state, std::uint64_t hash,
                                               std::optional<mono_time> now) noexcept;

[[nodiscard]] flow_record record_of(const steering_state& state, const flow_entry& entry, steering_time now);

/// Reports the end of a flow; the entry stays.
void end_flow(const steering_state& state, const flow_entry& entry, flow_end end, steering_time now,
              steering_effects& out);

/// A TCP segment without data.
[[nodiscard]] std::vector<std::byte> build_segment(const endpoint& source, const endpoint& destination,
                                                   std::uint8_t flags, std::uint32_t sequence,
                                                   std::uint32_t acknowledgment);

/// RST to the caller of `flow`; `sequence` is the caller's next expected one.
void reset_caller(const steering_state& state, const flow_key& flow, std::uint32_t sequence,
                  std::uint32_t acknowledgment, steering_effects& out);

/// Starts a resolution or adds the packet to the one in progress.
void resolve(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
             std::uint64_t hash, const service& target, const ip_address& origin, steering_time now,
             steering_effects& out);

/// Ends a resolution with the upstream found.
void finish_found(steering_state& state, std::uint64_t hash, upstream_id found, placement_reason reason,
                  steering_time now, steering_effects& out);

/// Places a new flow and delivers its packet to `origin`.
void place(steering_state& state, std::span<const std::byte> inner, const ip_packet& packet,
           std::uint64_t hash, const service& target, const ip_address& origin, bool copy, steering_time now,
           steering_effects& out);

/// Consumes the answer to a probe. Returns false when the packet is none.
[[nodiscard]] bool consume_probe_answer(steering_state& state, const upstream_packet& event,
                                        upstream_id source, steering_time now, steering_effects& out);

/// A peer returned the packet of `ask_peer` with `not_known`.
void peer_does_not_know(steering_state& state, const relay_packet& event, const service& target,
                        steering_time now, steering_effects& out);

void step_resolutions(steering_state& state, steering_time now, steering_effects& out);
void sweep_flows(steering_state& state, steering_time now, steering_effects& out);

/// Inserts a flow and sets its times. Counts what was refused or replaced. Null when refused.
flow_entry* add_flow(steering_state& state, const flow_id& id, upstream_id chosen, placement_reason reason,
                     std::uint8_t flags, steering_time now);

/// Updates an entry from a packet of its caller.
void touch_from_caller(steering_state& state, flow_entry& entry, const ip_packet& packet, steering_time now,
                       steering_effects& out);

/// The packet is about to go from here to the upstream, whose answer will come here. An owner that returns a
/// packet to its origin expects none.
void expect_answer(steering_state& state, flow_entry& entry, const ip_packet& packet, std::uint64_t hash,
                   steering_time now);

/// Sends the packet to its upstream when local, and back to `origin` otherwise. `built` may hold the packet.
void deliver(steering_state& state, const service& target, upstream_id chosen, const ip_address& origin,
             std::span<const std::byte> inner, std::vector<std::byte> built, steering_time now,
             steering_effects& out);

void relay_to(steering_state& state, const ip_address& peer, const relay_header& header,
              std::span<const std::byte> inner, std::vector<std::byte> built, steering_effects& out);

/// Headers of a caller's packet without its data, for messages that only name the flow.
[[nodiscard]] std::vector<std::byte> headers_of(const ip_packet& packet);

}  // namespace guavaramp::steering_detail
