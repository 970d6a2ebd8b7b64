#pragma once

#include <chrono>

namespace guavaramp {

/// The steady clock does not advance while a machine is suspended, so a deadline that passed during a
/// suspension still seems to lie in the future when the machine resumes. Code that acts on such a deadline
/// compares the current `suspended_time` with the one from when the deadline was set.

/// Smallest growth of `suspended_time` that counts as a suspension. Smaller differences occur without one,
/// because the two clocks are not read at the same moment.
inline constexpr auto min_suspension = std::chrono::milliseconds{50};

/// Returns for how long this machine has been suspended in total since it booted (CLOCK_BOOTTIME minus
/// CLOCK_MONOTONIC). Thread-safe.
[[nodiscard]] std::chrono::milliseconds suspended_time() noexcept;

/// Returns whether the machine was suspended between the two calls of `suspended_time` that returned
/// `earlier` and `later`. Thread-safe.
[[nodiscard]] constexpr bool was_suspended(std::chrono::milliseconds earlier,
                                           std::chrono::milliseconds later) noexcept {
    return later - earlier >= min_suspension;
}

}  // namespace guavaramp
