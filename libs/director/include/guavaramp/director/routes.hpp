#pragma once

#include <guavaramp/director/flow_packet.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// A service that a route sends new flows to. A weight of 0 sends none.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// What the operator has configured for one address and port.
struct route {
    std::string name;
    std::uint32_t address{0};  ///< IPv4, host byte order
    std::uint16_t port{0};
    std::vector<weighted_service> targets;

    friend bool operator==(const route&, const route&) = default;
};

/// One accepted version of the operator's configuration.
struct route_configuration {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::int64_t idle_timeout_ms{0};  ///< a flow that was idle for longer may be forgotten

    friend bool operator==(const route_configuration&, const route_configuration&) = default;
};

/// A configuration indexed by address and port. Immutable after `make_route_table`, so any thread may read
/// it.
struct route_table {
    std::uint64_t version{0};
    std::int64_t idle_timeout_ms{0};
    std::unordered_map<std::uint64_t, route> by_endpoint;
};

/// Indexes `configuration`. Of two routes with the same address and port the first is kept. Thread-safe.
[[nodiscard]] route_table make_route_table(const route_configuration& configuration);

/// The route that `flow` is addressed to, or null. Thread-safe.
[[nodiscard]] const route* find_route(const route_table& table, const flow_tuple& flow) noexcept;

/// The services of `of` in the order in which a new flow tries them: the first is drawn by weight from
/// `flow_hash`, so that copies of an opening packet draw the same one at every director; the others with a
/// weight follow in the configured order. Thread-safe.
[[nodiscard]] std::vector<const std::string*> services_in_order(const route& of, std::uint64_t flow_hash);

}  // namespace guavaramp
