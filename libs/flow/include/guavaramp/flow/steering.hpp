#pragma once

#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/config/model.hpp>
#include <guavaramp/flow/flow_table.hpp>
#include <guavaramp/flow/relay.hpp>
#include <guavaramp/membership/member.hpp>
#include <guavaramp/packet/ip_packet.hpp>
#include <guavaramp/placement/placement.hpp>
#include <guavaramp/record/flow_record.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// All reasons for dropping a packet.
enum class drop_reason : std::uint8_t {
    malformed,           ///< the packet is not GUE, or its inner packet is not IP with TCP or UDP
    no_configuration,    ///< this daemon has not received a configuration yet
    undeclared_service,  ///< the service address of the inner packet belongs to no service
    not_an_upstream,     ///< an answer came from an address that is no upstream of the service
    other_upstream,      ///< an answer came from another upstream than the flow's
    no_active_upstream,  ///< a new flow belongs to a service without an active upstream
    table_full,          ///< the flow table has no room for a new flow
    resolution_limit,    ///< too many unknown flows are being resolved, or the rate limit of probed flows is
                         ///< reached
    resolution_held_full,   ///< the resolution already holds its maximum number of packets
    flow_not_found,         ///< no peer and no upstream knows the flow; the caller gets a RST
    upstream_removed,       ///< the flow's upstream was removed and its retention has ended
    unknown_upstream,       ///< a peer named an upstream that is not in this daemon's configuration
    wrong_service,          ///< a peer named an upstream of another service
    unauthenticated,        ///< a relay message has a wrong authentication tag
    replayed,               ///< a relay message was received before
    too_many_hops,          ///< a relay message was forwarded too often because daemons disagree on the owner
    late_answer,            ///< a peer's answer came after its resolution had ended
    probe_answer,           ///< an upstream's answer to a probe, which the daemon consumes
    reset_of_unknown_flow,  ///< a host sent RST for a flow that this daemon does not know
    unconfirmed_reset,  ///< a host sent RST for a flow whose entry here may be outdated; the owner is asked
                        ///< again
    refreshing,         ///< a new flow arrived while the daemon refreshes its state after a pause
    count_              ///< number of reasons
};

/// Returns the name of a drop reason in metrics. Thread-safe.
[[nodiscard]] const char* to_string(drop_reason value) noexcept;

struct steering_options {
    ip_address local;  ///< address of the local daemon
    std::size_t max_flows{1U << 20U};
    std::uint16_t relay_port{6081};
    endpoint egress;                    ///< receives the packets that go to callers
    std::size_t max_resolutions{2000};  ///< limit of unknown flows that are resolved at the same time
    double max_probed_flows_per_second{5000.0};
};

/// A point in time on the monotonic clock and on the wall clock.
using steering_time = placement_time;

enum class send_kind : std::uint8_t { to_upstream, to_caller, relay, probe, reset_caller, reset_upstream };

/// A datagram to send. Its inner packet is `owned_inner` if that is not empty, and otherwise `inner`, which
/// points into the event's packet.
struct send_effect {
    send_kind kind{send_kind::to_upstream};
    endpoint destination;
    relay_header relay;  ///< for `send_kind::relay`
    std::span<const std::byte> inner;
    std::vector<std::byte> owned_inner;

    [[nodiscard]] std::span<const std::byte> bytes() const noexcept {
        return owned_inner.empty() ? inner : owned_inner;
    }
};

/// Actions that the caller of `apply` must carry out, in order. The object is reused between calls, so that
/// handling a packet of a known flow allocates nothing.
struct steering_effects {
    std::vector<send_effect> sends;
    std::vector<drop_reason> drops;
    std::vector<flow_record> ended;                   ///< records of flows that ended
    std::vector<ip_address> peers_with_newer_config;  ///< peers that have a newer configuration

    void clear() noexcept;
};

/// Event: a packet from a caller. `inner` holds the validated packet, `packet` its parsed headers.
struct caller_packet {
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;  ///< `hash_flow` of the packet's flow
};
/// Event: a packet from an upstream. `inner` holds the validated packet, `packet` its parsed headers.
struct upstream_packet {
    endpoint source;  ///< source of the outer packet
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;
};
/// Event: a relay message from another entry VM. `inner` holds the validated packet, `packet` its parsed
/// headers.
struct relay_packet {
    ip_address sender;
    relay_header header;
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;
};

/// A packet held until its flow's upstream is found, and the entry VM that it is returned to.
struct held_packet {
    ip_address origin;
    std::vector<std::byte> inner;
};

