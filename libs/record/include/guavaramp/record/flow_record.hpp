#pragma once

#include <guavaramp/base/ids.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/packet/ip_packet.hpp>

#include <cstdint>
#include <optional>

namespace guavaramp {

/// How the local daemon came to know a flow's upstream.
enum class placement_reason : std::uint8_t {
    first_candidate,     ///< chosen here as owner: first in rendezvous order
    less_loaded,         ///< chosen here as owner: second candidate, less loaded than the first
    learned_from_owner,  ///< a relayed packet came back with the upstream
    learned_from_peer,   ///< a previous owner knew the flow
    learned_from_probe,  ///< the host answered a keep-alive probe
    handed_over          ///< received in a planned stop
};

/// Why a flow ended, or that it has not.
enum class flow_end : std::uint8_t {
    open,
    closed,  ///< FIN from both sides
    reset_by_caller,
    reset_by_upstream,
    lost_at_upstream,  ///< silent: the host answers other flows but not this one; broken
    host_unreachable,  ///< silent: the host answers nobody; broken
    not_found,         ///< no host of the service recognised the flow; broken
    upstream_removed,  ///< its upstream's retention ended; broken
    expired            ///< no packet for the idle limit
};

/// Whether a flow that ended in this way counts as broken. Thread-safe.
[[nodiscard]] constexpr bool is_broken(flow_end value) noexcept {
    return value == flow_end::lost_at_upstream || value == flow_end::host_unreachable ||
           value == flow_end::not_found || value == flow_end::upstream_removed;
}

/// What one daemon knows about one flow.
struct flow_record {
    flow_key flow;
    service_id service{0};
    upstream_id upstream{0};
    placement_reason reason{placement_reason::first_candidate};
    config_revision revision{0};  ///< configuration in force when the upstream was chosen or learned
    ip_address owner;             ///< entry VM that owned the flow, as seen here
    wall_time first_seen{};
    wall_time last_from_caller{};
    wall_time last_from_upstream{};
    std::uint64_t relayed_packets{0};
    flow_end end{flow_end::open};
    std::optional<wall_time> ended_at;

    friend bool operator==(const flow_record&, const flow_record&) = default;
};

}  // namespace guavaramp
