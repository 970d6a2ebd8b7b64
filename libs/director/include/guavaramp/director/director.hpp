#pragma once

#include <guavaramp/director/flow_cache.hpp>
#include <guavaramp/director/flow_packet.hpp>
#include <guavaramp/director/host_health.hpp>
#include <guavaramp/director/peers.hpp>
#include <guavaramp/director/routes.hpp>
#include <guavaramp/director/upstreams.hpp>

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

/// What the platform has said, as one immutable value that the control thread publishes for the packet
/// thread.
struct fleet_view {
    std::string own_failure_domain;
    std::shared_ptr<const route_table> routes;        ///< null before the first configuration
    std::shared_ptr<const upstream_index> upstreams;  ///< null before the first listing
    /// Every change that the store confirmed before this time is in `upstreams`.
    mono_time listing_as_of{};
    /// Deadline until which `routes` may be taken as the newest version.
    mono_time routes_trusted_until{};
    /// Since when the store has answered without a failure; the maximum while it does not.
    mono_time steady_since{mono_time::max()};
    /// `suspended_time` when the times above were set.
    std::chrono::milliseconds suspended{};
};

/// `view` for a machine that has been suspended since it was made: routes and hosts as far as they are known,
/// and nothing that permits a reset. Thread-safe.
[[nodiscard]] fleet_view without_trust(fleet_view view);

enum class verdict : std::uint8_t { forward, reset, drop };

/// Why a packet got its verdict. Each value is a counter's label and the `reason` of a log line.
enum class decision_reason : std::uint8_t {
    placed,            ///< new flow
    placed_again,      ///< a copy of the opening packet; there is no other host
    placed_elsewhere,  ///< the first host left the opening packet unanswered
    known_flow,        ///< the flow's entry names the upstream
    tagged_flow,       ///< no entry; the packet's tag names the upstream
    no_configuration,
    no_route,
    no_route_unconfirmed,  ///< no route, but the configuration may be out of date
    no_listing,
    no_upstream,  ///< no upstream of the route's services takes new flows
    untagged,     ///< neither entry nor tag
    unknown_tag,  ///< the tag names no upstream that was ever listed
    unknown_tag_unconfirmed,
    upstream_gone,         ///< the upstream left the list for good
    upstream_unreachable,  ///< a probe has just failed
    upstream_stalled       ///< it accepts connections and has answered no request for a long time
};

inline constexpr std::size_t decision_reasons = 16;

/// Text forms for counters and log lines. Thread-safe.
[[nodiscard]] std::string_view to_string(verdict value) noexcept;
[[nodiscard]] std::string_view to_string(decision_reason value) noexcept;

/// What happens to a packet. The pointers lead into the view that the decision was made with.
struct decision {
    verdict outcome{verdict::drop};
    decision_reason reason{decision_reason::no_configuration};
    const known_upstream* target{nullptr};
    steering_tag tag{no_tag};  ///< written into a forwarded packet
    mono_time
        answered_request{};  ///< when the request was sent that this packet shows answered; or the epoch
    const known_upstream* probe{nullptr};  ///< an upstream that the packet makes suspect, to be probed now
    std::optional<host_note> note;         ///< for all directors of the failure domain
};

/// An opening packet that no host has answered yet. The director sends it to another host long before the
/// caller's own copy would come.
struct pending_open {
    flow_tuple flow;
    std::uint32_t sequence{0};
    mono_time due_at{};
    std::uint32_t hosts_tried{1};
    std::vector<std::byte> packet;  ///< as received
};

/// A request whose answer is due.
struct pending_answer {
    flow_tuple flow;
    mono_time sent_at{};
    mono_time due_at{};
};

/// A host whose overdue requests are looked at once other directors have had time to object.
struct stall_check {
    steering_tag tag{no_tag};
    mono_time due_at{};
};

/// This director's place among those of its failure domain. Each weighs another part of the list of
/// upstreams, so that they do not choose the same idle ones.
struct director_share {
    std::size_t index{0};
    std::size_t count{1};

    friend bool operator==(const director_share&, const director_share&) = default;
};

/// The share of the director at `self` among `peers`, the others; the same order everywhere. Thread-safe.
[[nodiscard]] director_share share_among(const endpoint& self, std::span<const director_peer> peers) noexcept;

/// The share of a director that does not know the others: somewhere, by its seed. Thread-safe.
[[nodiscard]] director_share share_without_roster(std::uint64_t seed) noexcept;

