#include <guavaramp/director/configuration_review.hpp>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

/// What the routes to a service have in common.
struct service_summary {
    std::size_t first_route{0};
    std::size_t first_target{0};
    bool has_repeatable_route{false};
    milliseconds shortest_objective{0};  ///< 0 if no route states one
};

using service_summaries = std::unordered_map<std::string, service_summary>;

/// The fewest slots of a ready host, by the service's name.
using slots_by_service = std::unordered_map<std::string, std::uint32_t>;

/// Returns the summaries of the services that routes send new flows to.
service_summaries summarize_services(const std::vector<route>& routes) {
    service_summaries summaries;
    for (std::size_t position = 0; position < routes.size(); ++position) {
        const auto& item = routes[position];
        for (std::size_t target = 0; target < item.targets.size(); ++target) {
            if (item.targets[target].weight == 0) {
                continue;
            }
            auto& summary = summaries
                                .try_emplace(item.targets[target].service,
                                             service_summary{.first_route = position, .first_target = target})
                                .first->second;
            summary.has_repeatable_route |= item.is_repeatable;
            const bool is_shorter =
                summary.shortest_objective == milliseconds{0} || item.objective < summary.shortest_objective;
            if (item.objective > milliseconds{0} && is_shorter) {
                summary.shortest_objective = item.objective;
            }
        }
    }
    return summaries;
}

slots_by_service fewest_slots(const std::vector<upstream_report>& listing) {
    slots_by_service slots;
    for (const auto& report : listing) {
        if (report.phase == upstream_phase::ready) {
            auto& fewest = slots.try_emplace(report.service, report.slots).first->second;
            fewest = std::min(fewest, report.slots);
        }
    }
    return slots;
}

void find_hidden_routes(const std::vector<route>& routes, std::vector<review_finding>& findings) {
    std::unordered_map<std::uint64_t, std::size_t> first_by_endpoint;
    for (std::size_t position = 0; position < routes.size(); ++position) {
        const auto key = (std::uint64_t{routes[position].address} << 16U) | routes[position].port;
        const auto [first, is_first] = first_by_endpoint.emplace(key, position);
        if (!is_first) {
            findings.push_back(
                {.kind = review_kind::route_hidden, .position = position, .other = first->second});
        }
    }
}

void find_unmatched_targets(const std::vector<route>& routes, const std::optional<slots_by_service>& slots,
                            std::vector<review_finding>& findings) {
    for (std::size_t position = 0; position < routes.size(); ++position) {
        const auto& targets = routes[position].targets;
        for (std::size_t target = 0; target < targets.size(); ++target) {
            if (targets[target].weight == 0) {
                findings.push_back(
                    {.kind = review_kind::target_without_weight, .position = position, .target = target});
            } else if (slots && !slots->contains(targets[target].service)) {
                findings.push_back(
                    {.kind = review_kind::target_without_hosts, .position = position, .target = target});
            }
        }
    }
}

void find_unused_services(const route_configuration& configuration, std::vector<review_finding>& findings) {
    // A service that is only a target of weight 0 has a finding there.
    std::unordered_set<std::string_view> targets;
    for (const auto& item : configuration.routes) {
        for (const auto& target : item.targets) {
            targets.insert(target.service);
        }
    }
    for (std::size_t position = 0; position < configuration.services.size(); ++position) {
        if (!targets.contains(configuration.services[position].service)) {
            findings.push_back({.kind = review_kind::service_unused, .position = position});
        }
    }
}

void find_time_contradictions(const route_configuration& configuration,
                              std::vector<review_finding>& findings) {
    const auto& routes = configuration.routes;
    for (std::size_t position = 0; position < routes.size(); ++position) {
        const bool is_limited = routes[position].time_limit > milliseconds{0};
        if (routes[position].objective > (is_limited ? routes[position].time_limit : default_time_limit)) {
            findings.push_back({.kind = review_kind::time_limit_below_objective, .position = position});
        }
    }
    const auto longest = std::ranges::max_element(routes, {}, &route::time_limit);
    if (configuration.idle_timeout_ms > 0 && longest != routes.end() &&
        longest->time_limit.count() > configuration.idle_timeout_ms) {
        findings.push_back({.kind = review_kind::idle_timeout_below_time_limit,
                            .other = static_cast<std::size_t>(longest - routes.begin())});
    }
}

void find_useless_hedging(const service_summaries& summaries, std::vector<review_finding>& findings) {
    const auto first = findings.size();
    for (const auto& [service, summary] : summaries) {
        if (!summary.has_repeatable_route) {
            findings.push_back({.kind = review_kind::hedge_without_repeatable_route,
                                .position = summary.first_route,
                                .target = summary.first_target});
        }
    }
    // The order of the summaries differs between standard libraries.
    std::sort(findings.begin() + static_cast<std::ptrdiff_t>(first), findings.end(),
              [](const review_finding& left, const review_finding& right) {
                  return std::pair{left.position, left.target} < std::pair{right.position, right.target};
              });
}

void find_excessive_warmup_rates(const route_configuration& configuration, const service_summaries& summaries,
                                 const slots_by_service& slots, std::vector<review_finding>& findings) {
    for (std::size_t position = 0; position < configuration.services.size(); ++position) {
        const auto& service = configuration.services[position];
        const auto summary = summaries.find(service.service);
        const auto fewest = slots.find(service.service);
        if (!service.openings_per_s || summary == summaries.end() || fewest == slots.end() ||
            summary->second.shortest_objective == milliseconds{0}) {
            continue;
        }
        const double objective_s = std::chrono::duration<double>{summary->second.shortest_objective}.count();
        const double rate_limit = fewest->second / objective_s;
        if (*service.openings_per_s > rate_limit) {
            findings.push_back({.kind = review_kind::warmup_rate_above_slots,
                                .position = position,
                                .rate_limit = rate_limit});
        }
    }
}

}  // namespace

std::vector<review_finding> review_configuration(const route_configuration& configuration,
                                                 const review_context& context) {
    const auto summaries = summarize_services(configuration.routes);
    const auto slots =
        context.listing ? std::optional{fewest_slots(*context.listing)} : std::optional<slots_by_service>{};
    std::vector<review_finding> findings;
    find_hidden_routes(configuration.routes, findings);
    find_unmatched_targets(configuration.routes, slots, findings);
    find_unused_services(configuration, findings);
    find_time_contradictions(configuration, findings);
    if (context.hedge_limit > 0) {
        find_useless_hedging(summaries, findings);
    }
    if (slots) {
        find_excessive_warmup_rates(configuration, summaries, *slots, findings);
    }
    return findings;
}

}  // namespace guavaramp
