#pragma once

#include <guavaramp/director/director.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace guavaramp {

/// A copy of an opening packet for the host that got the packet already.
struct extra_open {
    flow_tuple flow;
    const known_upstream* target{nullptr};  ///< points into the view
    steering_tag tag{no_tag};
    std::vector<std::byte> packet;
};

/// Records the opening packet `packet`, received as `bytes`, that `placed` forwards. Does nothing while
/// `state.hedging.limit` is 0. Not thread-safe.
void await_open(director_state& state, const fleet_view& view, const flow_packet& packet,
                const decision& placed, std::span<const std::byte> bytes, mono_time now);

/// Returns the copies of opening packets that have become late and that `record_late_open` allows. A flow
/// that was moved to another host meanwhile gets none. Not thread-safe.
[[nodiscard]] std::vector<extra_open> handle_late_opens(director_state& state, const fleet_view& view,
                                                        mono_time now);

/// Returns whether `service` is near its capacity as far as this director knows: its utilisation is high or
/// not known, or its answers or this director's requests come close to their limits. Not thread-safe.
[[nodiscard]] bool is_near_capacity(const director_state& state, const fleet_view& view,
                                    const std::string& service);

}  // namespace guavaramp
