#pragma once

#include "entry_settings.hpp"

#include <guavaramp/base/published_value.hpp>
#include <guavaramp/config/model.hpp>
#include <guavaramp/membership/member.hpp>
#include <guavaramp/net/http.hpp>
#include <guavaramp/net/http_router.hpp>
#include <guavaramp/telemetry/counters.hpp>

#include <atomic>
#include <cstdint>
#include <set>

namespace guavaramp {

/// What the duties of one daemon share. Each duty is a class with its own thread that starts in its
/// constructor, adds its HTTP routes to `router` there, and stops and joins in its destructor.
struct entry_context {
    entry_settings settings;
    std::uint64_t incarnation{0};  ///< start time of this process in Unix milliseconds
    counter_registry counters;
    http_client client;
    http_router router;

    published_value<config_snapshot> config;  ///< written by the control thread only
    published_value<member_list> members;     ///< written by the control thread only

    /// Entry VMs that fault injection cuts off: no control, relay or HTTP traffic to or from them. Null means
    /// none. Written by the control thread's fault route.
    published_value<std::set<ip_address>> blocked_peers;

    /// The process was paused and its members and configuration are being refreshed; decide no new flow until
    /// then. Written by the control thread.
    std::atomic<bool> refreshing{false};

    std::atomic<bool> leaving{false};  ///< a planned stop has begun; the control thread announces it
    std::atomic<bool> stopped{false};  ///< all duties end
    std::atomic<std::int64_t> last_packet_unix_ms{
        0};  ///< written by the packet thread, read by the planned stop
    std::atomic<std::int64_t> requests_in_progress{0};
};

/// Whether fault injection cuts the daemon off from `peer`. Thread-safe.
[[nodiscard]] inline bool is_blocked(const entry_context& context, const ip_address& peer) {
    const auto blocked = context.blocked_peers.get();
    return blocked && blocked->contains(peer);
}

}  // namespace guavaramp
