#include <guavaramp/director/mechanisms.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

constexpr std::array<std::string_view, mechanism_count> mechanism_names{
    "packet_holding",      "neighbour_hand_over",   "candidate_subset", "answer_time_cost",
    "failure_domain_cost", "silent_host_avoidance", "open_retry",       "unreachable_reset",
    "absence_reset",       "stall_reset",           "stall_trial",      "probe_reference",
    "host_observations",   "flow_admission",        "cached_start",     "domain_spill",
    "urgent_capacity"};

}  // namespace

std::string_view to_string(mechanism value) noexcept {
    return mechanism_names.at(static_cast<std::size_t>(value));
}

result<mechanism_set> mechanism_set::without(std::span<const std::string> names) {
    mechanism_set remaining;
    for (const auto& name : names) {
        const auto* const found = std::ranges::find(mechanism_names, name);
        if (found == mechanism_names.end()) {
            std::string allowed;
            for (const auto known : mechanism_names) {
                allowed += (allowed.empty() ? "" : ", ") + std::string{known};
            }
            return fail(error_kind::invalid_argument, "found \"" + name + "\", allowed " + allowed);
        }
        remaining.disabled_bits_ |= bit_of(mechanism(std::distance(mechanism_names.begin(), found)));
    }
    return remaining;
}

}  // namespace guavaramp
