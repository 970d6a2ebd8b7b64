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

/// The closed list of reasons for dropping a packet.
enum class drop_reason : std::uint8_t {
    malformed,              ///< not GUE, or not IP with TCP or UDP
    no_configuration,       ///< no configuration is known yet
    undeclared_service,     ///< the inner destination is no service
    not_an_upstream,        ///< an answer from an address that does not serve the service
    other_upstream,         ///< an answer from an upstream that is not the flow's
    no_active_upstream,     ///< a new flow of a service without an active host
    table_full,             ///< a new flow found no room
    resolution_limit,       ///< too many unknown flows are being resolved
    resolution_held_full,   ///< the unknown flow already holds its share of packets
    flow_not_found,         ///< nobody knows the flow; the caller was reset
    upstream_removed,       ///< the flow's upstream is no longer kept
    unknown_upstream,       ///< a peer named an upstream that this configuration lacks
    wrong_service,          ///< a peer named an upstream of another service
    unauthenticated,        ///< a relay with a wrong tag
    replayed,               ///< a relay seen before
    too_many_hops,          ///< daemons disagree on the owner
    late_answer,            ///< an answer that nothing waits for
    probe_answer,           ///< an answer to a probe, consumed
    reset_of_unknown_flow,  ///< a host's RST for a flow that is not known here
    unconfirmed_reset,      ///< a host does not know a flow last heard of long ago; its owner is asked again
    refreshing,             ///< a new flow while the daemon brings itself up to date after a pause
    count_                  ///< number of reasons
};

/// Name of a reason in counters. Thread-safe.
[[nodiscard]] const char* to_string(drop_reason value) noexcept;

struct steering_options {
    ip_address local;
    std::size_t max_flows{1U << 20U};
    std::uint16_t relay_port{6081};
    endpoint egress;
    std::size_t max_resolving{2000};  ///< unknown flows being resolved at once
    double probed_flows_per_second{5000.0};
};

/// A moment on both clocks.
using steering_time = placement_time;

enum class send_kind : std::uint8_t { to_upstream, to_caller, relay, probe, reset_caller, reset_upstream };

/// A datagram to send. The inner packet is `built` when that is not empty, and else `inner`, which points
/// into the event's packet.
struct send_effect {
    send_kind kind{send_kind::to_upstream};
    endpoint destination;
    relay_header relay;  ///< for `send_kind::relay`
    std::span<const std::byte> inner;
    std::vector<std::byte> built;

    [[nodiscard]] std::span<const std::byte> bytes() const noexcept { return built.empty() ? inner : built; }
};

/// What the caller of `apply` has to do, in order. Reused between calls, so that a packet of a known flow
/// allocates nothing.
struct steering_effects {
    std::vector<send_effect> sends;
    std::vector<drop_reason> drops;
    std::vector<flow_record> ended;     ///< flows that ended
    std::vector<ip_address> behind_of;  ///< peers that have a newer configuration

    void clear() noexcept;
};

/// Events. `inner` is a checked packet, `packet` its headers.
struct caller_packet {
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;  ///< `hash_flow` of the packet's flow
};
struct upstream_packet {
    endpoint source;  ///< outer source
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;
};
struct relay_packet {
    ip_address sender;
    relay_header header;
    std::span<const std::byte> inner;
    const ip_packet& packet;
    std::uint64_t hash;
};

/// A packet that waits for its flow's upstream, with the entry VM that it goes back to.
struct held_packet {
    ip_address origin;
    std::vector<std::byte> inner;
};

