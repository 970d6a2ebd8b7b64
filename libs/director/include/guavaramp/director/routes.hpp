#pragma once

#include <guavaramp/director/flow_packet.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// A service that a route sends new flows to. A service of weight 0 gets none.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// The operator's configuration for one address and port.
struct route {
    std::string name;
    std::uint32_t address{0};  ///< IPv4, host byte order
    std::uint16_t port{0};
    std::vector<weighted_service> targets;
    std::uint32_t priority{0};               ///< 0 is the most urgent
    std::chrono::milliseconds objective{0};  ///< answers that take longer are late; 0 if not configured
    /// Callers give up a request that takes longer; 0 if not configured.
    std::chrono::milliseconds time_limit{0};
    bool is_repeatable{false};  ///< its requests may run more than once

    friend bool operator==(const route&, const route&) = default;
};

/// How the operator lets the hosts of a service warm up after their start. How long a host is cold is in its
/// entry.
struct service_warmup {
    std::string service;
    /// Opening packets per second that a cold host may get; no limit if not configured, and none beyond the
    /// slack if 0.
    std::optional<double> openings_per_s;

    friend bool operator==(const service_warmup&, const service_warmup&) = default;
};

/// Time limit of a route that configures none.
inline constexpr auto default_time_limit = std::chrono::milliseconds{10000};

/// A version of the operator's configuration that was accepted.
struct route_configuration {
    std::uint64_t version{0};
    std::vector<route> routes;
    /// A flow that was idle for longer may be removed from the flow cache; 0 if not configured.
    std::int64_t idle_timeout_ms{0};
    std::vector<service_warmup> services;

    friend bool operator==(const route_configuration&, const route_configuration&) = default;
};

/// The routes of a configuration, indexed by address and port. A table does not change after
/// `make_route_table`, so any thread may read it.
struct route_table {
    std::uint64_t version{0};
    std::int64_t idle_timeout_ms{0};
    std::unordered_map<std::uint64_t, route> by_endpoint;
    /// The longest time limit of the routes to each service, by the service's name.
    std::unordered_map<std::string, std::chrono::milliseconds> time_limit_by_service;
    /// The services that state a rate for cold hosts, with opening packets per second.
    std::unordered_map<std::string, double> warmup_rate_by_service;
};

/// Returns the index of `configuration`. If two routes have the same address and port, the first is kept.
/// Thread-safe.
[[nodiscard]] route_table make_route_table(const route_configuration& configuration);

/// Returns the route for the service address and port of `flow`, or null if there is none. Thread-safe.
[[nodiscard]] const route* find_route(const route_table& table, const flow_tuple& flow) noexcept;

/// Returns how long a request to a host of `service` may take: the longest time limit of the routes to it, or
/// `default_time_limit` if there is no route to it. A host whose slots all hold such requests answers nothing
/// for as long. Thread-safe.
[[nodiscard]] std::chrono::milliseconds time_limit_of_service(const route_table& table,
                                                              const std::string& service) noexcept;

/// Returns the services of `matched` in the order in which a new flow tries them. The first one is drawn by
/// weight from `flow_hash`, so that copies of an opening packet get the same one at every director. The other
/// services with a weight above 0 follow in the configured order. Thread-safe.
[[nodiscard]] std::vector<const std::string*> services_in_order(const route& matched,
                                                                std::uint64_t flow_hash);

}  // namespace guavaramp
