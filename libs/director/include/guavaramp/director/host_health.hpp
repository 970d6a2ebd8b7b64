#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstdint>

namespace guavaramp {

/// Failure detection of one upstream from what its callers send, since answers do not pass through a
/// director. Callers' packets raise the suspicion; a TCP connection to the upstream's address confirms or
/// clears it.

/// Period between two probes of an upstream that answered: a second suspicion this soon is the same incident.
inline constexpr auto probe_period_reachable = std::chrono::milliseconds{300};
/// Period between two probes of an upstream that did not: bounds how long its recovery stays unseen.
inline constexpr auto probe_period_unreachable = std::chrono::milliseconds{500};
/// How long an unanswered probe counts as knowledge: two periods, so that one lost probe does not end it.
inline constexpr auto unreachable_validity = std::chrono::milliseconds{1200};
/// How long new flows avoid an upstream that left an opening packet unanswered: it may be at its connection
/// limit, which a probe does not show. Fifteen times the callers' first repeat.
inline constexpr auto avoid_after_silence = std::chrono::milliseconds{3000};

/// Overdue requests in a row that show a host to be stalled: it accepts connections and answers nobody. One
/// or two can be requests whose later packets go through another director, so that their answers are not
/// seen.
inline constexpr std::uint32_t overdue_requests_of_stalled = 3;
/// Least time from the first of them to the verdict: above the longest answer of a slow and cold host behind
/// a full queue, about 700 ms.
inline constexpr auto least_stall_time = std::chrono::milliseconds{900};
/// Overdue requests further apart than this are not of one stall.
inline constexpr auto overdue_window = std::chrono::milliseconds{5000};
/// Longest time for which new flows avoid a host that has stalled repeatedly.
inline constexpr auto longest_avoidance = std::chrono::milliseconds{24000};

/// Time between the two refused probes that show that a draining host has ended. It stops listening a moment
/// before its last answers; longer than the longest request takes.
inline constexpr auto draining_patience = std::chrono::milliseconds{400};

/// How long the trial of a host that had stalled may take: one flow opens and sends its request, which is
/// overdue after 400 ms. Callers open a flow for a request that they have.
inline constexpr auto trial_time = std::chrono::milliseconds{1000};
/// Longest random delay of a director's trial. Spread over it, the directors of a failure domain at the
/// design size, 133, try 7 ms apart, and the first one's note reaches the others before they do.
inline constexpr auto trial_spread = std::chrono::milliseconds{1000};

/// Result of a TCP connection attempt.
enum class probe_outcome : std::uint8_t {
    connected,  ///< the host listens
    refused,    ///< the host's machine answered that nothing listens
    silent      ///< no answer until the probe's deadline
};

/// What one director knows of one upstream's reachability.
struct host_health {
    mono_time last_progress{};  ///< when a flow last showed that the host had answered in any way
    mono_time
        last_answer{};  ///< when one showed that it had answered a request; hosts that hang still open flows
    mono_time unreachable_until{};  ///< deadline of the belief that the host cannot be reached
    mono_time avoid_until{};        ///< deadline until which new flows prefer other hosts
    mono_time trial_until{};        ///< deadline of a trial by this director or another one
    mono_time stalled_at{};         ///< of the last verdict
    mono_time refused_at{};         ///< when a draining host first refused a probe; the epoch: it did not
    mono_time next_probe_at{};
    mono_time first_overdue_sent{};     ///< when the first of the overdue requests was sent
    std::uint32_t overdue_requests{0};  ///< in a row, without an answer to any flow
    std::uint32_t stalls{0};            ///< in a row, without an answer since
    double answer_time_ms{0};           ///< moving average of request to first answer; 0: none yet
    bool probing{false};
    bool unreachable{false};  ///< the last probe failed; probed again until one succeeds

    friend bool operator==(const host_health&, const host_health&) = default;
};

/// A flow showed that the host accepted it. Not thread-safe.
void note_progress(host_health& health, mono_time now) noexcept;

/// A flow has acknowledged data of the host. Not thread-safe.
void note_data(host_health& health, mono_time now) noexcept;

/// A flow's request, sent at `sent`, has its first answer. Not thread-safe.
void note_answer(host_health& health, mono_time sent, mono_time now) noexcept;

/// A packet that a caller first sent at `first_sent` is still unanswered, later than answers come. Returns
/// whether a probe should start now. Not thread-safe.
[[nodiscard]] bool note_silence(host_health& health, mono_time first_sent, mono_time now) noexcept;

/// A request sent at `sent` is overdue, here or at another director. Returns whether it counts: no flow of
/// the host was answered since. Not thread-safe.
[[nodiscard]] bool note_overdue(host_health& health, mono_time sent, mono_time now) noexcept;

/// A flow of the host was answered at `answered`, as seen by another director. Not thread-safe.
void note_answer_elsewhere(host_health& health, mono_time answered) noexcept;

/// Whether the overdue requests show that the host has stalled. Not thread-safe.
[[nodiscard]] bool is_stalled(const host_health& health, mono_time now) noexcept;

/// The host counts as stalled: new flows avoid it, the longer the more often, and `spread` longer here. Not
/// thread-safe.
void note_stalled(host_health& health, std::chrono::milliseconds spread, mono_time now) noexcept;

/// Whether the host has stalled, has not answered since, and may be tried again: by one flow at a time. All
/// directors of a failure domain would otherwise send it new flows at the same moment, since it has the least
/// work. Not thread-safe.
[[nodiscard]] bool is_on_trial(const host_health& health, mono_time now) noexcept;

/// A flow of this director or of another one tries the host. Not thread-safe.
void note_trial(host_health& health, mono_time now) noexcept;

/// Whether a probe is due without a new suspicion, because the last one failed. Not thread-safe.
[[nodiscard]] bool is_probe_due(const host_health& health, mono_time now) noexcept;

/// A probe has started. Not thread-safe.
void note_probe_started(host_health& health, mono_time now) noexcept;

/// A probe that started at `started` has ended. Answers seen meanwhile outrank a failed probe. Not
/// thread-safe.
void note_probe_ended(host_health& health, probe_outcome outcome, mono_time started, mono_time now) noexcept;

/// The same for a host that is draining: a refusal counts when a second one follows after
/// `draining_patience`. Not thread-safe.
void note_draining_probe_ended(host_health& health, probe_outcome outcome, mono_time started,
                               mono_time now) noexcept;

/// Whether the host is believed unreachable at `now`: its open flows cannot go on. Not thread-safe.
[[nodiscard]] bool is_unreachable(const host_health& health, mono_time now) noexcept;

/// Whether new flows should prefer other hosts. Not thread-safe.
[[nodiscard]] bool is_avoided(const host_health& health, mono_time now) noexcept;

}  // namespace guavaramp