/// An unknown flow that this daemon resolves as owner: asks peers, then probes or places.
struct resolution {
    flow_key flow;
    service_id service{0};
    bool new_flow{false};           ///< placed when no peer knows it; a mid-flow packet is probed instead
    bool ends{false};               ///< the packet carries FIN or RST, so its failure is no broken flow
    std::vector<ip_address> peers;  ///< possible previous owners, asked one after the other
    std::size_t peers_tried{0};     ///< index of the one that is being asked
    std::uint8_t probes_sent{0};    ///< 0 while peers are asked
    std::vector<upstream_id> probed;
    std::vector<upstream_id> refused;  ///< hosts that answered RST
    std::uint32_t sequence{0};
    std::uint32_t acknowledgment{0};
    mono_time next_step;  ///< when to stop waiting for peers, or to probe again
    mono_time deadline;   ///< when the flow counts as not found
    std::vector<held_packet> held;
};

/// An entry VM that may own flows, or a leaving one that may still know some.
struct steering_peer {
    ip_address address;
    std::uint64_t key{0};
    bool can_own{true};
    std::uint32_t unanswered{0};  ///< relays since its last answer
    mono_time oldest_unanswered{};
    mono_time bypassed_until{};
};

/// A packet whose answer is timed.
struct latency_sample {
    std::uint64_t hash{0};
    mono_time sent{};
};

struct steering_totals {
    std::uint64_t relays{0};
    std::uint64_t resolutions{0};
    std::uint64_t placed{0};
    std::uint64_t refused_flows{0};
    std::uint64_t evicted_cached{0};
    std::uint64_t bypasses{0};
    std::uint64_t suspected{0};
    std::uint64_t handed_over{0};
};

/// State of the packet path of one daemon. Not thread-safe: the packet thread owns it.
struct steering_state {
    explicit steering_state(const steering_options& given, steering_time now);

    steering_options options;
    steering_time started;
    std::shared_ptr<const config_snapshot> config;
    std::vector<steering_peer> peers;  ///< own failure domain, the local daemon included
    mono_time membership_changed;
    bool leaving{false};
    /// The process was paused: its configuration and members may be old, so it places no new flow.
    bool refreshing{false};
    flow_table flows;
    placement_state placement;
    std::unordered_map<std::uint64_t, resolution> resolving;  ///< by flow hash
    token_bucket probe_tokens;
    std::vector<latency_sample> samples;
    std::size_t swept_bucket{0};
    token_bucket hand_over_bytes;
    mono_time last_update{};
    mono_time last_sweep{};
    steering_totals totals;
};

/// Replaces the configuration. Flows keep their upstreams.
void set_config(steering_state& state, std::shared_ptr<const config_snapshot> config, steering_time now);

/// Replaces the members. Only those of the local daemon's failure domain are used; without the local daemon
/// in the list it is the only owner.
void set_members(steering_state& state, const member_list& members, steering_time now);

/// Begins a planned stop: the local daemon owns nothing new and goes on forwarding.
void set_leaving(steering_state& state, steering_time now);

/// Decides on one event. Effects are appended to `out`; spans in them are valid as long as the event's.
void apply(steering_state& state, const caller_packet& event, steering_time now, steering_effects& out);
void apply(steering_state& state, const upstream_packet& event, steering_time now, steering_effects& out);
void apply(steering_state& state, const relay_packet& event, steering_time now, steering_effects& out);

/// Periodic work: resolutions in progress, silent flows, expired flows, speeds. Call every 10 ms or so.
void advance_clock(steering_state& state, steering_time now, steering_effects& out);

/// Whether a packet from outer `source` comes from an upstream of its inner source's service.
[[nodiscard]] bool is_from_upstream(const steering_state& state, const endpoint& source,
                                    const ip_packet& packet);

/// What is known of an open flow.
[[nodiscard]] std::optional<flow_record> find_flow(steering_state& state, const flow_key& flow,
                                                   steering_time now);

/// How a flow would be placed if it opened now.
struct placement_preview {
    ip_address owner;
    ip_address next_owner;  ///< equal to `owner` when there is no other
    service_id service{0};
    std::vector<upstream_id> candidates;  ///< best first
};

/// Errors: `not_found` when the destination is no service, `unavailable` without a configuration.
[[nodiscard]] result<placement_preview> preview_placement(const steering_state& state, const flow_key& flow,
                                                          steering_time now);

}  // namespace guavaramp
