#pragma once

#include <guavaramp/base/time.hpp>

#include <algorithm>
#include <chrono>

namespace guavaramp {

/// Time limits of a call to a peer. A call whose answer makes progress may continue until `deadline`: when
/// many clients read large answers from one peer at once, each transfer takes long, and a client that aborted
/// a slow transfer would restart it and add load to the peer's link.
struct call_limits {
    mono_time first_byte_deadline{};           ///< by when the answer's first byte must have arrived
    std::chrono::milliseconds idle_timeout{};  ///< longest time between two arrivals of bytes; 0: no limit
    mono_time deadline{};                      ///< by when the whole call must have finished

    friend bool operator==(const call_limits&, const call_limits&) = default;
};

/// Returns limits that bound only the whole call by `deadline`, without an idle timeout. Thread-safe.
[[nodiscard]] inline call_limits limits_until(mono_time deadline) noexcept {
    return {.first_byte_deadline = deadline, .deadline = deadline};
}

/// Returns when a call times out if no further byte of its answer arrives. `last_byte_at` is `mono_time{}`
/// (the clock's epoch) if no byte has arrived yet. Thread-safe.
[[nodiscard]] inline mono_time timeout_at(const call_limits& limits, mono_time last_byte_at) noexcept {
    if (last_byte_at == mono_time{}) {
        return std::min(limits.first_byte_deadline, limits.deadline);
    }
    const bool has_idle_timeout = limits.idle_timeout.count() > 0;
    return has_idle_timeout ? std::min(last_byte_at + limits.idle_timeout, limits.deadline) : limits.deadline;
}

}  // namespace guavaramp
