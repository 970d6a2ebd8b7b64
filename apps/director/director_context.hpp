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
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// A packet decision that the packet thread passes to the control thread, which logs it.
struct decision_record {
    flow_tuple flow;
    verdict outcome{verdict::drop};
    decision_reason reason{decision_reason::no_configuration};
    std::uint32_t tag{0};
    std::uint64_t configuration_version{0};
    mono_time routes_as_of{};   ///< every configuration confirmed by the store before this time was known
    mono_time listing_as_of{};  ///< every change confirmed by the store before this time was known
    mono_time decided_at{};
    std::array<char, 40> request_id{};  ///< NUL-terminated; empty if the packet has no request id
};

/// The result of a probe that the packet thread passes to the control thread, which logs it.
struct probe_record {
    std::uint32_t tag{0};
    probe_outcome outcome{probe_outcome::silent};
    bool reachability_changed{false};  ///< the result made the upstream reachable or unreachable
};

enum class stall_event : std::uint8_t {
    avoided,      ///< the upstream has stalled, and new flows avoid it
    flows_reset,  ///< it has answered nothing for longer than a request may take, and its flows were reset
    ended         ///< it has answered a request again
};

/// A decision about a stalled upstream that the packet thread passes to the control thread, which logs it.
struct stall_record {
    std::uint32_t tag{0};
    stall_event event{stall_event::avoided};
    std::uint32_t stalled_for_ms{0};    ///< time since it was avoided; only for `stall_event::ended`
    std::uint32_t overdue_requests{0};  ///< consecutive ones
    std::uint32_t unanswered_ms{0};     ///< how long the first of these has waited
    /// Time since the upstream's last answer to any flow; none if it has answered nothing here.
    std::optional<std::uint32_t> last_answer_age_ms;
    std::uint32_t mean_answer_ms{0};  ///< moving average of its answer times; 0 if none was seen
};

/// Capacity of each queue of log records from the packet thread to the control thread; further records are
/// counted as lost. Holds at least one second of a daemon's decisions at the design size (85 new flows and as
/// many requests per second).
inline constexpr std::size_t log_ring_capacity = 256;

/// The other directors of this failure domain, with what is needed to exchange authenticated messages
/// with them.
struct director_membership {
    fleet_keys keys;
    std::uint64_t incarnation{0};              ///< incarnation of this process
    std::vector<director_peer> peers;          ///< all other directors of the failure domain
    std::vector<endpoint> registered_readers;  ///< `news` addresses of the readers with an entry in the store
    bool named_by_reader{false};               ///< the entry of a reader names this director
};

/// State that the threads of the director share. It is constructed before the threads start and outlives
/// them.
struct director_context {
    director_settings settings;
    counter_registry counters;
    published_value<fleet_view> view;
    published_value<director_membership> membership;
    published_value<std::optional<endpoint>>
        neighbour;  ///< packet address; used while this director cannot decide packets
    spsc_ring<decision_record> decision_records{log_ring_capacity};
    spsc_ring<probe_record> probe_records{log_ring_capacity};
    spsc_ring<stall_record> stall_records{log_ring_capacity};
    std::atomic<bool> listing_refresh_requested{
        false};  ///< a packet has a tag that only a newer listing may explain
    std::atomic<bool> routes_refresh_requested{
        false};  ///< a packet of an open flow matches no route, which only newer routes may explain
    std::atomic<bool> planned_stop_started{false};  ///< readiness checks fail from now on
    std::atomic<bool> threads_must_exit{false};     ///< tells the threads to end
    std::atomic<std::int64_t> last_packet_ms{0};    ///< arrival time of the last packet, steady clock
};

}  // namespace guavaramp
