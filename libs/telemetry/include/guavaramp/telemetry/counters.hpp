#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace guavaramp {

/// A monotonic counter or, with `set`, a gauge. Lock-free; any thread may change or read it.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::uint64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Upper bounds of latency buckets in seconds: from a round trip inside a failure domain to the longest time
/// limit of a request.
inline constexpr std::array<double, 12> latency_bounds_s{0.005, 0.01, 0.02, 0.04, 0.08, 0.16,
                                                         0.32,  0.64, 1.28, 2.56, 5.12, 10.24};

/// Counts latencies by bucket. Lock-free; any thread may change or read it.
class latency_histogram {
public:
    void add(std::chrono::steady_clock::duration latency) noexcept;

    /// Latencies above the bound before the bucket's and up to its own; the last bucket has no bound.
    [[nodiscard]] std::uint64_t in_bucket(std::size_t bucket) const noexcept {
        return buckets_.at(bucket).load(std::memory_order_relaxed);
    }

    [[nodiscard]] double sum_s() const noexcept;

private:
    std::array<std::atomic<std::uint64_t>, latency_bounds_s.size() + 1> buckets_{};
    std::atomic<std::uint64_t> sum_us_{0};
};

enum class counter_kind : std::uint8_t { counter, gauge };

/// Names all counters of a process and prints them. Counters live as long as the registry. Thread-safe.
class counter_registry {
public:
    /// Returns the counter with this name and label, and makes it on the first call. `name` follows the
    /// Prometheus naming rules without the prefix "guavaramp_"; counters end in "_total". `reason` becomes
    /// the label "reason" when not empty.
    [[nodiscard]] counter& get(const std::string& name, const std::string& help,
                               const std::string& reason = "", counter_kind kind = counter_kind::counter);

    /// Returns the histogram with this name and makes it on the first call. `name` ends in "_seconds".
    [[nodiscard]] latency_histogram& get_latency(const std::string& name, const std::string& help);

    /// Prometheus text exposition format, printed by prometheus-cpp.
    [[nodiscard]] std::string to_prometheus() const;

    /// Flat JSON object from "name" or "name{reason}" to value.
    [[nodiscard]] std::string to_json() const;

private:
    struct family {
        std::string help;
        counter_kind kind{counter_kind::counter};
        std::map<std::string, std::unique_ptr<counter>> by_reason;
    };

    struct latency_family {
        std::string help;
        latency_histogram histogram;
    };

    mutable std::mutex mutex_;
    std::map<std::string, family> families_;
    std::map<std::string, std::unique_ptr<latency_family>> latencies_;
};

}  // namespace guavaramp
