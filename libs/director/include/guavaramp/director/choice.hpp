#pragma once

#include <guavaramp/director/director.hpp>

#include <string>

namespace guavaramp {

/// Cost of an upstream in another failure domain relative to one in the own. A link between failure domains
/// may be cut while each side's callers stay reachable, so flows stay inside until the own upstreams carry
/// many times the load of the others.
inline constexpr double other_failure_domain_cost = 8.0;
/// Cost of a flow whose caller waits for an answer, relative to an open flow that is idle now.
inline constexpr double waiting_flow_cost = 4.0;
/// Bounds of the cost of an upstream's answer time relative to the mean of its service: speeds differ by 4 to
/// 1 at most, and a few slow answers must not empty an upstream.
inline constexpr double least_speed_cost = 0.5;
inline constexpr double most_speed_cost = 2.0;
/// Cost of an upstream that has just started, whose requests take longer (cold caches).
inline constexpr double warming_up_cost = 1.6;
/// Cost of an upstream that should be avoided: it is taken only when all others are avoided too.
inline constexpr double avoided_cost = 1000.0;
/// Upstreams that a new flow is weighed against: of the own failure domain, and of all. The time that a new
/// flow takes does not grow with the hosts of a service, and a director has evidence of the answer times of
/// these few sooner than of all. They are this director's share of the list; as many others of its failure
/// domain weigh each of them as any other. Load pattern: 60 directors at 80% of what 96 hosts of unequal
/// speed can do.
inline constexpr std::size_t most_candidates = 24;
inline constexpr std::size_t most_other_candidates = 4;

/// The upstream of `service` that a new flow goes to, or null when none takes new flows: the one with the
/// least work of this director for its slots, weighted with the costs above; of equal ones that which comes
/// first in this director's share of the list. When all of the share should be avoided, all upstreams are
/// weighed. `except` is chosen only when there is no other. Not thread-safe.
[[nodiscard]] const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                                    const std::string& service, std::uint64_t flow_hash,
                                                    steering_tag except, mono_time now);

}  // namespace guavaramp
