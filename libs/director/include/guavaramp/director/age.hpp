#pragma once

#include <guavaramp/base/time.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

namespace guavaramp {

/// Returns the age of `then` at `now` in milliseconds, as messages and log lines carry it. The result is 0
/// for a time in the future and at most 2^32 - 1, which is 49 days. Thread-safe.
[[nodiscard]] inline std::uint32_t age_ms(mono_time then, mono_time now) noexcept {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace guavaramp
