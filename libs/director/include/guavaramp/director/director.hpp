#pragma once

#include <guavaramp/director/cold_hosts.hpp>
#include <guavaramp/director/domain_spill.hpp>
#include <guavaramp/director/flow_admission.hpp>
#include <guavaramp/director/flow_cache.hpp>
#include <guavaramp/director/flow_packet.hpp>
#include <guavaramp/director/hedged_open.hpp>
#include <guavaramp/director/host_health.hpp>
#include <guavaramp/director/mechanisms.hpp>
#include <guavaramp/director/peers.hpp>
#include <guavaramp/director/routes.hpp>
#include <guavaramp/director/upstreams.hpp>
#include <guavaramp/director/urgent_capacity.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// An immutable snapshot of the platform's state: the routes and the listed upstreams. The control thread
/// publishes it for the packet thread.
struct fleet_view {
    std::string own_failure_domain;
    std::shared_ptr<const route_table> routes;        ///< null before the first configuration was read
    std::shared_ptr<const upstream_index> upstreams;  ///< null before the first listing was read
    /// `upstreams` contains every change that the store confirmed before this time.
    mono_time listing_as_of{};
    /// Time at which a reader of the store last found `upstreams` complete. Unlike `listing_as_of`, this may
    /// come from a cached answer of the store or from another director's report.
    mono_time listing_verified_at{};
    /// Deadline until which `routes` counts as the newest version for opening packets.
    mono_time routes_fresh_until{};
    /// `routes` contains every version that the store confirmed before this time. Like `listing_as_of`, it
    /// comes from this director's own reads of the newest state alone: another director's report may have
    /// waited in the socket for longer than the age that it states.
    mono_time routes_as_of{};
    /// Start of the period in which the store has answered every call; `mono_time::max()` while the store
    /// does not answer.
    mono_time store_available_since{mono_time::max()};
    /// Value of `suspended_time()` when the times above were set. A higher value later shows that the machine
    /// was suspended in between.
    std::chrono::milliseconds suspended_time_at_refresh{};
};

/// Withholds the routes of `view` until the evacuated failure domains are known, so that a director that has
/// just started places no flow before. Thread-safe.
void withhold_routes_until_known(fleet_view& view, const evacuation_state& evacuations) noexcept;

/// Returns `view` marked as stale, for a machine that was suspended after `view` was made. Its routes and
/// upstreams stay usable, but no flow is reset because a route or an upstream is missing from it.
/// Thread-safe.
[[nodiscard]] fleet_view make_stale_view(fleet_view view);

enum class verdict : std::uint8_t { forward, reset, drop };

/// The reason of a packet's verdict. Each value is the label of a counter and the `reason` of a log line.
enum class decision_reason : std::uint8_t {
    placed,            ///< the packet opens a new flow
    placed_again,      ///< the opening packet was sent again to the flow's host
    placed_elsewhere,  ///< the flow's host is unreachable or silent, so another one gets the opening packet
    known_flow,        ///< the flow is in the flow cache, which names its upstream
    tagged_flow,       ///< the flow is not in the flow cache; the packet's tag names the upstream
    no_configuration,
    no_route,
    no_route_unconfirmed,  ///< no route matches, but the configuration may be stale
    no_listing,
    no_upstream,  ///< no upstream of the route's services takes new flows
    overloaded,   ///< the service is overloaded, and the flow would be answered too late
    untagged,     ///< the flow is not in the flow cache, and the packet has no tag
    unknown_tag,  ///< the tag names no known upstream, and a listing newer than the flow confirms it
    unknown_tag_unconfirmed,  ///< the tag names no known upstream; no listing confirms it, or too many are
                              ///< stored
    upstream_gone,            ///< the upstream was removed from the listing and has not returned in time
    upstream_unreachable,     ///< the last probe of the upstream failed a short time ago
    upstream_stalled          ///< the upstream accepts connections and has answered no request for long
};

