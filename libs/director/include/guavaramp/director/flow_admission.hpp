#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/routes.hpp>

#include <chrono>
#include <cstdint>
#include <limits>

namespace guavaramp {

/// Decides which new flows a director refuses while the hosts of a service are overloaded.
///
/// Load pattern: a flood of several times what the hosts can do. Every host's queue is full, each answer
/// waits behind it and comes after its objective, so hosts work at full capacity for answers that are too
/// late. With fewer requests at a time the hosts do as much work, and the answers come in time. A director
/// limits the requests that its flows have outstanding at a service, from the answer times that it observes;
/// it needs no message from other directors, because all observe the same hosts.

/// Answers are in time with a margin for the spread of work times while the moving average of answer times is
/// at most this share of their objectives.
inline constexpr double max_objective_share = 0.65;
/// The service has room again below this share, and the limit grows fast.
inline constexpr double low_objective_share = 0.35;
/// Weight of the newest answer in that moving average.
inline constexpr double newest_objective_share_weight = 0.05;
/// Factor of a decrease of the limit, and least time between two: the requests that were sent before a
/// decrease are answered by then.
inline constexpr double limit_decrease_factor = 0.85;
inline constexpr auto limit_decrease_period = std::chrono::milliseconds{100};
/// Growth of the limit, in requests, while as many answers arrive as the limit allows requests.
inline constexpr double limit_increase = 2.0;
/// Growth factor of the limit, once in `limit_decrease_period`, while the service has room again.
inline constexpr double limit_recovery_factor = 1.25;
/// The limit is never below this many requests for each slot that falls to this director.
inline constexpr double min_requests_per_slot = 1.5;
/// Less urgent flows are refused from this share of the limit on, so that urgent ones find room.
inline constexpr double less_urgent_limit_share = 0.7;
/// A priority counts as in use for this long after its last new flow.
inline constexpr auto priority_retention = std::chrono::milliseconds{5000};
/// New flows of a route within `arrival_window` from which on some may be refused. Refusing flows of a route
/// that opens fewer would free no room.
inline constexpr std::uint32_t min_arrivals_to_refuse = 20;
inline constexpr auto arrival_window = std::chrono::milliseconds{1000};

/// New flows of one route that a director has seen lately.
struct route_arrivals {
    mono_time window_began_at{};
    std::uint32_t count{0};           ///< in the window that began then
    std::uint32_t previous_count{0};  ///< in the window before it
};

/// What a director has observed of a service, and the limit that follows from it. Not thread-safe.
struct service_load {
    double objective_share{0};  ///< moving average of answer time / objective; 0 before the first answer
    /// Outstanding requests of this director's flows from which on new flows are refused.
    double limit{std::numeric_limits<double>::infinity()};
    mono_time limit_changed_at{};
    std::uint32_t most_urgent_priority{0};  ///< of new flows in the last `priority_retention`
    mono_time most_urgent_seen_at{};
};

/// Records an answer after `answer_time` to a request of a route with `objective`, while this director's
/// flows have `waiting` requests outstanding at the service and `slots` of its slots fall to this director.
/// Routes without an objective (0) are not recorded. Not thread-safe.
void record_service_answer(service_load& load, mono_time::duration answer_time,
                           std::chrono::milliseconds objective, double waiting, double slots, mono_time now);

/// Records a new flow of a route. Returns whether the route opens enough flows for some to be refused. Not
/// thread-safe.
[[nodiscard]] bool record_arrival(route_arrivals& arrivals, mono_time now) noexcept;

/// Returns whether a new flow with `priority` can be answered in time, while this director's flows have
/// `waiting` requests outstanding at the service. Records the priority as in use. Not thread-safe.
[[nodiscard]] bool admits_flow(service_load& load, std::uint32_t priority, double waiting,
                               mono_time now) noexcept;

}  // namespace guavaramp
