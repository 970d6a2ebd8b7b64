#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>
#include <guavaramp/placement/placement.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {
namespace {

constexpr double least_speed = 1.0 / 8;
constexpr double greatest_speed = 8.0;
constexpr std::size_t least_samples = 3;
// The tenth percentile is reached by requests that found a free slot even on a host that is busy 80% of the
// time, so queueing does not look like slowness.
constexpr double low_quantile = 0.1;
// The time to a SYN-ACK holds the way and no work; without taking it off, 0.7 ms of way made hosts with 5 ms
// of work look 10% slower against those with 20 ms. What is left is at least a quarter, should SYN-ACKs be
// late.
constexpr double least_work_share = 0.25;
constexpr double connect_rise = 0.02;
constexpr double least_recent_share = 0.1;
// A host that was overloaded once and gets few flows since has few answers; its queue is forgotten by time,
// so that it does not stay at a quarter of its share.
constexpr double recent_latency_s = 1.0;
// At ten updates a second, an estimate that jumps is followed within a second.
constexpr double speed_step = 0.3;
constexpr double slow_start_s = 10.0;
constexpr double least_slow_start = 0.1;
// Placements of the last seconds are what the host is working on; older ones say nothing about load.
constexpr double placement_decay_s = 10.0;
constexpr double outcome_decay_s = 5.0;
constexpr double greatest_queue_factor = 4.0;
constexpr double least_failures = 5.0;
constexpr double ejected_failure_share = 0.5;
constexpr double failure_share_over_mean = 3.0;
constexpr auto first_ejection = std::chrono::seconds{2};
constexpr std::uint32_t most_ejection_doublings = 5;

std::uint32_t number(upstream_id id) noexcept { return static_cast<std::uint32_t>(id); }

double seconds(mono_time::duration value) noexcept { return std::chrono::duration<double>(value).count(); }

double decayed(double value, mono_time at, mono_time now, double decay_s) noexcept {
    return value * std::exp(-std::max(0.0, seconds(now - at)) / decay_s);
}

const upstream_observation* find(const placement_state& state, upstream_id id) noexcept {
    const auto found = state.upstreams.find(number(id));
    return found == state.upstreams.end() ? nullptr : &found->second;
}

double low_latency(const upstream_observation& seen) {
    const std::size_t count = std::min<std::size_t>(seen.samples, upstream_observation::window);
    auto sorted = seen.latencies_ms;
    const auto rank = static_cast<std::ptrdiff_t>(low_quantile * static_cast<double>(count));
    std::nth_element(sorted.begin(), sorted.begin() + rank,
                     sorted.begin() + static_cast<std::ptrdiff_t>(count));
    return sorted[static_cast<std::size_t>(rank)];
}

double slow_start_share(const upstream_observation& seen, mono_time now) noexcept {
    return std::clamp(seconds(now - seen.first_seen) / slow_start_s, least_slow_start, 1.0);
}

double effective_weight(const upstream_observation* seen, const upstream& host, mono_time now) noexcept {
    const double speed = seen == nullptr ? 1.0 : seen->speed * slow_start_share(*seen, now);
    return static_cast<double>(host.weight) * speed;
}

double queue_factor(const upstream_observation& seen, mono_time now) noexcept {
    if (seen.low_latency_ms <= 0.0) {
        return 1.0;
    }
    const double factor =
        std::clamp(seen.recent_latency_ms / seen.low_latency_ms, 1.0, greatest_queue_factor);
    return 1.0 + decayed(factor - 1.0, seen.measured_at, now, recent_latency_s);
}

/// Load relative to capacity: recent placements over effective weight, raised while answers queue.
double load_of(const upstream_observation* seen, const upstream& host, mono_time now) noexcept {
    if (seen == nullptr) {
        return 0.0;
    }
    const double placed = 1.0 + decayed(seen->placed, seen->placed_at, now, placement_decay_s);
    return placed * queue_factor(*seen, now) / effective_weight(seen, host, now);
}

bool takes_new_flows(const upstream& host, wall_time now) noexcept {
    return state_at(host, now) == upstream_state::active;
}

bool is_ejected(const upstream_observation* seen, mono_time now) noexcept {
    return seen != nullptr && now < seen->ejected_until;
}

void decay_outcomes(upstream_observation& seen, mono_time now) noexcept {
    seen.answered = decayed(seen.answered, seen.counted_at, now, outcome_decay_s);
    seen.failed = decayed(seen.failed, seen.counted_at, now, outcome_decay_s);
    seen.counted_at = now;
}

double failure_share(const upstream_observation& seen) noexcept {
    const double total = seen.answered + seen.failed;
    return total <= 0.0 ? 0.0 : seen.failed / total;
}

double median_work(const placement_state& state, const service& value) {
    std::vector<double> latencies;
    for (const auto& host : value.upstreams) {
        const auto* seen = find(state, host.id);
        if (seen != nullptr && seen->work_ms > 0.0 && host.state == upstream_state::active) {
            latencies.push_back(seen->work_ms);
        }
    }
    if (latencies.empty()) {
        return 0.0;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

void update_speed(upstream_observation& seen, double median_ms) noexcept {
    if (seen.work_ms <= 0.0 || median_ms <= 0.0) {
        return;
    }
    const double target = std::clamp(median_ms / seen.work_ms, least_speed, greatest_speed);
    seen.speed += speed_step * (target - seen.speed);
}

void update_ejections(placement_state& state, const service& value, placement_time now) {
    std::vector<upstream_observation*> active;
    double share_sum = 0.0;
    std::size_t ejected = 0;
    for (const auto& host : value.upstreams) {
        const auto found = state.upstreams.find(number(host.id));
        if (found == state.upstreams.end() || !takes_new_flows(host, now.wall)) {
            continue;
        }
        decay_outcomes(found->second, now.mono);
        active.push_back(&found->second);
        share_sum += failure_share(found->second);
        ejected += is_ejected(&found->second, now.mono) ? 1 : 0;
    }
    const std::size_t most_ejected = active.size() / 3;
    for (auto* seen : active) {
        const double share = failure_share(*seen);
        const double others =
            active.size() < 2 ? 0.0 : (share_sum - share) / static_cast<double>(active.size() - 1);
        const bool outlier = seen->failed >= least_failures && share > ejected_failure_share &&
                             share > failure_share_over_mean * others;
        if (is_ejected(seen, now.mono) || !outlier || ejected >= most_ejected) {
            continue;
        }
        seen->ejected_until =
            now.mono + first_ejection * (1U << std::min(seen->ejections, most_ejection_doublings));
        ++seen->ejections;
        seen->failed = 0.0;
        ++ejected;
    }
}

}  // namespace

void observe_configuration(placement_state& state, const config_snapshot& config, mono_time now) {
    std::unordered_map<std::uint32_t, upstream_observation> kept;
    for (const auto& [name, value] : config.value().services) {
        for (const auto& host : value.upstreams) {
            const auto found = state.upstreams.find(number(host.id));
            if (found != state.upstreams.end()) {
                kept.insert(*found);
                continue;
            }
            const auto full_start = now - std::chrono::seconds{static_cast<int>(slow_start_s)};
            kept[number(host.id)].first_seen = state.slow_start ? now : full_start;
        }
    }
    state.upstreams = std::move(kept);
    state.slow_start = true;
}

void observe_answer(placement_state& state, upstream_id id, std::optional<double> latency_ms, mono_time now) {
    const auto found = state.upstreams.find(number(id));
    if (found == state.upstreams.end()) {
        return;
    }
    auto& seen = found->second;
    seen.last_answer = now;
    if (!latency_ms) {
        return;
    }
    seen.answered += 1.0;
    seen.latencies_ms[seen.samples % upstream_observation::window] = static_cast<float>(*latency_ms);
    ++seen.samples;
    const bool first = seen.recent_latency_ms <= 0.0;
    const double kept =
        first ? 0.0 : decayed(1.0 - least_recent_share, seen.measured_at, now, recent_latency_s);
    seen.recent_latency_ms += (1.0 - kept) * (*latency_ms - seen.recent_latency_ms);
    seen.measured_at = now;
}

void observe_connect(placement_state& state, upstream_id id, double latency_ms) {
    const auto found = state.upstreams.find(number(id));
    if (found == state.upstreams.end()) {
        return;
    }
    auto& known_ms = found->second.connect_ms;
    const bool lower = known_ms <= 0.0 || latency_ms < known_ms;
    known_ms = lower ? latency_ms : known_ms + connect_rise * (latency_ms - known_ms);
}

void observe_failure(placement_state& state, upstream_id id, mono_time now) {
    const auto found = state.upstreams.find(number(id));
    if (found != state.upstreams.end()) {
        decay_outcomes(found->second, now);
        found->second.failed += 1.0;
    }
}

void update_service(placement_state& state, const service& value, placement_time now) {
    for (const auto& host : value.upstreams) {
        const auto found = state.upstreams.find(number(host.id));
        if (found != state.upstreams.end() && found->second.samples >= least_samples) {
            found->second.low_latency_ms = low_latency(found->second);
            found->second.work_ms = std::max(found->second.low_latency_ms - found->second.connect_ms,
                                             found->second.low_latency_ms * least_work_share);
        }
    }
    const double median_ms = median_work(state, value);
    for (const auto& host : value.upstreams) {
        const auto found = state.upstreams.find(number(host.id));
        if (found != state.upstreams.end()) {
            update_speed(found->second, median_ms);
        }
    }
    update_ejections(state, value, now);
}

placement_candidates find_candidates(const placement_state& state, const service& value,
                                     std::uint64_t flow_hash, placement_time now) {
    placement_candidates best;
    double first_score = 0.0;
    double second_score = 0.0;
    for (const auto& host : value.upstreams) {
        const auto* seen = find(state, host.id);
        if (!takes_new_flows(host, now.wall) || is_ejected(seen, now.mono)) {
            continue;
        }
        const rendezvous_node node{.key = mix_hashes(number(host.id), 0),
                                   .weight = effective_weight(seen, host, now.mono)};
        const double score = rendezvous_score(node, flow_hash);
        if (score > first_score) {
            best.second = best.first;
            second_score = first_score;
            best.first = &host;
            first_score = score;
        } else if (score > second_score) {
            best.second = &host;
            second_score = score;
        }
    }
    return best;
}

placement_choice choose_upstream(placement_state& state, const service& value, std::uint64_t flow_hash,
                                 placement_time now) {
    const auto candidates = find_candidates(state, value, flow_hash, now);
    placement_choice choice{.host = candidates.first};
    if (candidates.second != nullptr) {
        const double first = load_of(find(state, candidates.first->id), *candidates.first, now.mono);
        const double second = load_of(find(state, candidates.second->id), *candidates.second, now.mono);
        choice.less_loaded = second < first;
        choice.host = choice.less_loaded ? candidates.second : candidates.first;
    }
    if (choice.host != nullptr) {
        auto& seen = state.upstreams[number(choice.host->id)];
        seen.placed = decayed(seen.placed, seen.placed_at, now.mono, placement_decay_s) + 1.0;
        seen.placed_at = now.mono;
    }
    return choice;
}

}  // namespace guavaramp