inline constexpr std::size_t decision_reason_count = 17;

/// Returns the text form for counters and log lines. Thread-safe.
[[nodiscard]] std::string_view to_string(verdict value) noexcept;
[[nodiscard]] std::string_view to_string(decision_reason value) noexcept;

/// The decision on one packet. The pointers point into the view that the decision was made with.
struct decision {
    verdict outcome{verdict::drop};
    decision_reason reason{decision_reason::no_configuration};
    const known_upstream* target{nullptr};
    steering_tag tag{no_tag};  ///< written into a forwarded packet
    /// Send time of the request that this packet shows to be answered; the epoch if the packet shows none.
    mono_time answered_request_sent_at{};
    /// No route matches the packet of an open flow, and only a configuration that is read now can show
    /// whether the flow's route exists. The caller of `decide` should have it read.
    bool needs_newer_routes{false};
    /// A suspected upstream that the caller of `decide` should probe now; null if there is none.
    const known_upstream* probe_target{nullptr};
    std::optional<host_observation> observation;  ///< to be sent to all directors of the failure domain
};

/// An opening packet (SYN) that no host has answered yet. The director sends it again, and to another host if
/// the first one is unreachable, long before the caller would retransmit it.
struct pending_open {
    flow_tuple flow;
    std::uint32_t sequence{0};
    mono_time due_at{};
    mono_time expires_at{};  ///< deadline of the caller, which then gives up opening the flow
    std::uint32_t hosts_tried{1};
    std::vector<std::byte> packet;  ///< the packet as it was received
};

/// A request that its host has not answered yet.
struct pending_request {
    flow_tuple flow;
    mono_time sent_at{};
    mono_time due_at{};
};

/// A scheduled check whether a host has stalled. It runs at `due_at`, when other directors have had time to
/// object because the host answers them.
struct stall_check {
    steering_tag tag{no_tag};
    mono_time due_at{};
};

/// What a decision that a host has stalled rests on.
struct stall_evidence {
    steering_tag tag{no_tag};
    std::uint32_t overdue_requests{0};  ///< consecutive ones, of all directors of the failure domain
    mono_time unanswered_since{};       ///< send time of the first of these requests
    mono_time last_answer_at{};         ///< last answer of the host to any flow; the epoch if there was none
    double mean_answer_ms{0};           ///< moving average of the host's answer times; 0 if none was seen

    friend bool operator==(const stall_evidence&, const stall_evidence&) = default;
};

/// The flows of a host that has stalled, which are reset at `due_at` unless the host answers a request
/// before.
struct pending_stall_reset {
    stall_evidence evidence;
    mono_time due_at{};
    /// Other directors were asked whether the host has answered them; the flows are reset if none objects
    /// until `due_at`.
    bool asked_for_objections{false};
};

/// The subset of the upstreams of its failure domain that this director compares for new flows: number
/// `index` of `count` subsets, one for each director of the failure domain once these are known. Each
/// director compares a different part of the list, so that they do not all choose the same idle upstreams.
struct director_subset {
    std::size_t index{0};
    std::size_t count{1};

    friend bool operator==(const director_subset&, const director_subset&) = default;
};

/// Returns the subset of the director at `self`, where `peers` are the other directors. Subsets are numbered
/// by the directors' addresses, so all directors use the same order. Thread-safe.
[[nodiscard]] director_subset subset_among(const endpoint& self,
                                           std::span<const director_peer> peers) noexcept;

/// Returns the subset of a director that does not know the other directors yet. It begins at a position that
/// `seed` determines. Thread-safe.
[[nodiscard]] director_subset subset_from_seed(std::uint64_t seed) noexcept;

/// What a director has measured of a service for the placement of new flows.
struct placement_load {
    domain_answers answers;
    service_demand demand;
};

