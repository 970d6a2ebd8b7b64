#include <guavaramp/base/hash.hpp>
#include <guavaramp/director/domain_spill.hpp>
#include <guavaramp/director/host_health.hpp>

#include <algorithm>
#include <limits>

namespace guavaramp {
namespace {

/// Separates this use of a flow's hash from the choice of the candidates of all failure domains.
constexpr std::uint64_t spill_seed = 0x7370696c6cULL;

}  // namespace

void record_domain_answer(domain_answers& answers, bool is_own_domain, mono_time::duration answer_time,
                          mono_time now) noexcept {
    const std::chrono::duration<double> seconds = answer_time;
    const double answer_ms = seconds.count() * 1000;
    double& mean_ms = is_own_domain ? answers.own_mean_ms : answers.other_mean_ms;
    mean_ms += (answer_ms - mean_ms) * (mean_ms == 0 ? 1.0 : newest_domain_answer_weight);
    if (is_own_domain) {
        // A single long request would otherwise make the domain of a director with two slots look full.
        const double counted_ms = std::min(answer_ms, max_answer_sample_ratio * mean_ms);
        add_part(answers.own_answer_seconds, counted_ms / 1000, utilisation_time_constant, now);
    }
}

double domain_utilisation(const domain_answers& answers, const domain_capacity& capacity,
                          mono_time now) noexcept {
    if (capacity.own_slots <= 0) {
        return 0;
    }
    return rate_per_second(answers.own_answer_seconds, utilisation_time_constant, now) *
           static_cast<double>(capacity.directors) / capacity.own_slots;
}

double spill_share(const domain_answers& answers, const domain_capacity& capacity, mono_time now) noexcept {
    const double utilisation = domain_utilisation(answers, capacity, now);
    if (utilisation <= spill_start_utilisation || capacity.all_slots <= capacity.own_slots) {
        return 0;
    }
    const double fill = std::min(
        (utilisation - spill_start_utilisation) / (full_spill_utilisation - spill_start_utilisation), 1.0);
    const double ratio =
        answers.other_mean_ms == 0 ? full_spill_answer_ratio : answers.own_mean_ms / answers.other_mean_ms;
    const double weight = std::clamp((ratio - 1) / (full_spill_answer_ratio - 1), min_spill_weight, 1.0);
    return fill * weight * (1 - capacity.own_slots / capacity.all_slots);
}

bool is_spilled(std::uint64_t flow_hash, std::uint64_t seed, double share) noexcept {
    const auto drawn = mix_hashes(mix_hashes(flow_hash, seed), spill_seed);
    return static_cast<double>(drawn) <
           share * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace guavaramp
