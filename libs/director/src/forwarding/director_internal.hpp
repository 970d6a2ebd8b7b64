#pragma once

#include <guavaramp/director/director.hpp>

namespace guavaramp {

/// Declarations that the decisions on packets and the handling of timeouts share.

/// A request makes its host suspect if it has waited for this multiple of the service's mean answer time, and
/// the host has answered no flow meanwhile. At a multiple of less than two a service with answers of 50 ms
/// had most of its slow requests probed, which were a quarter of all connections to its hosts.
inline constexpr double suspicious_answer_multiple = 4.0;
/// Bounds of that time. The lower one, four answers of 20 ms, holds until answers are measured. The upper one
/// leaves time for a probe before a request counts as overdue after 400 ms.
inline constexpr auto min_suspicion_timeout = std::chrono::milliseconds{80};
inline constexpr auto max_suspicion_timeout = std::chrono::milliseconds{200};
/// The share of a route's objective after which its requests make the host suspect at the latest, so that
/// after a probe the caller can still be answered in time by another host.
inline constexpr double max_suspicion_objective_share = 0.4;
/// Time after which an unanswered opening packet is sent again and its host is probed. A healthy host answers
/// within a round trip, at most 10 ms between failure domains; the rest is processing time of the host.
inline constexpr auto open_timeout = std::chrono::milliseconds{40};
/// Time after which a caller gives up opening a flow.
inline constexpr auto caller_open_timeout = std::chrono::milliseconds{1400};
/// Limit of each queue of opening packets, requests and stall checks. For further opening packets and
/// requests only the callers' retransmissions show that the host does not answer.
inline constexpr std::size_t max_pending = 8192;

/// Returns the jitter by which this director delays its trial of an upstream that has stalled. It differs
/// between directors and is below `max_trial_jitter`. Not thread-safe.
[[nodiscard]] std::chrono::milliseconds trial_jitter(const director_state& state, steering_tag tag) noexcept;

/// Returns how long a request of the route `matched` waits for its answer until its host becomes suspect.
/// `matched` is null if the routes are not known. Not thread-safe.
[[nodiscard]] mono_time::duration suspicion_timeout_of(const director_state& state, const route* matched,
                                                       const std::string& service) noexcept;

/// Adds `request` to `queue`, which stays ordered by `due_at`. Routes differ in these times by little, so the
/// position is near the end. Not thread-safe.
void insert_by_due_time(std::deque<pending_request>& queue, const pending_request& request);

/// Returns the upstream for a new flow of the route `matched`, or null if none of its services takes new
/// flows. `last_resort` is chosen only if its service has no other upstream. Not thread-safe.
[[nodiscard]] const known_upstream* choose_upstream_for(const director_state& state, const fleet_view& view,
                                                        const route& matched, const flow_tuple& flow,
                                                        steering_tag last_resort, mono_time now);

/// Times that a director repeats an opening packet for the same host before the caller repeats it.
inline constexpr std::uint32_t max_opening_repetitions = 2;
/// Copies that a caller has sent, 200 and 600 ms after its opening packet, when another host may get the
/// packet without a failed probe. A host repeats its answer after 200 ms, so that one lost answer is no
/// reason to move.
inline constexpr std::uint32_t min_caller_copies_to_move = 2;

/// Returns whether the host of an unanswered opening packet is unreachable, replaced at its address, or no
/// longer known, so that another host may get the packet. As long as a probe has not shown that, the host may
/// hold the flow although its answer was lost. With a second host the flow would have two: the answers of
/// both change the tag in the caller's packets, and a director without an entry of the flow would follow the
/// wrong one. A probe that has waited for `open_timeout` while another host has answered counts too: with the
/// opening packet and its repetition, four packets to the host are unanswered then. Not thread-safe.
[[nodiscard]] bool may_move_open(const director_state& state, const fleet_view& view, const flow_entry& entry,
                                 mono_time now) noexcept;

/// Records that the host of a flow has not answered the opening packet, which is now sent to `chosen`: the
/// same host or, if `may_move_open` holds, another one. Returns the silent host if it should be probed now,
/// otherwise null. Not thread-safe.
[[nodiscard]] const known_upstream* move_unanswered_open(director_state& state, const fleet_view& view,
                                                         flow_entry& entry, const known_upstream& chosen,
                                                         mono_time now);

}  // namespace guavaramp