/// Everything that a director remembers between packets. Not thread-safe: one thread owns it.
struct director_state {
    /// Differs between directors, so that not all do the same at the same time.
    std::uint64_t seed{0};
    director_share share;
    flow_cache flows;
    std::unordered_map<std::uint32_t, host_health> health;  ///< by tag
    /// When a tag that no listing explains was first seen.
    std::unordered_map<std::uint32_t, mono_time> unexplained_tags;
    std::deque<pending_open> opens;      ///< by `due_at`
    std::deque<pending_answer> answers;  ///< by `due_at`
    std::deque<pending_answer> overdue;  ///< requests whose host was suspected before; by `due_at`
    std::deque<stall_check> stall_checks;
    mono_time last_answer{};     ///< of any host
    double recent_answer_ms{0};  ///< moving average over the last few answers of all hosts
};

/// Whether `view` says enough for a verdict on `packet`. A packet of an open flow needs the listing only: a
/// configuration decides where new flows go, and reading one with many routes takes a director with a slow
/// link several hundred milliseconds. Packets without a verdict wait, see `held_packets`. Not thread-safe.
[[nodiscard]] bool can_decide(const fleet_view& view, const flow_packet& packet) noexcept;

/// Decides what happens to a caller's packet, and learns from it. Without `can_decide` the verdict is to drop
/// it. Precondition: `now` does not go back. Not thread-safe.
[[nodiscard]] decision decide(director_state& state, const fleet_view& view, const flow_packet& packet,
                              mono_time now);

/// Remembers an opening packet that was forwarded, until a host answers. Not thread-safe.
void remember_open(director_state& state, const flow_packet& packet, std::span<const std::byte> bytes,
                   mono_time now);

/// The earliest time at which `collect_due` has work; `otherwise` when there is none before it. Forgets what
/// has been answered. Not thread-safe.
[[nodiscard]] mono_time next_due(director_state& state, mono_time otherwise);

/// An opening packet that goes to another host.
struct reopened_flow {
    flow_tuple flow;
    const known_upstream* target{nullptr};
    steering_tag tag{no_tag};
    std::vector<std::byte> packet;
};

/// What is due without a packet from a caller. Pointers lead into the view.
struct due_work {
    std::vector<reopened_flow> reopened;
    std::vector<const known_upstream*> probes;
    std::vector<host_note> notes;       ///< for all directors of the failure domain
    std::vector<steering_tag> stalled;  ///< upstreams that accept connections and answer no request
};

/// Finds opening packets and requests that have waited longer than a living host takes. Not thread-safe.
[[nodiscard]] due_work collect_due(director_state& state, const fleet_view& view, mono_time now);

/// What a note from another director asks for. Pointers lead into the view.
struct note_effect {
    std::optional<host_note> reply;    ///< to its sender
    std::optional<host_note> pass_on;  ///< to all directors of the failure domain
    const known_upstream* probe{nullptr};
};

/// Learns from a note of another director of the same failure domain. A note never makes a host unreachable
/// by itself: the receiver's own probe does. Not thread-safe.
[[nodiscard]] note_effect receive_note(director_state& state, const fleet_view& view, const host_note& note,
                                       mono_time now);

/// A flow that its caller should give up, with the sequence number that makes the reset acceptable.
struct flow_reset {
    flow_tuple flow;
    std::uint32_t sequence{0};
};

/// Takes the flows of an upstream out of the cache. To be called when it has become unreachable or has
/// stalled: its callers then learn it before they send their next request, which could not be repeated. Not
/// thread-safe.
[[nodiscard]] std::vector<flow_reset> take_flows_of(director_state& state, steering_tag tag);

/// The health record of the upstream behind `tag`. Not thread-safe.
[[nodiscard]] host_health& health_of(director_state& state, steering_tag tag);

/// The upstream, other than that of `suspect`, that was seen to answer last, within a second; or null. A
/// probe of it shows that silence is not the fault of this machine. Not thread-safe.
[[nodiscard]] const known_upstream* reference_for(const director_state& state, const fleet_view& view,
                                                  steering_tag suspect, mono_time now);

/// The listed upstreams whose last probe failed and whose next one is due. Not thread-safe.
[[nodiscard]] std::vector<steering_tag> due_probes(const director_state& state, const fleet_view& view,
                                                   mono_time now);

/// The machine has been suspended: verdicts on hosts that were in force before are not any longer, and
/// waiting times say nothing. Not thread-safe.
void note_suspension(director_state& state, mono_time now);

/// Forgets idle flows, and health and tags that no longer matter. To be called about once a second. Not
/// thread-safe.
void forget_old(director_state& state, const fleet_view& view, mono_time now);

}  // namespace guavaramp
