#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// Decides whether and when a director sends one extra copy of an opening packet that has waited longer for
/// its answer than nearly all of its service's opening packets do.
///
/// The copy goes to the same host with the same tag, as a caller's own copy would. A second host that
/// accepted the packet would hold a flow of its own and repeat its answer, with its tag, for about 9 s; see
/// docs/design/hedged-open.md. So a copy helps against a lost packet, and not against a host's queue.

/// The largest allowed share of extra opening packets of a service.
inline constexpr double max_hedge_limit = 0.2;
/// Period over which that share is counted.
inline constexpr auto hedge_window = std::chrono::milliseconds{1000};
/// The share of a service's opening packets that are answered before the extra copy would be sent.
inline constexpr double hedge_quantile = 0.99;
/// Opening times that are needed to estimate the quantile: one of them lies above it.
inline constexpr std::uint32_t min_opening_samples = 100;
/// With this many opening times, all counts are halved, so that newer ones prevail.
inline constexpr std::uint32_t max_opening_samples = 512;
/// Opening times are counted in buckets of one millisecond; the last bucket takes all longer ones. At this
/// age a copy is no longer sent: after 40 ms the packet is retried anyway.
inline constexpr std::size_t opening_time_buckets = 31;
inline constexpr auto max_hedge_delay = std::chrono::milliseconds{30};
/// Least delay of a copy: a round trip between failure domains, so that answers on their way count.
inline constexpr auto min_hedge_delay = std::chrono::milliseconds{3};
/// If more opening packets of a service than this are late in a row, or within `hedge_window` and as more
/// than this share of all, the service or the director's own link is slow, and copies would only add to the
/// load.
inline constexpr std::size_t max_late_opens = 2;
inline constexpr double max_late_share = 0.1;
/// Time after which an opening packet counts as unanswered: the caller gives up after 1.4 s.
inline constexpr auto open_give_up_time = std::chrono::milliseconds{1400};
/// Limits of the opening packets that are awaited, and of those that are counted in `hedge_window`. Further
/// ones are not recorded and so do not raise the number of copies that are allowed.
inline constexpr std::size_t max_awaited_opens = 2048;
inline constexpr std::size_t max_counted_opens = 4096;

/// The decision on an opening packet that is late. Each value but `send` is the label of a counter.
enum class hedge_decision : std::uint8_t {
    send,
    not_repeatable,  ///< a request of the route must run at most once
    carries_data,    ///< the opening packet carries data
    host_closed,     ///< the host takes no new flows: it is draining, evacuated or no longer listed
    host_cold,
    host_suspected,
    near_capacity,  ///< the service is near its capacity, or its load is not known
    not_learnt,     ///< too few opening times of the service were measured
    service_slow,   ///< too many opening packets of the service are late, or the learnt delay is too long
    over_limit
};

inline constexpr std::size_t hedge_decision_count = 10;

/// Returns the text form for counters. Thread-safe.
[[nodiscard]] std::string_view to_string(hedge_decision value) noexcept;

/// What an opening packet and its host allow, apart from the limit.
struct hedge_conditions {
    bool is_repeatable{false};
    bool carries_data{false};
    bool host_takes_new_flows{false};
    bool host_is_cold{false};
    bool host_is_suspected{false};
    bool service_is_near_capacity{true};
};

/// Times from the placing of opening packets to the callers' first acknowledgement, counted in buckets.
struct opening_times {
    std::array<std::uint32_t, opening_time_buckets> counts{};
    std::uint32_t total{0};
};

/// What a director has seen of the opening packets of one service. The times lie within `hedge_window`.
struct service_openings {
    opening_times times;
    std::deque<mono_time> opened;
    std::deque<mono_time> late;
    std::deque<mono_time> extra;
    std::size_t late_in_row{0};  ///< since the last opening packet that was answered in time
};

/// An opening packet whose answer is awaited.
struct awaited_open {
    std::string service;
    steering_tag tag{no_tag};  ///< the host that got it
    std::uint32_t sequence{0};
    bool is_repeatable{false};
    bool carries_data{false};
    mono_time placed_at{};
    mono_time extra_sent_at{};      ///< the epoch if no copy was sent
    bool was_late{false};           ///< the decision on a copy was made
    std::vector<std::byte> packet;  ///< as it was received
};

/// Extra opening packets that were sent and their use, and late ones without a copy by reason.
struct hedge_counts {
    std::uint64_t tried{0};
    /// The first acknowledgement came when the copy could have been answered. An upper bound: the answer to
    /// the first packet may have been that late.
    std::uint64_t won{0};
    std::uint64_t wasted{0};  ///< the answer came too early to be that of the copy, or none came
    std::array<std::uint64_t, hedge_decision_count> not_tried{};  ///< by `hedge_decision`
};

/// The end of a wait for the answer to an opening packet.
struct open_timer {
    flow_tuple flow;
    mono_time placed_at{};  ///< identifies the `awaited_open` of the flow
};

/// A director's state of extra opening packets. Not thread-safe: one thread owns it.
struct hedged_opens {
    double limit{0};  ///< share of extra opening packets of a service; 0 means that nothing is recorded
    std::unordered_map<flow_tuple, awaited_open> awaited;
    std::multimap<mono_time, open_timer> timers;
    std::unordered_map<std::string, service_openings> services;  ///< by the service's name
    hedge_counts counts;
};

/// Counts the time from the placing of an opening packet to its answer. Not thread-safe.
void record_opening_time(opening_times& times, mono_time::duration opening_time) noexcept;

/// Returns the upper bound of the bucket that contains `hedge_quantile`, at least `min_hedge_delay`;
/// `max_hedge_delay` if the quantile is as long or not known yet. Thread-safe.
[[nodiscard]] std::chrono::milliseconds hedge_delay(const opening_times& times) noexcept;

/// Decides on a copy of an opening packet that is late, and removes from `openings` what is older than
/// `hedge_window`. The limit holds if for every copy the copies of the last `hedge_window`, with this one,
/// are at most the share `limit` of the opening packets in the same period. Not thread-safe.
[[nodiscard]] hedge_decision decide_hedge(service_openings& openings, double limit,
                                          const hedge_conditions& conditions, mono_time now);

/// Records an opening packet that was placed now. Replaces an earlier one of the same flow. Not thread-safe.
void record_placed_open(hedged_opens& state, const flow_tuple& flow, awaited_open placed);

/// Records the answer to the opening packet of `flow`, which the host with `tag` gave. Does nothing if it is
/// not awaited. Not thread-safe.
void record_open_answer(hedged_opens& state, const flow_tuple& flow, steering_tag tag, mono_time now);

/// Removes opening packets that have waited for `open_give_up_time`, and returns the flows of those that have
/// become late. Not thread-safe.
[[nodiscard]] std::vector<flow_tuple> take_late_opens(hedged_opens& state, mono_time now);

/// Decides on a copy of the late opening packet `late`, and counts the decision. Not thread-safe.
[[nodiscard]] hedge_decision record_late_open(hedged_opens& state, awaited_open& late,
                                              const hedge_conditions& conditions, mono_time now);

/// Removes all awaited opening packets and all opening times, for a director that did not run for a while:
/// answers have waited in its socket. Not thread-safe.
void forget_openings(hedged_opens& state);

/// Returns the earliest time at which `take_late_opens` has work, at most `otherwise`. Removes timers of
/// opening packets that were answered. Not thread-safe.
[[nodiscard]] mono_time next_late_open_at(hedged_opens& state, mono_time otherwise);

}  // namespace guavaramp
