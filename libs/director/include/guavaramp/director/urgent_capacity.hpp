#pragma once

#include <guavaramp/director/decaying_sum.hpp>
#include <guavaramp/director/upstreams.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace guavaramp {

/// Keeps a share of a service's hosts for urgent flows while the service is near its capacity.
///
/// Load pattern: a flood of four times the usual requests of a service. An urgent class opens one flow for
/// each request, another class keeps long flows open. The urgent requests alone would fit, but the long
/// flows fill every host's queue, so that hosts refuse requests of both classes alike. A long flow occupies
/// hosts for its whole life, so refusing new ones helps too late. Therefore the long flows avoid as many
/// hosts as the urgent class needs. All directors order the hosts by the same hash, and the hosts that are
/// kept come first in this order, so directors whose measurements differ disagree about few hosts.

/// Time constant of the moving averages of demand. A director that sees 10 urgent requests/s counts 20 in
/// this time and so is wrong by about a quarter.
inline constexpr auto demand_time_constant = std::chrono::milliseconds{2000};
/// Hosts are kept for urgent flows from `reserve_utilisation` outstanding requests a slot on, until there are
/// fewer than `release_utilisation`: less urgent flows then use all hosts again. Between the two nothing
/// changes, so that a director does not alternate.
inline constexpr double reserve_utilisation = 1.25;
inline constexpr double release_utilisation = 0.75;
/// Share of their capacity at which the kept hosts serve the urgent demand. It leaves room for the error of
/// the directors' measurements, about a fifth, and for uneven spread over the kept hosts.
inline constexpr double kept_host_utilisation = 0.55;
/// A less urgent flow avoids this many times the hosts that its director computes as kept. The shares of
/// directors differ by about a fifth, and a few long flows from directors with low shares fill the last of
/// the hosts that the others count on.
inline constexpr double avoided_share_factor = 1.25;
/// The share of the hosts that is kept at most. Urgent demand above it uses all hosts.
inline constexpr double max_kept_share = 0.9;
/// Cost factor of a kept host for a less urgent flow, and of the other hosts for an urgent one. It is far
/// above the differences of load that a director sees, and below the cost of a host that does not answer.
inline constexpr double wrong_class_cost = 30.0;
/// Answer times of the kept hosts between these multiples of the mean count as equal for an urgent flow. An
/// average over 25 answers, of which 3% take seven times as long, varies by a fifth; a director that follows
/// such differences sends all its urgent flows to the same few hosts.
inline constexpr double min_clear_answer_ratio = 0.7;
inline constexpr double max_clear_answer_ratio = 1.4;
/// A host with a full queue refuses a request within a round trip. While the service is near its capacity an
/// answer that takes less than this share of the mean is such a refusal and no measure of the work.
inline constexpr double min_work_sample_ratio = 0.25;
/// An answer counts in the average of the work with at most this many times the average, so that single long
/// requests do not move a director's share.
inline constexpr double max_work_sample_ratio = 3.0;
/// Number of recent requests that the moving average of the work stands for. If 3% of the requests take seven
/// times as long as the others, a mean of 60 requests varies by a seventh.
inline constexpr std::uint32_t averaged_requests = 60;

/// What a director's flows of one priority ask of a service.
struct priority_demand {
    decaying_sum opened_flows;
    decaying_sum answered_requests;
    double work_ms{0};  ///< moving average of a request's answer time without queue; 0 before the first
    std::uint32_t measured_requests{0};  ///< requests in the average, up to `averaged_requests`
};

/// The demand of all priorities of a service. Not thread-safe.
struct service_demand {
    std::map<std::uint32_t, priority_demand> by_priority;  ///< 0 is the most urgent
    bool is_reserving{false};                              ///< hosts are kept for urgent flows
};

/// The hosts of a service that a flow should use, by their rank in [0, 1), see `make_urgent_ranks`.
struct rank_range {
    double begin{0};
    double end{1};

    friend bool operator==(const rank_range&, const rank_range&) = default;
};

/// Records a new flow, and whether hosts are kept at `utilisation`, the service's outstanding requests for
/// each slot. Not thread-safe.
void record_opened_flow(service_demand& demand, std::uint32_t priority, double utilisation, mono_time now);

/// Records an answer to a request of `priority` after `answer_time` at `utilisation`. Not thread-safe.
void record_answered_request(service_demand& demand, std::uint32_t priority, mono_time::duration answer_time,
                             double utilisation, mono_time now);

/// Returns the slots that the requests of `demand` keep busy, of this director's flows. A flow counts with
/// the requests that flows of its priority carry. Thread-safe.
[[nodiscard]] double slots_needed(const priority_demand& demand, mono_time now) noexcept;

/// Returns the ranks of the hosts that a flow of `priority` should use, where `slots` of the service's slots
/// fall to this director: all hosts while the service has spare capacity or is used by one priority only. A
/// flow avoids the hosts that more urgent flows need, and the most urgent one also those that are not kept
/// for it. Thread-safe.
[[nodiscard]] rank_range hosts_for_priority(const service_demand& demand, std::uint32_t priority,
                                            double slots, mono_time now) noexcept;

/// Returns the rank in [0, 1) of each upstream of `index`, by its position: the share of the slots of its
/// service in its failure domain that come before it in the order of a hash of the delivery id. When a host
/// joins or leaves, the order of the others does not change. Upstreams that take no new flows have rank 0.
/// Thread-safe.
[[nodiscard]] std::vector<double> make_urgent_ranks(const upstream_index& index);

}  // namespace guavaramp
