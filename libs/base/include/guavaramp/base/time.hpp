#pragma once

#include <chrono>
#include <cstdint>

namespace guavaramp {

/// A point in time on the monotonic clock of one process. Deadlines that stay inside a process have this
/// type.
using mono_time = std::chrono::steady_clock::time_point;

/// A wall-clock time in milliseconds. Deadlines that cross a process boundary have this type.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Returns `time` as milliseconds since the Unix epoch. Thread-safe.
[[nodiscard]] constexpr std::int64_t to_unix_ms(wall_time time) noexcept {
    return time.time_since_epoch().count();
}

/// Returns the wall-clock time that is `milliseconds` after the Unix epoch; the inverse of `to_unix_ms`.
/// Thread-safe.
[[nodiscard]] constexpr wall_time from_unix_ms(std::int64_t milliseconds) noexcept {
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

}  // namespace guavaramp
