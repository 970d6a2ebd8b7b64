#pragma once

#include <guavaramp/flow/steering.hpp>
#include <guavaramp/telemetry/counters.hpp>

#include <array>
#include <cstddef>

namespace guavaramp {

/// Counters of the packet path, looked up once. Thread-safe like the counters.
struct packet_counters {
    explicit packet_counters(counter_registry& registry);

    std::array<counter*, static_cast<std::size_t>(drop_reason::count_)> drops{};
    std::array<counter*, static_cast<std::size_t>(relay_kind::hand_over) + 1> relays{};
    std::array<counter*, static_cast<std::size_t>(flow_end::expired) + 1> ended{};
    counter& from_fabric;
    counter& from_upstreams;
    counter& from_peers;
    counter& to_upstreams;
    counter& to_callers;
    counter& relay_header_bytes;
    counter& hand_over_bytes;
    counter& probes;
    counter& probe_bytes;
    counter& resets_to_callers;
    counter& resets_to_upstreams;
    counter& send_failures;
    counter& flows_open;
    counter& flows_placed;
    counter& flows_refused;
    counter& flows_evicted;
    counter& flows_resolving;
    counter& resolutions;
    counter& owner_bypasses;
    counter& flows_suspected;
};

}  // namespace guavaramp
