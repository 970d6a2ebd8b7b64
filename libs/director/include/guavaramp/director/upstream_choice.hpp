#pragma once

#include <guavaramp/director/director.hpp>

#include <string>

namespace guavaramp {

/// Cost factor of an upstream in another failure domain than the director's. A link between failure domains
/// may fail while the callers on each side stay reachable, so new flows stay in the director's failure domain
/// until its upstreams carry this many times the load of the others. While the director's failure domain is
/// full, a share of the new flows goes to the others without regard to this factor, see domain_spill.hpp.
inline constexpr double other_failure_domain_cost = 8.0;
/// Additional cost of a flow whose caller waits for an answer, where an open flow without such a caller
/// costs 1.
inline constexpr double waiting_flow_cost = 4.0;
/// The cost of an upstream grows with a power of its answer time relative to the mean of the compared
/// upstreams of the service. With exponent 1, hosts of unequal speed are busy for equal shares of the time,
/// which keeps queues short under load; but while load is low, long requests on slow hosts are late although
/// fast hosts are idle. So the exponent is `max_answer_time_exponent` up to `low_utilisation`, 1 from
/// `high_utilisation` on, and in between on a straight line.
inline constexpr double max_answer_time_exponent = 4.0;
inline constexpr double low_utilisation = 0.45;
inline constexpr double high_utilisation = 0.75;
/// Bounds of that ratio. Speeds of hosts differ by 4 to 1 at most.
inline constexpr double min_answer_time_ratio = 0.4;
inline constexpr double max_answer_time_ratio = 2.5;
/// Time after which half of a measured difference from the mean is forgotten if the upstream has answered
/// nothing since: a host that was slow for a while gets flows again.
inline constexpr auto answer_time_half_life = std::chrono::milliseconds{4000};
/// Cost factor of an upstream that has just started: its requests take longer while its caches are cold.
inline constexpr double warming_up_cost = 1.6;
/// Cost factor of an upstream that new flows should avoid: it is chosen only if all others are avoided too.
inline constexpr double avoided_cost = 1000.0;
/// Numbers of upstreams that are compared for a new flow: those of the director's own failure domain, and
/// those of all failure domains. With these limits the time to place a flow does not grow with the hosts of
/// a service, and a director measures the answer times of these few sooner than those of all. The candidates
/// of the own failure domain are this director's subset of the list; each upstream is in the subsets of about
/// as many directors as any other. The limits are meant for 60
/// directors and a load of 80% of what 96 hosts of unequal speed can do.
/// A flow that goes to another failure domain, because the own one is full or has no upstream, gets as many
/// candidates from the others.
inline constexpr std::size_t max_own_domain_candidates = 24;
inline constexpr std::size_t max_all_domain_candidates = 4;

/// Returns the exponent of the answer time's cost at `utilisation`, the share of a service's slots that are
/// busy. Thread-safe.
[[nodiscard]] double answer_time_exponent_at(double utilisation) noexcept;

/// What this director's flows use of a service, and its share of the service.
struct service_use {
    double waiting_requests{0};  ///< outstanding requests at the upstreams that this director compares
    /// Slots that fall to this director if callers spread evenly over the failure domains and their
    /// directors.
    double slots{0};
};

/// Returns the use of `service` by this director's flows. Not thread-safe.
[[nodiscard]] service_use use_of_service(const director_state& state, const fleet_view& view,
                                         const std::string& service);

/// Updates the estimate of the utilisation of `service` in the director's failure domain, for a new flow. A
/// director sees only its own flows; the other directors of the failure domain get as many from the routers.
/// Not thread-safe.
void update_utilisation(director_state& state, const fleet_view& view, const std::string& service);

/// Returns the outstanding requests for each slot of `service` in the director's failure domain, see
/// `domain_utilisation`. Not thread-safe.
[[nodiscard]] double placement_utilisation(const director_state& state, const fleet_view& view,
                                           const std::string& service, mono_time now);

/// Records a new flow with `priority` to `service`. Not thread-safe.
void record_placement_opening(director_state& state, const fleet_view& view, const std::string& service,
                              std::uint32_t priority, mono_time now);

/// Records an answer of `target` to a request with `priority` after `answer_time`. Not thread-safe.
void record_placement_answer(director_state& state, const fleet_view& view, const known_upstream& target,
                             std::uint32_t priority, mono_time::duration answer_time, mono_time now);

/// Returns the number of services of which hosts are kept for urgent flows at `now`. Not thread-safe.
[[nodiscard]] std::size_t count_reserving_services(const director_state& state, const fleet_view& view,
                                                   mono_time now);

/// Returns the upstream of `service` for a new flow, or null if none takes new flows. It is the candidate
/// with the lowest cost, which is this director's load on it per slot, multiplied by the factors above; among
/// equal ones the first of this director's subset. If all candidates should be avoided, all upstreams of the
/// service are compared. `last_resort` is chosen only if there is no other. `priority` is that of the flow's
/// route. Not thread-safe.
[[nodiscard]] const known_upstream* choose_upstream(const director_state& state, const fleet_view& view,
                                                    const std::string& service, std::uint64_t flow_hash,
                                                    steering_tag last_resort, mono_time now,
                                                    std::uint32_t priority = 0);

}  // namespace guavaramp