/// The state that a director keeps between packets. Not thread-safe: one thread owns it.
struct director_state {
    /// Differs between directors, so that they don't all make the same choice at the same time.
    std::uint64_t seed{0};
    director_subset subset;
    /// Directors of the failure domain, this one included; 0 while they are not known.
    std::size_t known_directors{0};
    cold_host_state cold_hosts;
    /// Moving average of each service's utilisation in the failure domain, by the service's name.
    std::unordered_map<std::string, double> utilisation;
    std::unordered_map<std::string, service_load> service_loads;          ///< by the service's name
    std::unordered_map<std::uint64_t, route_arrivals> arrivals_by_route;  ///< by address and port
    std::unordered_map<std::string, placement_load> placement_loads;      ///< by the service's name
    /// Requests that were sent before this time tell nothing about a service's load.
    mono_time load_observed_since{};
    mechanism_set mechanisms;
    flow_cache flows;
    std::unordered_map<std::uint32_t, host_health> health;  ///< by tag
    /// The flows whose tag names no known upstream, and the time of each one's first packet here.
    std::unordered_map<flow_tuple, mono_time> flows_with_unknown_tag;
    std::deque<pending_open> pending_opens;  ///< ordered by `due_at`
    hedged_opens hedging;                    ///< extra opening packets; off while its limit is 0
    /// Requests whose host becomes suspect at `due_at` if it has not answered; ordered by `due_at`.
    std::deque<pending_request> pending_requests;
    /// Requests that passed the deadline in `pending_requests` without an answer and that become overdue at
    /// `due_at`; ordered by `due_at`.
    std::deque<pending_request> slow_requests;
    std::deque<stall_check> stall_checks;                   ///< ordered by `due_at`
    std::vector<pending_stall_reset> pending_stall_resets;  ///< one for each host at most; not ordered
    mono_time last_answer_at{};                             ///< time of the last answer of any host
    double recent_answer_ms{0};  ///< moving average over the last few answers of all hosts
};

/// Returns whether `view` contains enough for a verdict on `packet`. A packet of an open flow needs only a
/// listing with the upstream that its tag names. A new flow needs the configuration too, and reading one with
/// many routes takes a director with a slow link several hundred milliseconds. Packets that cannot be decided
/// yet are passed on to a neighbour or kept in `held_packets`. Not thread-safe.
[[nodiscard]] bool can_decide(const fleet_view& view, const flow_packet& packet) noexcept;

/// Decides what happens to a caller's packet, and updates the flow cache and the host's health from it. If
/// `can_decide` is false for it, the verdict is to drop the packet, or to reset the flow if no route matches
/// and the routes are fresh.
///
/// A packet of an open flow that matches no route goes to its host by its tag, because the route may be newer
/// than `view.routes`. The flow is reset once the routes are known to be newer than the flow's first packet
/// here. Precondition: `now` is never earlier than in a previous call. Not thread-safe.
[[nodiscard]] decision decide(director_state& state, const fleet_view& view, const flow_packet& packet,
                              mono_time now);

/// Stores a forwarded opening packet until a host answers it, so that `handle_timeouts` can retry it. Stores
/// nothing if too many opening packets are pending already. Not thread-safe.
void add_pending_open(director_state& state, const flow_packet& packet, std::span<const std::byte> bytes,
                      mono_time now);

/// Returns the earliest time at which `handle_timeouts` has work, at most `otherwise`. Removes pending opens
/// and requests at the head of their queues that have been answered. Not thread-safe.
[[nodiscard]] mono_time next_timeout_at(director_state& state, mono_time otherwise);

/// An opening packet that is sent again because no host has answered it.
struct retried_open {
    flow_tuple flow;
    const known_upstream* target{nullptr};
    steering_tag tag{no_tag};
    /// `placed_again` for the same host, `placed_elsewhere` for another one.
    decision_reason reason{decision_reason::placed_again};
    std::vector<std::byte> packet;
};

