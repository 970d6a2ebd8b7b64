#pragma once

#include <chrono>

namespace guavaramp {

/// The steady clock does not count the time for which a machine is suspended, so deadlines that ran out
/// meanwhile still look good when it wakes. Whoever acts on such a deadline compares this time with the one
/// at which the deadline was set.

/// Growth of `suspended_time` that is a suspension; the two clocks are not read at the same moment.
inline constexpr auto least_suspension = std::chrono::milliseconds{50};

/// For how long this machine has been suspended since its start (CLOCK_BOOTTIME less CLOCK_MONOTONIC).
/// Thread-safe.
[[nodiscard]] std::chrono::milliseconds suspended_time() noexcept;

/// Whether the machine was suspended between the moments of `earlier` and `later`. Thread-safe.
[[nodiscard]] constexpr bool was_suspended(std::chrono::milliseconds earlier,
                                           std::chrono::milliseconds later) noexcept {
    return later - earlier >= least_suspension;
}

}  // namespace guavaramp
