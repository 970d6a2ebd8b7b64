#pragma once

#include <guavaramp/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace guavaramp {

/// A mechanism of a director that an experiment can switch off, to measure what it is worth. All are on in
/// production.
enum class mechanism : std::uint8_t {
    packet_holding,         ///< packets wait while the first configuration and listing are read
    neighbour_hand_over,    ///< packets that cannot be decided yet are passed on to a neighbour
    candidate_subset,       ///< each director compares a part of its failure domain's upstreams
    answer_time_cost,       ///< slow upstreams get fewer new flows
    failure_domain_cost,    ///< upstreams of other failure domains get new flows only under load
    silent_host_avoidance,  ///< new flows avoid an upstream that left an opening packet unanswered
    open_retry,             ///< an unanswered opening packet is sent to another upstream
    unreachable_reset,      ///< flows of an upstream whose probe failed are reset
    absence_reset,          ///< flows of an upstream that has left the listing are reset
    stall_reset,            ///< flows of an upstream that answers no request are reset
    stall_trial,            ///< one flow tries an upstream that has stalled before the others return to it
    probe_reference,        ///< a silent probe fails sooner if another upstream has answered
    host_observations,      ///< directors tell each other what they see of upstreams
    flow_admission,         ///< new flows are refused while a service cannot answer them in time
    cached_start,           ///< the first reads of the store take cached answers
    domain_spill,           ///< new flows go to other failure domains while the own one is full
    urgent_capacity         ///< less urgent flows leave hosts to urgent ones while a service is full
};

inline constexpr std::size_t mechanism_count = 17;

/// Returns the name of `value` in settings. Thread-safe.
[[nodiscard]] std::string_view to_string(mechanism value) noexcept;

/// The mechanisms that are switched on: all by default. An immutable value.
class mechanism_set {
public:
    mechanism_set() = default;

    /// Returns the set of all mechanisms but those called `names`. Errors: `invalid_argument` for a name that
    /// no mechanism has. Thread-safe.
    [[nodiscard]] static result<mechanism_set> without(std::span<const std::string> names);

    /// Returns whether `value` is switched on. Thread-safe.
    [[nodiscard]] bool is_enabled(mechanism value) const noexcept {
        return (disabled_bits_ & bit_of(value)) == 0;
    }

    friend bool operator==(const mechanism_set&, const mechanism_set&) = default;

private:
    [[nodiscard]] static std::uint32_t bit_of(mechanism value) noexcept {
        return std::uint32_t{1} << static_cast<unsigned>(value);
    }

    std::uint32_t disabled_bits_{0};
};

}  // namespace guavaramp
