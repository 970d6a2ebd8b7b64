#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cmath>

namespace guavaramp {

/// A sum whose parts lose weight with age: after one time constant a part counts 1/e. Divided by the time
/// constant it is a moving average of the rate at which the sum grows. Not thread-safe.
struct decaying_sum {
    double sum{0};  ///< value at `at`
    mono_time at{};
};

/// Returns the value of `parts` at `now` with the time constant `time_constant`. Thread-safe.
[[nodiscard]] inline double value_at(const decaying_sum& parts, mono_time::duration time_constant,
                                     mono_time now) noexcept {
    if (parts.sum <= 0 || now <= parts.at) {
        return parts.sum;
    }
    return parts.sum * std::exp(-std::chrono::duration<double>(now - parts.at) /
                                std::chrono::duration<double>(time_constant));
}

/// Adds `part` at `now`. All calls for one sum use the same time constant. Not thread-safe.
inline void add_part(decaying_sum& parts, double part, mono_time::duration time_constant,
                     mono_time now) noexcept {
    parts = {.sum = value_at(parts, time_constant, now) + part, .at = now};
}

/// Returns the growth of the sum per second, a moving average over `time_constant`. Thread-safe.
[[nodiscard]] inline double rate_per_second(const decaying_sum& parts, mono_time::duration time_constant,
                                            mono_time now) noexcept {
    return value_at(parts, time_constant, now) / std::chrono::duration<double>(time_constant).count();
}

}  // namespace guavaramp
