#pragma once

#include <guavaramp/base/time.hpp>

#include <algorithm>
#include <chrono>

namespace guavaramp {

/// How long a call may take. A call whose answer makes progress goes on until `deadline`: when many clients
/// read much from one peer at once, each transfer takes long, and one that was given up for that would begin
/// anew and load the peer's link even more.
struct call_limits {
    mono_time answer_by{};                        ///< deadline of the answer's first byte
    std::chrono::milliseconds longest_silence{};  ///< between two arrivals of bytes; 0: as long as it takes
    mono_time deadline{};                         ///< of the whole call

    friend bool operator==(const call_limits&, const call_limits&) = default;
};

/// Limits of a call of which only the end counts. Thread-safe.
[[nodiscard]] inline call_limits within(mono_time deadline) noexcept {
    return {.answer_by = deadline, .deadline = deadline};
}

/// When a call is given up if no byte arrives; `last_byte_at` is the epoch before the first one. Thread-safe.
[[nodiscard]] inline mono_time give_up_at(const call_limits& limits, mono_time last_byte_at) noexcept {
    if (last_byte_at == mono_time{}) {
        return std::min(limits.answer_by, limits.deadline);
    }
    const bool bounded = limits.longest_silence.count() > 0;
    return bounded ? std::min(last_byte_at + limits.longest_silence, limits.deadline) : limits.deadline;
}

}  // namespace guavaramp
