#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstdint>

namespace guavaramp {

/// Failure detection for one upstream. It uses the packets that callers send, because the answers of hosts do
/// not pass through a director. Callers' packets make an upstream suspect; a probe, which is a TCP connection
/// to the upstream's address, confirms or clears the suspicion.

/// Least time between a probe that succeeded and the next one. A new suspicion within this time belongs to
/// the same incident.
inline constexpr auto probe_period_reachable = std::chrono::milliseconds{300};
/// Least time between two probes of one host that succeed, by all directors of a failure domain together. A
/// busy host answers each director's few flows so rarely that many directors suspect it at the same time, and
/// their connections alone would fill it.
inline constexpr auto min_shared_probe_interval = std::chrono::milliseconds{20};
/// Time between a probe that failed and the next one. It bounds how long the recovery of the upstream goes
/// unnoticed.
inline constexpr auto probe_period_unreachable = std::chrono::milliseconds{500};
/// How long a failed probe makes an upstream count as unreachable: two periods of 500 ms and a margin of 200
/// ms, so that one lost probe does not end the state.
inline constexpr auto unreachable_validity = std::chrono::milliseconds{1200};
/// How long new flows avoid an upstream that did not answer an opening packet. The upstream may be at its
/// connection limit, which a probe does not show. This is fifteen times the time to a caller's first
/// retransmission.
inline constexpr auto avoidance_after_silence = std::chrono::milliseconds{3000};

/// Number of consecutive overdue requests from which on a host counts as stalled, which means that it accepts
/// connections and answers no request. New flows avoid a stalled host. Its open flows stay, because its slots
/// may hold long requests; they are reset when the host has answered nothing for as long as a request may
/// take, see `pending_stall_reset`. One or two overdue requests can be requests whose flows moved to
/// another director, so that this director does not see the acknowledgements of their answers.
inline constexpr std::uint32_t min_overdue_requests_of_stall = 3;
/// Least time from sending the first of these requests to the decision that the host has stalled.
inline constexpr auto min_stall_time = std::chrono::milliseconds{900};
/// An overdue request belongs to the same stall only if it is recorded within this time after the first one
/// was sent.
inline constexpr auto overdue_window = std::chrono::milliseconds{5000};
/// Longest time for which new flows avoid a host that has stalled repeatedly, without the jitter.
inline constexpr auto max_avoidance = std::chrono::milliseconds{24000};

/// Time between the probes of a draining host that has refused one.
inline constexpr auto draining_refusal_interval = std::chrono::milliseconds{400};

/// Longest time for the trial of a host that has stalled (the half-open state of a circuit breaker). One flow
/// opens and sends its request at once, because callers open a flow when they have a request; the request is
/// overdue after 400 ms.
inline constexpr auto trial_timeout = std::chrono::milliseconds{1000};
/// Longest jitter of a director's trial. Spread over this time, the 133 directors of a failure domain of the
/// design size start their trials 7 ms apart, so that the observation of the first director reaches the
/// others before they start theirs.
inline constexpr auto max_trial_jitter = std::chrono::milliseconds{1000};

/// Result of a TCP connection attempt.
enum class probe_outcome : std::uint8_t {
    connected,  ///< the host listens
    refused,    ///< the host's machine answered that nothing listens
    silent      ///< no answer until the probe's deadline
};

/// Number of recent answers that the moving average of a host's answer times stands for.
inline constexpr std::uint32_t averaged_answers = 25;
/// An answer counts in the average with at most this many times the average: a single long request does not
/// make a host slow, and a host that has become slow still shows within a few answers.
inline constexpr double max_answer_sample_ratio = 3.0;

/// The health of one upstream as one director sees it. Times are the epoch until their event has occurred.
struct host_health {
    /// Time at which a flow last showed that the host had answered it in any way, also by accepting it.
    mono_time last_progress_at{};
    /// Time at which a flow last showed that the host had answered a request. A host that hangs still accepts
    /// flows, so this can be older than `last_progress_at`.
    mono_time last_answer_at{};
    mono_time unreachable_until{};  ///< deadline until which the last failed probe makes the host unreachable
    mono_time avoid_until{};        ///< deadline until which new flows prefer other hosts
    mono_time trial_until{};        ///< deadline of a trial by this director or another one
    mono_time stalled_at{};         ///< time of the last decision that the host has stalled
    mono_time refused_at{};         ///< time of a draining host's first refused probe; the epoch if none was
    mono_time probe_started_at{};   ///< start of the last probe
    mono_time next_probe_at{};      ///< earliest time of the next probe
    /// Earliest time of the next probe because of a request without an answer. Such a suspicion is weak: a
    /// busy host answers one director's few flows rarely.
    mono_time next_request_probe_at{};
    mono_time first_overdue_sent_at{};    ///< send time of the first of the consecutive overdue requests
    std::uint32_t overdue_requests{0};    ///< consecutive ones, without an answer to any flow in between
    std::uint32_t consecutive_stalls{0};  ///< stalls without an answer since
    double answer_time_ms{0};             ///< moving average from request to first answer; 0 if none was seen
    std::uint32_t measured_answers{0};    ///< answers in the average, up to `averaged_answers`
    bool probing{false};                  ///< a probe is in progress
    bool last_probe_failed{false};        ///< probed again until a probe succeeds or a flow shows progress

