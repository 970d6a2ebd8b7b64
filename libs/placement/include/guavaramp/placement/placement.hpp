#pragma once

#include <guavaramp/base/ids.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/config/model.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// What this daemon has observed of one upstream. Observations take precedence; reports of hosts are not
/// read.
struct upstream_observation {
    static constexpr std::size_t window = 24;

    mono_time first_seen{};   ///< when this daemon first saw the upstream; start of its slow start
    mono_time last_answer{};  ///< last packet of any flow from the upstream
    std::array<float, window> latencies_ms{};
    std::uint32_t samples{0};
    double low_latency_ms{0.0};     ///< low quantile of the window; 0 until there are enough samples
    double connect_ms{0.0};         ///< low estimate of the time from SYN to SYN-ACK
    double work_ms{0.0};            ///< low latency without the way; 0 until there are enough samples
    double recent_latency_ms{0.0};  ///< moving mean, which includes queueing
    mono_time measured_at{};        ///< last latency measurement
    double speed{1.0};              ///< relative to the service's median, moved slowly
    double placed{0.0};             ///< flows placed here, decaying
    mono_time placed_at{};
    double answered{0.0};  ///< decaying counts of answers and of unanswered opens and lost flows
    double failed{0.0};
    mono_time counted_at{};
    mono_time ejected_until{};
    std::uint32_t ejections{0};  ///< in a row; sets the next ejection's length
};

/// Observations of all upstreams. Not thread-safe: the packet thread owns it.
struct placement_state {
    std::unordered_map<std::uint32_t, upstream_observation> upstreams;
    bool slow_start{
        false};  ///< false until the first configuration is known: all hosts are new to a new daemon
};

struct placement_time {
    mono_time mono;
    wall_time wall;
};

/// An upstream choice for a flow and why.
struct placement_choice {
    const upstream* host{nullptr};
    bool less_loaded{false};  ///< the second candidate was taken
};

/// The first two candidates of a flow, best first. `second` may be null.
struct placement_candidates {
    const upstream* first{nullptr};
    const upstream* second{nullptr};
};

/// Makes known the upstreams of a configuration and forgets removed ones. Upstreams that appear after the
/// first call start slowly.
void observe_configuration(placement_state& state, const config_snapshot& config, mono_time now);

/// A packet came from `id`. `latency_ms` is the time from a caller's data to this answer, when measured.
void observe_answer(placement_state& state, upstream_id id, std::optional<double> latency_ms, mono_time now);

/// The host of `id` accepted a connection `latency_ms` after the SYN was sent.
void observe_connect(placement_state& state, upstream_id id, double latency_ms);

/// A flow of `id` got no answer or was lost.
void observe_failure(placement_state& state, upstream_id id, mono_time now);

/// Recomputes speeds relative to the median and decides ejections. Call about every 100 ms.
void update_service(placement_state& state, const service& value, placement_time now);

/// Candidates by weighted rendezvous over the hosts that take new flows at `now`. Hosts that are ejected are
/// left out. Both null when no host is active.
[[nodiscard]] placement_candidates find_candidates(const placement_state& state, const service& value,
                                                   std::uint64_t flow_hash, placement_time now);

/// Takes the less loaded candidate and counts the placement. `host` is null when no host is active.
[[nodiscard]] placement_choice choose_upstream(placement_state& state, const service& value,
                                               std::uint64_t flow_hash, placement_time now);

}  // namespace guavaramp
