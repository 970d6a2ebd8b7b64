#include <guavaramp/traffic/latency_histogram.hpp>

#include <algorithm>
#include <bit>
#include <cmath>

namespace guavaramp {

void latency_histogram::add(std::chrono::microseconds latency) noexcept {
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(latency.count(), 0));
    std::size_t index = value;
    if (value >= steps) {
        const auto power = static_cast<std::size_t>(std::bit_width(value)) - 6;
        index = (power + 1) * steps + static_cast<std::size_t>(value >> power) - steps;
    }
    ++buckets_[std::min(index, buckets_.size() - 1)];
    ++count_;
}

double latency_histogram::quantile_ms(double share) const noexcept {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t index = 0; index < buckets_.size(); ++index) {
        seen += buckets_[index];
        if (seen >= wanted && seen > 0) {
            const std::size_t power = index < steps ? 0 : index / steps - 1;
            const std::size_t value = index < steps ? index : (index % steps + steps) << power;
            return static_cast<double>(value) / 1000.0;
        }
    }
    return 0.0;
}

}  // namespace guavaramp