    friend bool operator==(const host_health&, const host_health&) = default;
};

/// Records that a flow showed that the host accepted it. Not thread-safe.
void record_progress(host_health& health, mono_time now) noexcept;

/// Records that a caller has acknowledged data of the host. Not thread-safe.
void record_acknowledged_data(host_health& health, mono_time now) noexcept;

/// Records the first answer to a request that was sent at `sent_at`. Not thread-safe.
void record_answer(host_health& health, mono_time sent_at, mono_time now) noexcept;

/// Returns whether a probe should start now because an opening packet that was first sent at `first_sent_at`
/// is still unanswered, for longer than answers normally take. No probe is needed if the host has made
/// progress since, if a probe is in progress, or if the next one is not due yet. Not thread-safe.
[[nodiscard]] bool should_probe_after_silence(const host_health& health, mono_time first_sent_at,
                                              mono_time now) noexcept;

/// Like `should_probe_after_silence`, for a request. Not thread-safe.
[[nodiscard]] bool should_probe_after_slow_request(const host_health& health, mono_time first_sent_at,
                                                   mono_time now) noexcept;

/// Records that a request sent at `sent_at` is overdue at this director or another one. Returns whether it
/// counts, which it does if the host has answered no request of any flow since `sent_at`. Not thread-safe.
[[nodiscard]] bool record_overdue_request(host_health& health, mono_time sent_at, mono_time now) noexcept;

/// Records that another director saw the host answer a flow at `answered_at`. Not thread-safe.
void record_remote_answer(host_health& health, mono_time answered_at) noexcept;

/// Returns whether the overdue requests show that the host has stalled. Not thread-safe.
[[nodiscard]] bool is_stalled(const host_health& health, mono_time now) noexcept;

/// Records that the host has stalled: new flows avoid it for a time that doubles with each consecutive stall,
/// up to `max_avoidance`, plus this director's `jitter`. Not thread-safe.
void record_stall(host_health& health, std::chrono::milliseconds jitter, mono_time now) noexcept;

/// Returns whether the host has stalled, has not answered since, and is no longer avoided because of the
/// stall, so that one flow may try it (the half-open state of a circuit breaker). The result stays true
/// during the trial; meanwhile `is_avoided` keeps other flows away. Without this limit all directors of a
/// failure domain would send the host new flows at the same moment, because it has the least load. Not
/// thread-safe.
[[nodiscard]] bool is_half_open(const host_health& health, mono_time now) noexcept;

/// Records that a flow of this director or of another one tries the host. Not thread-safe.
void record_trial(host_health& health, mono_time now) noexcept;

/// Returns whether a probe is due without a new suspicion, because the last one failed or because the host
/// refused a probe while it was draining. Not thread-safe.
[[nodiscard]] bool is_probe_due(const host_health& health, mono_time now) noexcept;

/// Returns the least time between a probe of a host that succeeded and the next one by the same director
/// because of a request without an answer, while `directors` of the failure domain may probe the host.
/// Thread-safe.
[[nodiscard]] std::chrono::milliseconds probe_period_of(std::size_t directors) noexcept;

/// Records that a probe has started. Not thread-safe.
void record_probe_started(host_health& health, mono_time now) noexcept;

/// Records the outcome of a probe that started at `started_at`. A failed probe does not count if the host has
/// made progress since `started_at`. After a probe that succeeded, the next one because of a request without
/// an answer starts `request_probe_period` later at the earliest. Not thread-safe.
void record_probe_ended(host_health& health, probe_outcome outcome, mono_time started_at, mono_time now,
                        std::chrono::milliseconds request_probe_period = probe_period_reachable) noexcept;

/// Records the outcome of a probe of a draining host. A refusal counts as a failed probe only if the host
/// refuses another probe at least `refusal_interval` after the first refusal, without progress in between;
/// otherwise this works like `record_probe_ended`. Not thread-safe.
void record_draining_probe_ended(host_health& health, probe_outcome outcome, mono_time started_at,
                                 std::chrono::milliseconds refusal_interval, mono_time now) noexcept;

/// Returns whether the host counts as unreachable at `now`, so that its open flows cannot continue. Not
/// thread-safe.
[[nodiscard]] bool is_unreachable(const host_health& health, mono_time now) noexcept;

/// Returns whether new flows should prefer other hosts. Not thread-safe.
[[nodiscard]] bool is_avoided(const host_health& health, mono_time now) noexcept;

}  // namespace guavaramp
