#include <guavaramp/requests/hedged_request.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavaramp {
namespace {

/// Allowance for the rounding of the limit times a count, for example 0.1 times 10.
constexpr double rounding_allowance = 1e-9;

void remove_before_window(std::deque<mono_time>& times, mono_time now) {
    while (!times.empty() && times.front() <= now - request_hedge_window) {
        times.pop_front();
    }
}

void add_bounded(std::deque<mono_time>& times, mono_time now) {
    remove_before_window(times, now);
    if (times.size() < max_counted_requests) {
        times.push_back(now);
    }
}

}  // namespace

const char* to_string(request_hedge value) noexcept {
    switch (value) {
        case request_hedge::not_repeatable:
            return "not_repeatable";
        case request_hedge::near_capacity:
            return "near_capacity";
        case request_hedge::not_learnt:
            return "not_learnt";
        case request_hedge::service_slow:
            return "service_slow";
        case request_hedge::over_limit:
            return "over_limit";
        case request_hedge::no_host:
            return "no_host";
        case request_hedge::send:
            break;
    }
    return "send";
}

void record_request_sent(request_hedging& state, mono_time now) { add_bounded(state.sent, now); }

void record_request_answer(request_hedging& state, mono_time::duration answer_time, bool was_late) noexcept {
    const double ms = std::chrono::duration<double, std::milli>(answer_time).count();
    const double position = std::log(std::max(ms, 1.0)) / std::log(answer_bucket_factor);
    const auto bucket = std::min(static_cast<std::size_t>(position), answer_time_buckets - 1);
    ++state.answer_counts.at(bucket);
    if (++state.answers >= max_answer_samples) {
        for (auto& count : state.answer_counts) {
            count /= 2;
        }
        state.answers = std::accumulate(state.answer_counts.begin(), state.answer_counts.end(), 0U);
    }
    state.late_in_row = was_late ? state.late_in_row : 0;
}

mono_time::duration request_hedge_delay(const request_hedging& state) noexcept {
    if (state.answers < min_answer_samples) {
        return mono_time::duration::max();
    }
    double below = 0;
    double bound_ms = 1;
    for (const auto count : state.answer_counts) {
        below += count;
        bound_ms *= answer_bucket_factor;
        if (below >= request_hedge_quantile * state.answers) {
            break;
        }
    }
    return std::chrono::duration_cast<mono_time::duration>(
        std::chrono::duration<double, std::milli>(bound_ms));
}

request_hedge decide_request_hedge(request_hedging& state, double limit, bool is_repeatable,
                                   bool is_near_capacity, mono_time now) {
    add_bounded(state.late, now);
    ++state.late_in_row;
    remove_before_window(state.sent, now);
    remove_before_window(state.extra, now);
    if (!is_repeatable) {
        return request_hedge::not_repeatable;
    }
    if (is_near_capacity) {
        return request_hedge::near_capacity;
    }
    if (state.answers < min_answer_samples) {
        return request_hedge::not_learnt;
    }
    const auto sent = static_cast<double>(state.sent.size());
    const bool many_are_late = state.late.size() > max_late_requests &&
                               static_cast<double>(state.late.size()) > max_late_request_share * sent;
    if (many_are_late || state.late_in_row > max_late_requests) {
        return request_hedge::service_slow;
    }
    const double allowed = std::min(limit, max_request_hedge_limit) * sent + rounding_allowance;
    return static_cast<double>(state.extra.size() + 1) <= allowed ? request_hedge::send
                                                                  : request_hedge::over_limit;
}

void record_request_copy(request_hedging& state, mono_time now) { add_bounded(state.extra, now); }

}  // namespace guavaramp
