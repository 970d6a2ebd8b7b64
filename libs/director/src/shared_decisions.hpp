#pragma once

#include <guavaramp/director/director.hpp>

namespace guavaramp {

/// What the verdicts on packets and the work that is due without one have in common.

/// A request that has waited this long makes a host suspect if none of its flows has had an answer meanwhile.
/// Four times the usual work of a request.
inline constexpr auto request_answer_time = std::chrono::milliseconds{80};
/// Opening packets and requests that are waited for; beyond this only the callers' repeats are evidence.
inline constexpr std::size_t max_pending = 8192;

/// How much later than others this director tries an upstream again that has stalled. Not thread-safe.
[[nodiscard]] std::chrono::milliseconds trial_delay(const director_state& state, steering_tag tag) noexcept;

/// The upstream for a new flow of `matched`, or null when none of its services takes new flows. Not
/// thread-safe.
[[nodiscard]] const known_upstream* choose_for(const director_state& state, const fleet_view& view,
                                               const route& matched, const flow_tuple& flow,
                                               steering_tag except, mono_time now);

/// The host that a flow's opening packet went to has not answered: moves the flow to `chosen`. Returns the
/// silent host if it should be probed. Not thread-safe.
[[nodiscard]] const known_upstream* move_unopened(director_state& state, const fleet_view& view,
                                                  flow_entry& entry, const known_upstream& chosen,
                                                  mono_time now);

}  // namespace guavaramp
