#pragma once

#include <guavaramp/base/time.hpp>

namespace guavaramp {

/// Constants of the adaptive limit. Concurrency is counted in requests of this daemon at one host.
struct host_limit_options {
    double initial{0.22};            ///< this daemon's share of the host's slots
    double least{0.11};              ///< refusals never push the limit below this
    double most{64.0};               ///< bounds the work that a daemon holds at one host
    double refusal_factor{0.7};      ///< applied to the limit at a refusal
    double idle_ratio{1.2};          ///< of latency to service time; faster answers did not wait at the host
    double waited_ratio{2.0};        ///< slower answers waited at the host
    double waited_factor{0.95};      ///< applied to the limit at an answer that waited
    double step_per_quiet_s{0.003};  ///< increase for each answer, per second since the last refusal
    double least_step{0.002};        ///< keeps the limit moving while refusals are frequent
    double most_step{0.2};           ///< bounds the overshoot after a long time without refusals
    double default_latency_s{0.05};  ///< assumed before the first answer
};

/// The concurrency limit of one daemon at one host. A limit below 1 is kept by pauses between requests:
/// with a limit of 0.2 a request's duration is followed by a pause of four times that duration.
struct host_limit {
    double limit{0.0};
    int outstanding{0};
    bool wanted{false};          ///< a request found no room since the last change of the limit
    double base_latency_s{0.0};  ///< lowest recent mean of a batch of answers; 0 before the first answer
    double batch_sum_s{0.0};
    int batch_count{0};
    mono_time last_refusal{};
    mono_time not_before{};
};

[[nodiscard]] host_limit make_host_limit(const host_limit_options& options, mono_time now) noexcept;

/// The observed service time in seconds, queueing excluded as far as it can be observed.
[[nodiscard]] double service_time_s(const host_limit& host, const host_limit_options& options) noexcept;

/// Whether one more request may be sent. Not thread-safe, like all functions of this header.
[[nodiscard]] bool has_room(const host_limit& host, mono_time now) noexcept;

void record_sent(host_limit& host) noexcept;

/// Records an answer. Raises the limit additively when it was in the way, and lowers it when the mean of a
/// batch of answers exceeds the tolerance (gradient limit after Netflix' concurrency-limits and Envoy's
/// adaptive concurrency).
void record_answered(host_limit& host, const host_limit_options& options, double latency_s,
                     mono_time now) noexcept;

/// Records that the host refused a request before running it: lowers the limit by a factor. `jitter` in [0,
/// 1) spreads the daemons' next attempts.
void record_refused(host_limit& host, const host_limit_options& options, double jitter,
                    mono_time now) noexcept;

/// Records a request that ended without a usable answer, for example cancelled.
void record_ended(host_limit& host, const host_limit_options& options, mono_time now) noexcept;

}  // namespace guavaramp
