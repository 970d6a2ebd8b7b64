#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace guavaramp {

/// Latencies in log-linear buckets (32 a power of two), with a relative error below 1/32. Fixed size, so a
/// long run needs no more memory. Not thread-safe.
class latency_histogram {
public:
    void add(std::chrono::microseconds latency) noexcept;

    /// Lower bound of the bucket that holds the quantile `share`, in milliseconds; 0 when nothing was
    /// recorded. Precondition: `share` in (0, 1].
    [[nodiscard]] double quantile_ms(double share) const noexcept;

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

private:
    static constexpr std::size_t steps = 32;
    static constexpr std::size_t powers = 32;

    std::array<std::uint64_t, steps * powers> buckets_{};
    std::uint64_t count_{0};
};

}  // namespace guavaramp
