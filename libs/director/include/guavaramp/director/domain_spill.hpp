#pragma once

#include <guavaramp/director/decaying_sum.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// Decides which new flows go to another failure domain because the hosts of the director's own one are full.
///
/// Load pattern: the callers of one failure domain send 2.5 times their usual requests while the other
/// domains have spare capacity. With a fixed cost of other domains, a director that sees one flow in 45
/// finds an own-domain host without flows of its own for every new flow, so that all queues of the domain
/// are full while hosts elsewhere are idle. Instead, each director sends a share of its new flows to other
/// domains. The share is a continuous function of what the director has measured itself: it grows with the
/// utilisation of the own domain and falls when the answers from other domains take as long as those from
/// the own one. It has no state beside the moving averages, so it cannot build up and overshoot.

/// Time constant of the moving average of the utilisation. A director that sees one of 45 requests of 80
/// slots has two outstanding on average at full load; over 800 ms the average varies by about a fifth.
inline constexpr auto utilisation_time_constant = std::chrono::milliseconds{800};
/// No flow goes to another domain below this utilisation, because a partition between domains would break it.
/// Hosts of two slots have as many outstanding requests at two thirds of their capacity if directors choose
/// them without knowledge of each other's flows (M/M/2 queue).
inline constexpr double spill_start_utilisation = 1.25;
/// From this utilisation on, which such hosts reach at 80% of their capacity, flows spread evenly over the
/// slots of all domains.
inline constexpr double full_spill_utilisation = 2.25;
/// The share is not reduced while answers of the own domain take at least this many times as long as those of
/// the others, link delay included; if they take no longer, only `min_spill_weight` of it is left, by which
/// the director goes on measuring the others.
inline constexpr double full_spill_answer_ratio = 1.5;
inline constexpr double min_spill_weight = 0.1;
/// Weight of the newest answer in the moving averages of answer times. A mean over about 40 answers varies by
/// a sixth if 3% of the requests take seven times as long as the others.
inline constexpr double newest_domain_answer_weight = 0.05;

/// What a director has measured of a service in its own failure domain and in the others. Not thread-safe.
struct domain_answers {
    decaying_sum own_answer_seconds;  ///< sum of the answer times of the own domain's hosts
    double own_mean_ms{0};            ///< moving average; 0 before the first answer
    double other_mean_ms{0};          ///< the same of all other domains' hosts
};

/// The slots of a service that takes new flows, and the directors that share those of the own domain.
struct domain_capacity {
    double own_slots{0};
    double all_slots{0};
    std::size_t directors{0};  ///< of the own domain, this one included; 0 while not known
};

/// Records an answer after `answer_time` from a host of the own domain or another one. Not thread-safe.
void record_domain_answer(domain_answers& answers, bool is_own_domain, mono_time::duration answer_time,
                          mono_time now) noexcept;

/// Returns the outstanding requests for each slot of the own domain. The sum of answer times in a period,
/// divided by its length, is the mean number of outstanding requests (Little's law); the other directors of
/// the domain have as many as this one. 0 while the directors are not known or the domain has no slots.
/// Thread-safe.
[[nodiscard]] double domain_utilisation(const domain_answers& answers, const domain_capacity& capacity,
                                        mono_time now) noexcept;

/// Returns the share of new flows that go to other failure domains, from 0 to the other domains' share of the
/// slots. Thread-safe.
[[nodiscard]] double spill_share(const domain_answers& answers, const domain_capacity& capacity,
                                 mono_time now) noexcept;

/// Returns whether a flow with `flow_hash` belongs to the `share` of flows that the director with `seed`
/// sends to other domains. Thread-safe.
[[nodiscard]] bool is_spilled(std::uint64_t flow_hash, std::uint64_t seed, double share) noexcept;

}  // namespace guavaramp