/// The actions that expired timeouts require. Pointers point into the view.
struct timeout_actions {
    std::vector<retried_open> retried_opens;
    std::vector<const known_upstream*> probes;   ///< upstreams to probe now
    std::vector<host_observation> observations;  ///< to be sent to all directors of the failure domain
    std::vector<stall_evidence> stalled;         ///< upstreams that have stalled, which new flows avoid
    /// Upstreams that have stalled and have answered no request for longer than one may take. Their open
    /// flows are to be reset.
    std::vector<stall_evidence> unresponsive;
};

/// Handles opening packets and requests that have waited for an answer longer than a healthy host takes, and
/// stall checks that are due. Not thread-safe.
[[nodiscard]] timeout_actions handle_timeouts(director_state& state, const fleet_view& view, mono_time now);

/// The actions that an observation from another director requires. Pointers point into the view.
struct observation_effect {
    std::optional<host_observation> reply;        ///< to be sent to the sender of the observation
    std::optional<host_observation> forward;      ///< to be sent to all directors of the failure domain
    const known_upstream* probe_target{nullptr};  ///< an upstream to probe now; null if there is none
};

/// Updates the host's health from an observation of another director of the same failure domain. An
/// observation alone never makes a host unreachable: only a failed probe by the receiver does. Not
/// thread-safe.
[[nodiscard]] observation_effect handle_observation(director_state& state, const fleet_view& view,
                                                    const host_observation& observation, mono_time now);

/// Returns the least time between two refused probes that show that `upstream` has ended. A draining host
/// stops listening before it sends its last answers, so while it is listed this is as long as a request to it
/// may take. An entry is removed when its host has left, so an unlisted upstream needs less evidence.
/// Thread-safe.
[[nodiscard]] std::chrono::milliseconds refusal_interval_of(const fleet_view& view,
                                                            const known_upstream& upstream) noexcept;

/// A flow to be reset, with the sequence number that makes the caller accept the RST.
struct flow_reset {
    flow_tuple flow;
    std::uint32_t sequence{0};
};

/// Removes the established flows of an upstream from the flow cache and returns their resets. To be called
/// when the upstream has become unreachable or unresponsive: its callers then get the reset before they send
/// their next request, which they could not safely repeat. Not thread-safe.
[[nodiscard]] std::vector<flow_reset> remove_flows_of(director_state& state, steering_tag tag);

/// Returns the health record of the upstream with `tag`, and creates it if there is none. Not thread-safe.
[[nodiscard]] host_health& health_of(director_state& state, steering_tag tag);

/// Returns the upstream other than `suspect` that made progress most recently, or null if none did within the
/// last second. A successful probe of it shows that the silence of `suspect` is not the fault of this
/// machine. Not thread-safe.
[[nodiscard]] const known_upstream* find_reference_upstream(const director_state& state,
                                                            const fleet_view& view, steering_tag suspect,
                                                            mono_time now);

/// Returns the tags of the listed upstreams whose last probe failed or was refused while they were draining,
/// and whose next probe is due. Not thread-safe.
[[nodiscard]] std::vector<steering_tag> due_probes(const director_state& state, const fleet_view& view,
                                                   mono_time now);

/// Records that the machine was suspended. Hosts no longer count as unreachable because of earlier probes.
/// Pending and overdue requests, stall checks, refused probes of draining hosts and flows with unknown tags
/// are discarded, because the time since they were recorded proves nothing. Includes `record_pause`. Not
/// thread-safe.
void record_suspension(director_state& state, mono_time now);

/// Records that this process did not run for a while. Limits on new flows end, and answers to earlier
/// requests do not set new ones: they are late here because they waited in this director's socket. Not
/// thread-safe.
void record_pause(director_state& state, mono_time now);

/// Removes idle flows, old unknown tags, and the health of upstreams that are no longer known. To be called
/// about once a second. Not thread-safe.
void remove_expired_state(director_state& state, const fleet_view& view, mono_time now);

}  // namespace guavaramp
