#include <guavaramp/director/routes.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

std::uint64_t endpoint_key(std::uint32_t address, std::uint16_t port) noexcept {
    return (std::uint64_t{address} << 16U) | port;
}

std::uint64_t total_weight(const route& matched) noexcept {
    std::uint64_t total = 0;
    for (const auto& target : matched.targets) {
        total += target.weight;
    }
    return total;
}

}  // namespace

route_table make_route_table(const route_configuration& configuration) {
    route_table table{.version = configuration.version,
                      .idle_timeout_ms = configuration.idle_timeout_ms,
                      .by_endpoint = {},
                      .time_limit_by_service = {},
                      .warmup_rate_by_service = {}};
    for (const auto& service : configuration.services) {
        if (service.openings_per_s) {
            table.warmup_rate_by_service.emplace(service.service, *service.openings_per_s);
        }
    }
    table.by_endpoint.reserve(configuration.routes.size());
    for (const auto& configured : configuration.routes) {
        table.by_endpoint.emplace(endpoint_key(configured.address, configured.port), configured);
        const bool is_limited = configured.time_limit > std::chrono::milliseconds{0};
        const auto time_limit = is_limited ? configured.time_limit : default_time_limit;
        for (const auto& target : configured.targets) {
            auto& longest = table.time_limit_by_service[target.service];
            longest = std::max(longest, time_limit);
        }
    }
    return table;
}

std::chrono::milliseconds time_limit_of_service(const route_table& table,
                                                const std::string& service) noexcept {
    const auto found = table.time_limit_by_service.find(service);
    return found == table.time_limit_by_service.end() ? default_time_limit : found->second;
}

const route* find_route(const route_table& table, const flow_tuple& flow) noexcept {
    const auto found = table.by_endpoint.find(endpoint_key(flow.service_address, flow.service_port));
    return found == table.by_endpoint.end() ? nullptr : &found->second;
}

std::vector<const std::string*> services_in_order(const route& matched, std::uint64_t flow_hash) {
    std::vector<const std::string*> order;
    const std::uint64_t total = total_weight(matched);
    if (total == 0) {
        return order;
    }
    std::uint64_t drawn = flow_hash % total;
    const weighted_service* first = nullptr;
    for (const auto& target : matched.targets) {
        if (drawn < target.weight) {
            first = &target;
            break;
        }
        drawn -= target.weight;
    }
    order.push_back(&first->service);
    for (const auto& target : matched.targets) {
        if (&target != first && target.weight > 0) {
            order.push_back(&target.service);
        }
    }
    return order;
}

}  // namespace guavaramp
