#pragma once

#include "director_settings.hpp"

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/published_value.hpp>
#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/director/director.hpp>
#include <guavaramp/director/neighbours.hpp>
#include <guavaramp/telemetry/counters.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace guavaramp {

/// A decision as the packet thread hands it to the control thread, which writes the log lines.
struct decision_record {
    flow_tuple flow;
    verdict outcome{verdict::drop};
    decision_reason reason{decision_reason::no_configuration};
    std::uint32_t tag{0};
    std::uint64_t configuration_version{0};
    mono_time listing_as_of{};
    mono_time decided_at{};
    std::array<char, 40> request_id{};  ///< text of the caller's request id, empty when the packet has none
};

/// What a probe has shown, for the log.
struct probe_record {
    std::uint32_t tag{0};
    probe_outcome outcome{probe_outcome::silent};
    bool changed{false};
};

/// Records that wait for the control thread; further ones are counted as lost. One second of a daemon's
/// decisions at the design size (85 new flows and as many requests a second).
inline constexpr std::size_t record_ring_size = 256;

/// What the packet thread needs to talk to the other directors.
struct fleet_roster {
    fleet_keys keys;
    std::uint64_t incarnation{0};      ///< of this process
    std::vector<director_peer> peers;  ///< the others of the own failure domain
    std::vector<endpoint> readers;     ///< sockets for news of those that have an entry in the store
    bool listed{false};                ///< a reader's entry names this director
};

/// What the threads of the director share. Members are constructed before any thread and outlive all.
struct director_context {
    director_settings settings;
    counter_registry counters;
    published_value<fleet_view> view;
    published_value<fleet_roster> roster;
    published_value<std::optional<endpoint>> neighbour;  ///< takes packets while this director cannot decide
    spsc_ring<decision_record> decisions{record_ring_size};
    spsc_ring<probe_record> probes{record_ring_size};
    std::atomic<bool> wants_listing{false};       ///< a packet's tag needs a listing newer than the last
    std::atomic<bool> leaving{false};             ///< a planned stop has begun
    std::atomic<bool> stopped{false};             ///< the threads end
    std::atomic<std::int64_t> last_packet_ms{0};  ///< steady clock
};

}  // namespace guavaramp
