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

/// A metric value: a monotonic counter if only `add` is called, a gauge if `set` is called. Lock-free; any
/// thread may change or read it.
class counter {
public:
    void add(std::uint64_t amount = 1) noexcept { value_.fetch_add(amount, std::memory_order_relaxed); }
    void set(std::uint64_t value) noexcept { value_.store(value, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// Upper bounds of the latency buckets in seconds. They range from a round trip inside a failure domain to
/// the longest deadline of a request.
inline constexpr std::array<double, 12> latency_bounds_s{0.005, 0.01, 0.02, 0.04, 0.08, 0.16,
                                                         0.32,  0.64, 1.28, 2.56, 5.12, 10.24};

/// Counts latencies per bucket of `latency_bounds_s`. Lock-free; any thread may change or read it.
class latency_histogram {
public:
    /// Counts `latency` in its bucket.
    void add(std::chrono::steady_clock::duration latency) noexcept;

    /// Returns the number of latencies in bucket number `bucket`: those above the upper bound of the bucket
    /// before it and up to its own upper bound. The last bucket, number `latency_bounds_s.size()`, has no
    /// upper bound.
    [[nodiscard]] std::uint64_t count_in_bucket(std::size_t bucket) const noexcept {
        return buckets_.at(bucket).load(std::memory_order_relaxed);
    }

    /// Returns the sum of all latencies in seconds.
    [[nodiscard]] double sum_s() const noexcept;

private:
    std::array<std::atomic<std::uint64_t>, latency_bounds_s.size() + 1> buckets_{};
    std::atomic<std::uint64_t> sum_us_{0};
};

/// Whether a metric is exposed as a Prometheus counter or gauge.
enum class counter_kind : std::uint8_t { counter, gauge };

/// Owns all metrics of a process by name and renders them as text. Metrics live as long as the registry.
/// Thread-safe.
class counter_registry {
public:
    /// Returns the counter with this name and reason, and creates it on the first call. `name` follows the
    /// Prometheus naming rules, without the prefix "guavaramp_"; names of counters end in "_total". `reason`
    /// becomes the label "reason" unless it is empty.
    [[nodiscard]] counter& get(const std::string& name, const std::string& help,
                               const std::string& reason = "", counter_kind kind = counter_kind::counter);

    /// Returns the histogram with this name, and creates it on the first call. `name` ends in "_seconds".
    [[nodiscard]] latency_histogram& get_latency_histogram(const std::string& name, const std::string& help);

    /// Returns all metrics in the Prometheus text exposition format, serialized by prometheus-cpp.
    [[nodiscard]] std::string to_prometheus() const;

    /// Returns a flat JSON object that maps "name" or "name{reason}" to the value, for all counters and
    /// gauges. Histograms are not included.
    [[nodiscard]] std::string to_json() const;

private:
    struct counter_family {
        std::string help;
        counter_kind kind{counter_kind::counter};
        std::map<std::string, std::unique_ptr<counter>> by_reason;
    };

    struct latency_family {
        std::string help;
        latency_histogram histogram;
    };

    mutable std::mutex mutex_;
    std::map<std::string, counter_family> counter_families_;
    std::map<std::string, std::unique_ptr<latency_family>> latency_families_;
};

}  // namespace guavaramp
