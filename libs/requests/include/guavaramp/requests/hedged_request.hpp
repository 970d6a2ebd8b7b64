#pragma once

#include <guavaramp/base/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace guavaramp {

/// Decides whether the owner of an idempotent request that waits longer than most of its service's requests
/// sends a copy of it to a second host, and takes the first whole answer. See docs/design/hedged-request.md.

/// The largest allowed share of copies, and the period over which it is counted.
inline constexpr double max_request_hedge_limit = 0.2;
inline constexpr auto request_hedge_window = std::chrono::milliseconds{1000};
/// The share of a service's requests that are answered before a copy would be sent.
inline constexpr double request_hedge_quantile = 0.95;
/// Answer times that are needed to estimate the quantile, and the number of them with which all counts are
/// halved, so that newer ones prevail.
inline constexpr std::uint32_t min_answer_samples = 100;
inline constexpr std::uint32_t max_answer_samples = 1024;
/// Bucket number i takes answer times from 1 ms times the power i of this factor on, so that the quantile is
/// too high by 19% at most. The last bucket begins at 16 s.
inline constexpr double answer_bucket_factor = 1.189207115;
inline constexpr std::size_t answer_time_buckets = 57;
/// If more requests of a service than this are late in a row, or within `request_hedge_window` and as more
/// than this share of all, the service is slow, and copies would only add to its load. The quantile lets 5%
/// be late.
inline constexpr std::size_t max_late_requests = 4;
inline constexpr double max_late_request_share = 0.2;
/// Limit of the requests that are counted in `request_hedge_window`; further ones allow no copies.
inline constexpr std::size_t max_counted_requests = 8192;

/// The decision on a request that is late. Each value but `send` is the label of a counter.
enum class request_hedge : std::uint8_t {
    send,
    not_repeatable,
    near_capacity,  ///< requests of the service are queued
    not_learnt,     ///< too few answer times of the service were measured
    service_slow,
    over_limit,
    no_host  ///< no other host has room
};

/// Returns the text form for counters. Thread-safe.
[[nodiscard]] const char* to_string(request_hedge value) noexcept;

/// What an owner has seen of the requests of one service. Not thread-safe.
struct request_hedging {
    std::array<std::uint32_t, answer_time_buckets> answer_counts{};
    std::uint32_t answers{0};
    std::deque<mono_time> sent;  ///< first copies within `request_hedge_window`
    std::deque<mono_time> late;
    std::deque<mono_time> extra;
    std::size_t late_in_row{0};  ///< since the last request that was answered in time
};

/// Records the first sending of a request. Not thread-safe.
void record_request_sent(request_hedging& state, mono_time now);

/// Records a whole answer after `answer_time`. `was_late` tells whether a copy was decided on before. Not
/// thread-safe.
void record_request_answer(request_hedging& state, mono_time::duration answer_time, bool was_late) noexcept;

/// Returns the time after which a request is late; `mono_time::duration::max()` while too few answer times
/// are known. Thread-safe.
[[nodiscard]] mono_time::duration request_hedge_delay(const request_hedging& state) noexcept;

/// Decides on a copy of a request that is late. With `send`, the caller either sends it and calls
/// `record_request_copy` or counts `no_host`. Not thread-safe.
[[nodiscard]] request_hedge decide_request_hedge(request_hedging& state, double limit, bool is_repeatable,
                                                 bool is_near_capacity, mono_time now);

/// Records that a copy was sent. Not thread-safe.
void record_request_copy(request_hedging& state, mono_time now);

}  // namespace guavaramp
