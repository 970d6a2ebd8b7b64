#pragma once

#include <guavaramp/director/routes.hpp>
#include <guavaramp/director/upstreams.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Finds what a configuration states in vain or in contradiction to itself, before an operator sends it.

/// What is wrong with an entry of the configuration.
enum class review_kind : std::uint8_t {
    route_hidden,           ///< an earlier route has the same address and port
    target_without_weight,  ///< the target of a route has weight 0
    target_without_hosts,   ///< the listing has no ready host of a target's service
    service_unused,         ///< no route leads to a service that states how its hosts warm up
    /// The time limit is below the objective, so that requests fail before they are late.
    time_limit_below_objective,
    idle_timeout_below_time_limit,   ///< a flow is removed while its caller still waits
    hedge_without_repeatable_route,  ///< extra opening packets are allowed, but no route of a service may
                                     ///< get them
    warmup_rate_above_slots          ///< a cold host's slots cannot serve the service's rate
};

/// An entry of the configuration that is wrong.
struct review_finding {
    review_kind kind;
    std::size_t position{0};  ///< in `services` for `service_unused` and `warmup_rate_above_slots`, 0 for
                              ///< `idle_timeout_below_time_limit`, else in `routes`
    std::size_t target{0};    ///< position in the route's `targets`, for findings about a target
    /// Position of the route that hides this one, or that has the longest time limit.
    std::size_t other{0};
    double rate_limit{0};  ///< for `warmup_rate_above_slots`: requests per second that a host's slots serve

    friend bool operator==(const review_finding&, const review_finding&) = default;
};

/// What is known of the deployment that the configuration is for.
struct review_context {
    std::optional<std::vector<upstream_report>> listing;  ///< nothing: what needs hosts is not checked
    double hedge_limit{0};  ///< largest share of extra opening packets; 0 if there are none
};

/// Returns what is wrong, at most one finding of a kind for each route, target and service: first what never
/// matches, then limits that contradict each other.
///
/// A limit that is not configured contradicts nothing, except that `default_time_limit` is compared with the
/// objective. What a host can serve is not configured either: a slot counts as serving one request in the
/// shortest objective of the routes to its service, because answers that take longer are late. The ready host
/// with the fewest slots is compared with the service's rate. Thread-safe.
[[nodiscard]] std::vector<review_finding> review_configuration(const route_configuration& configuration,
                                                               const review_context& context);

}  // namespace guavaramp
