#include "director_settings.hpp"

#include <guavaramp/director/hedged_open.hpp>
#include <guavaramp/settings/settings_reader.hpp>
#include <guavaramp/telemetry/log.hpp>

namespace guavaramp {
namespace {

#ifdef GUAVARAMP_EXPERIMENTS
constexpr bool is_experiment_build = true;
#else
constexpr bool is_experiment_build = false;
#endif

/// Limit of the time within which an evacuation must be in force: an hour, far above any platform's bound.
constexpr std::int64_t max_evacuation_bound_ms = 3'600'000;
/// Limit of the factor and of the slack for cold hosts: more than any host serves in a second.
constexpr double max_cold_setting = 4096;

/// Returns the addresses of the neighbours. Skips an address that cannot be parsed, because any other
/// neighbour is as good.
std::vector<endpoint> parse_neighbours(const std::vector<std::string>& texts) {
    std::vector<endpoint> neighbours;
    for (const auto& text : texts) {
        if (const auto parsed = parse_endpoint(text)) {
            neighbours.push_back(*parsed);
        } else {
            log_event(log_level::warning, "neighbour_ignored", {{"message", parsed.error().message}});
        }
    }
    return neighbours;
}

/// Returns all mechanisms but those called `disabled_names`. Errors: `invalid_argument`.
result<mechanism_set> read_mechanisms(const std::vector<std::string>& disabled_names) {
    if (!disabled_names.empty() && !is_experiment_build) {
        return fail(error_kind::invalid_argument,
                    "found a list, allowed only in a program that was built with GUAVARAMP_EXPERIMENTS=ON");
    }
    return mechanism_set::without(disabled_names);
}

}  // namespace

result<director_settings> load_director_settings(const std::string& path,
                                                 const std::vector<std::string>& overrides) {
    auto reader = settings_reader::open(path, overrides);
    if (!reader) {
        return tl::make_unexpected(reader.error());
    }
    director_settings settings;
    settings.vm = reader->text("vm");
    settings.failure_domain = reader->text("failure_domain");
    settings.packets = reader->socket_address("packets");
    settings.status = reader->socket_address("status");
    settings.metrics = reader->socket_address("metrics");
    settings.admin = reader->socket_address("admin");
    settings.peers = reader->socket_address("peers");
    settings.news = reader->socket_address("news");
    settings.store = reader->socket_address("store");
    settings.neighbours = parse_neighbours(reader->text_list("neighbours", std::vector<std::string>{}));
    // 0 means that the key is missing.
    const auto evacuation_bound_ms = reader->integer("evacuation_bound_ms", 1, max_evacuation_bound_ms, 0);
    // -1 means that the key is missing.
    const auto cold_over = reader->number("cold_over", 0, max_cold_setting, -1);
    const auto cold_slack = reader->number("cold_slack", 0, max_cold_setting, -1);
    settings.log_level = reader->choice("log_level", {"info", "warning", "error"}, "info");
    settings.hedge_limit = reader->number("hedge_limit", 0, max_hedge_limit, 0);
    const auto disabled_names = reader->text_list("experiments.disabled", std::vector<std::string>{});
    if (auto finished = reader->finish(); !finished) {
        return tl::make_unexpected(finished.error());
    }
    if (evacuation_bound_ms != 0) {
        settings.evacuation_bound = std::chrono::milliseconds{evacuation_bound_ms};
    }
    if (cold_over >= 0 && cold_slack >= 0) {
        settings.cold = cold_limits{.over = cold_over, .slack = cold_slack};
    }
    const auto mechanisms = read_mechanisms(disabled_names);
    if (!mechanisms) {
        return fail(mechanisms.error().kind, path + ": experiments.disabled: " + mechanisms.error().message);
    }
    settings.mechanisms = *mechanisms;
    if (!is_ipv4(settings.packets.address)) {
        return fail(error_kind::invalid_argument,
                    path + ": packets: found an IPv6 address, allowed an IPv4 address and port");
    }
    return settings;
}

}  // namespace guavaramp
