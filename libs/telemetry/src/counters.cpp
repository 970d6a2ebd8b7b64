#include <guavaramp/telemetry/counters.hpp>

#include <nlohmann/json.hpp>
#include <prometheus/client_metric.h>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <limits>
#include <ratio>

namespace guavaramp {
namespace {

prometheus::ClientMetric to_metric(const std::string& reason, std::uint64_t value, counter_kind kind) {
    prometheus::ClientMetric metric;
    if (!reason.empty()) {
        metric.label.push_back({"reason", reason});
    }
    if (kind == counter_kind::gauge) {
        metric.gauge.value = static_cast<double>(value);
    } else {
        metric.counter.value = static_cast<double>(value);
    }
    return metric;
}

/// Converts a histogram to a Prometheus metric. In the exposition format each bucket also counts all lower
/// ones.
prometheus::ClientMetric to_metric(const latency_histogram& histogram) {
    prometheus::ClientMetric metric;
    std::uint64_t cumulative_count = 0;
    for (std::size_t bucket = 0; bucket <= latency_bounds_s.size(); ++bucket) {
        cumulative_count += histogram.count_in_bucket(bucket);
        const double upper_bound = bucket < latency_bounds_s.size() ? latency_bounds_s.at(bucket)
                                                                    : std::numeric_limits<double>::infinity();
        metric.histogram.bucket.push_back({.cumulative_count = cumulative_count, .upper_bound = upper_bound});
    }
    metric.histogram.sample_count = cumulative_count;
    metric.histogram.sample_sum = histogram.sum_s();
    return metric;
}

}  // namespace

void latency_histogram::add(std::chrono::steady_clock::duration latency) noexcept {
    const double seconds = std::chrono::duration<double>(latency).count();
    const auto* bound = std::lower_bound(latency_bounds_s.begin(), latency_bounds_s.end(), seconds);
    buckets_.at(static_cast<std::size_t>(bound - latency_bounds_s.begin()))
        .fetch_add(1, std::memory_order_relaxed);
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    sum_us_.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0)),
                      std::memory_order_relaxed);
}

double latency_histogram::sum_s() const noexcept {
    return static_cast<double>(sum_us_.load(std::memory_order_relaxed)) / std::micro::den;
}

latency_histogram& counter_registry::get_latency_histogram(const std::string& name, const std::string& help) {
    const std::lock_guard lock{mutex_};
    auto& family = latency_families_[name];
    if (!family) {
        family = std::make_unique<latency_family>();
        family->help = help;
    }
    return family->histogram;
}

counter& counter_registry::get(const std::string& name, const std::string& help, const std::string& reason,
                               counter_kind kind) {
    const std::lock_guard lock{mutex_};
    auto& family = counter_families_[name];
    if (family.by_reason.empty()) {
        family.help = help;
        family.kind = kind;
    }
    auto& metric = family.by_reason[reason];
    if (!metric) {
        metric = std::make_unique<counter>();
    }
    return *metric;
}

std::string counter_registry::to_prometheus() const {
    std::vector<prometheus::MetricFamily> families;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [name, family] : counter_families_) {
            prometheus::MetricFamily exposed_family{"guavaramp_" + name,
                                                    family.help,
                                                    family.kind == counter_kind::gauge
                                                        ? prometheus::MetricType::Gauge
                                                        : prometheus::MetricType::Counter,
                                                    {}};
            for (const auto& [reason, metric] : family.by_reason) {
                exposed_family.metric.push_back(to_metric(reason, metric->value(), family.kind));
            }
            families.push_back(std::move(exposed_family));
        }
        for (const auto& [name, family] : latency_families_) {
            families.push_back({"guavaramp_" + name,
                                family->help,
                                prometheus::MetricType::Histogram,
                                {to_metric(family->histogram)}});
        }
    }
    return prometheus::TextSerializer{}.Serialize(families);
}

std::string counter_registry::to_json() const {
    nlohmann::json values = nlohmann::json::object();
    const std::lock_guard lock{mutex_};
    for (const auto& [name, family] : counter_families_) {
        for (const auto& [reason, metric] : family.by_reason) {
            values[reason.empty() ? name : name + "{" + reason + "}"] = metric->value();
        }
    }
    return values.dump();
}

}  // namespace guavaramp