/// The search for the upstream of an unknown flow that this daemon owns. It asks peers one after the other;
/// if none knows the flow, a new flow is placed, and for any other flow the upstreams are probed.
struct resolution {
    flow_key flow;
    service_id service{0};
    bool is_new_flow{false};        ///< the packet may open a flow, which is placed if no peer knows it
    bool is_closing{false};         ///< the packet carries FIN or RST, so not finding its flow breaks none
    std::vector<ip_address> peers;  ///< possible previous owners, asked one after the other
    std::size_t current_peer_index{0};            ///< index in `peers` of the peer that is being asked
    std::uint8_t probes_sent{0};                  ///< rounds of probes; 0 while peers are being asked
    std::vector<upstream_id> probed_upstreams;    ///< upstreams considered in the latest round
    std::vector<upstream_id> refusing_upstreams;  ///< upstreams that answered a probe with RST
    std::uint32_t sequence{0};
    std::uint32_t acknowledgment{0};
    mono_time next_step_at;  ///< when the next peer is asked, or the next round of probes is sent
    mono_time deadline;      ///< when probing gives up and the flow counts as not found
    std::vector<held_packet> held_packets;
};

/// An entry VM of the failure domain that may own flows, or a leaving one that may still know some.
struct steering_peer {
    ip_address address;
    std::uint64_t key{0};  ///< `rendezvous_key` of the address
    bool can_own{true};
    std::uint32_t unanswered_relays{0};  ///< packets relayed to it since its last answer
    mono_time first_unanswered_at{};
    mono_time bypassed_until{};
};

/// A packet for which the time until the upstream's answer is measured. `hash` is 0 if the slot is free.
struct latency_sample {
    std::uint64_t hash{0};
    mono_time sent_at{};
};

/// Counters since the daemon started.
struct steering_totals {
    std::uint64_t sent_relays{0};
    std::uint64_t started_resolutions{0};
    std::uint64_t placed_flows{0};
    std::uint64_t refused_flows{0};
    std::uint64_t evicted_cached_flows{0};
    std::uint64_t owner_bypasses{0};
    std::uint64_t suspected_flows{0};
    std::uint64_t handed_over_flows{0};
};

/// State of one daemon's packet path. Not thread-safe: the packet thread owns it.
struct steering_state {
    explicit steering_state(const steering_options& given, steering_time now);

    steering_options options;
    steering_time started_at;
    std::shared_ptr<const config_snapshot> config;
    std::vector<steering_peer> peers;  ///< entry VMs of the local failure domain, including the local daemon
    mono_time membership_changed_at;
    bool leaving{false};  ///< a planned stop of the local daemon has begun
    /// Whether the process was paused and its configuration and members may be stale. It places no new flows
    /// until they are refreshed.
    bool refreshing{false};
    flow_table flows;
    placement_state placement;
    std::unordered_map<std::uint64_t, resolution> resolutions;  ///< by flow hash
    token_bucket probe_tokens;
    std::vector<latency_sample> latency_samples;
    std::size_t next_sweep_bucket{0};
    token_bucket hand_over_budget;
    mono_time last_placement_update_at{};
    mono_time last_sweep_at{};
    steering_totals totals;
};

/// Replaces the configuration. Existing flows keep their upstreams.
void set_config(steering_state& state, std::shared_ptr<const config_snapshot> config, steering_time now);

/// Replaces the list of members. Only members of the local daemon's failure domain are used. If the list
/// lacks the local daemon, the local daemon is the only owner.
void set_members(steering_state& state, const member_list& members, steering_time now);

/// Begins a planned stop: the local daemon becomes the owner of no new flows but continues to forward
/// packets.
void set_leaving(steering_state& state, steering_time now);

/// Handles one event and appends the resulting actions to `effects`. Spans in them are valid as long as those
/// of the event.
void apply(steering_state& state, const caller_packet& event, steering_time now, steering_effects& effects);
void apply(steering_state& state, const upstream_packet& event, steering_time now, steering_effects& effects);
void apply(steering_state& state, const relay_packet& event, steering_time now, steering_effects& effects);

/// Performs the periodic work: advances resolutions, probes unresponsive flows, removes expired flows and
/// updates the upstreams' speeds. Call it about every 10 ms.
void run_periodic_work(steering_state& state, steering_time now, steering_effects& effects);

/// Returns whether `source`, the source of the outer packet, is an upstream of the service that is the source
/// of the inner packet.
[[nodiscard]] bool is_from_upstream(const steering_state& state, const endpoint& source,
                                    const ip_packet& packet);

/// Returns the record of a flow in the flow table, or nothing if the flow is unknown.
[[nodiscard]] std::optional<flow_record> find_flow(steering_state& state, const flow_key& flow,
                                                   steering_time now);

/// The owner and the candidate upstreams of a flow if it opened now.
struct placement_preview {
    ip_address owner;
    ip_address next_owner;  ///< equal to `owner` if there is no other owner
    service_id service{0};
    std::vector<upstream_id> candidates;  ///< best candidate first
};

/// Returns how `flow` would be placed now. Errors: `not_found` if the destination is no service,
/// `unavailable` if no configuration is known.
[[nodiscard]] result<placement_preview> preview_placement(const steering_state& state, const flow_key& flow,
                                                          steering_time now);

}  // namespace guavaramp
