#include <guavaramp/admission/host_limit.hpp>

#include <algorithm>
#include <cmath>

namespace guavaramp {
namespace {

// A mean of 16 service times spread over [0.5, 1.5] of their mean is within 20% of it in 99% of batches.
constexpr int batch_size = 16;
// The base forgets old minima within about 50 batches, so that a host that became slower is recognised.
constexpr double base_drift = 1.02;

mono_time::duration seconds(double value) {
    return std::chrono::duration_cast<mono_time::duration>(std::chrono::duration<double>(value));
}

void release(host_limit& host, const host_limit_options& options, mono_time now) noexcept {
    host.outstanding = std::max(0, host.outstanding - 1);
    if (host.limit < 1.0) {
        host.not_before = now + seconds(service_time_s(host, options) * (1.0 / host.limit - 1.0));
    }
}

void close_batch(host_limit& host) noexcept {
    const double mean = host.batch_sum_s / host.batch_count;
    host.batch_sum_s = 0.0;
    host.batch_count = 0;
    host.base_latency_s = std::min(mean, host.base_latency_s * base_drift);
}

void raise(host_limit& host, const host_limit_options& options, mono_time now) noexcept {
    const double quiet_s = std::chrono::duration<double>(now - host.last_refusal).count();
    const double step = std::clamp(quiet_s * options.step_per_quiet_s, options.least_step, options.most_step);
    host.limit = std::min(options.most, host.limit + step);
    host.wanted = false;
}

}  // namespace

host_limit make_host_limit(const host_limit_options& options, mono_time now) noexcept {
    // An unknown host counts as quiet for ten seconds, so that the first increases are quick.
    return {.limit = options.initial, .last_refusal = now - std::chrono::seconds{10}, .not_before = now};
}

double service_time_s(const host_limit& host, const host_limit_options& options) noexcept {
    if (host.base_latency_s > 0.0) {
        return host.base_latency_s;
    }
    return options.default_latency_s;
}

bool has_room(const host_limit& host, mono_time now) noexcept {
    if (now < host.not_before) {
        return false;
    }
    return host.outstanding < std::max(1, static_cast<int>(std::lround(host.limit)));
}

void record_sent(host_limit& host) noexcept { ++host.outstanding; }

void record_answered(host_limit& host, const host_limit_options& options, double latency_s,
                     mono_time now) noexcept {
    if (host.base_latency_s == 0.0) {
        host.base_latency_s = latency_s;
    }
    host.batch_sum_s += latency_s;
    ++host.batch_count;
    if (host.batch_count >= batch_size) {
        close_batch(host);
    }
    const double ratio = latency_s / host.base_latency_s;
    if (ratio > options.waited_ratio) {
        host.limit = std::max(options.least, host.limit * options.waited_factor);
    } else if (host.wanted && ratio <= options.idle_ratio) {
        raise(host, options, now);
    }
    release(host, options, now);
}

void record_refused(host_limit& host, const host_limit_options& options, double jitter,
                    mono_time now) noexcept {
    host.limit = std::max(options.least, host.limit * options.refusal_factor);
    host.last_refusal = now;
    host.wanted = false;
    release(host, options, now);
    const auto pause = seconds(service_time_s(host, options) * (0.5 + jitter));
    host.not_before = std::max(host.not_before, now + pause);
}

void record_ended(host_limit& host, const host_limit_options& options, mono_time now) noexcept {
    release(host, options, now);
}

}  // namespace guavaramp
