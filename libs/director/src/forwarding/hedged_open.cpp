#include <guavaramp/director/hedged_open.hpp>

#include <algorithm>
#include <numeric>

namespace guavaramp {
namespace {

constexpr std::array<std::string_view, hedge_decision_count> decision_names{
    "send",           "not_repeatable", "carries_data", "host_closed",  "host_cold",
    "host_suspected", "near_capacity",  "not_learnt",   "service_slow", "over_limit"};

/// Allowance for the rounding of `limit` times a count, for example 0.1 times 10.
constexpr double rounding_allowance = 1e-9;

void add_bounded(std::deque<mono_time>& times, mono_time now) {
    if (times.size() < max_counted_opens) {
        times.push_back(now);
    }
}

void remove_before_window(std::deque<mono_time>& times, mono_time now) {
    while (!times.empty() && times.front() <= now - hedge_window) {
        times.pop_front();
    }
}

/// Returns the shortest opening time that was counted, rounded down to a bucket.
std::chrono::milliseconds shortest_opening_time(const opening_times& times) noexcept {
    const auto* const first =
        std::ranges::find_if(times.counts, [](std::uint32_t count) { return count > 0; });
    return std::chrono::milliseconds{first - times.counts.begin()};
}

/// Counts whether the copy of `open` was of use, if one was sent. `answered_at` is empty if no answer came.
void count_use(hedged_opens& state, const awaited_open& open, std::optional<mono_time> answered_at) {
    if (open.extra_sent_at == mono_time{}) {
        return;
    }
    const auto round_trip = shortest_opening_time(state.services[open.service].times);
    const bool may_answer_copy = answered_at && *answered_at - open.extra_sent_at >= round_trip;
    ++(may_answer_copy ? state.counts.won : state.counts.wasted);
}

awaited_open* find_awaited(hedged_opens& state, const open_timer& timer) noexcept {
    const auto found = state.awaited.find(timer.flow);
    const bool is_same = found != state.awaited.end() && found->second.placed_at == timer.placed_at;
    return is_same ? &found->second : nullptr;
}

}  // namespace

std::string_view to_string(hedge_decision value) noexcept {
    return decision_names.at(static_cast<std::size_t>(value));
}

void record_opening_time(opening_times& times, mono_time::duration opening_time) noexcept {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(opening_time).count();
    const auto bucket = std::clamp<std::int64_t>(ms, 0, opening_time_buckets - 1);
    ++times.counts.at(static_cast<std::size_t>(bucket));
    if (++times.total >= max_opening_samples) {
        for (auto& count : times.counts) {
            count /= 2;
        }
        times.total = std::accumulate(times.counts.begin(), times.counts.end(), 0U);
    }
}

std::chrono::milliseconds hedge_delay(const opening_times& times) noexcept {
    if (times.total < min_opening_samples) {
        return max_hedge_delay;
    }
    double below = 0;
    std::int64_t bucket = 0;
    for (const auto count : times.counts) {
        below += count;
        ++bucket;
        if (below >= hedge_quantile * times.total) {
            break;
        }
    }
    return std::clamp(std::chrono::milliseconds{bucket}, min_hedge_delay, max_hedge_delay);
}

hedge_decision decide_hedge(service_openings& openings, double limit, const hedge_conditions& conditions,
                            mono_time now) {
    for (auto* times : {&openings.opened, &openings.late, &openings.extra}) {
        remove_before_window(*times, now);
    }
    if (!conditions.is_repeatable) {
        return hedge_decision::not_repeatable;
    }
    if (conditions.carries_data) {
        return hedge_decision::carries_data;
    }
    if (!conditions.host_takes_new_flows) {
        return hedge_decision::host_closed;
    }
    if (conditions.host_is_cold) {
        return hedge_decision::host_cold;
    }
    if (conditions.host_is_suspected) {
        return hedge_decision::host_suspected;
    }
    if (conditions.service_is_near_capacity) {
        return hedge_decision::near_capacity;
    }
    if (openings.times.total < min_opening_samples) {
        return hedge_decision::not_learnt;
    }
    const auto opened = static_cast<double>(openings.opened.size());
    const bool many_are_late = openings.late.size() > max_late_opens &&
                               static_cast<double>(openings.late.size()) > max_late_share * opened;
    const bool all_are_late = openings.late_in_row > max_late_opens;
    if (many_are_late || all_are_late || hedge_delay(openings.times) >= max_hedge_delay) {
        return hedge_decision::service_slow;
    }
    const auto allowed = std::min(limit, max_hedge_limit) * opened + rounding_allowance;
    return static_cast<double>(openings.extra.size() + 1) <= allowed ? hedge_decision::send
                                                                     : hedge_decision::over_limit;
}

void record_placed_open(hedged_opens& state, const flow_tuple& flow, awaited_open placed) {
    if (state.limit <= 0) {
        return;
    }
    auto& openings = state.services[placed.service];
    const auto now = placed.placed_at;
    remove_before_window(openings.opened, now);
    add_bounded(openings.opened, now);
    if (const auto earlier = state.awaited.find(flow); earlier != state.awaited.end()) {
        count_use(state, earlier->second, std::nullopt);
        state.awaited.erase(earlier);
    }
    if (state.awaited.size() < max_awaited_opens) {
        state.timers.emplace(now + hedge_delay(openings.times), open_timer{.flow = flow, .placed_at = now});
        state.awaited.emplace(flow, std::move(placed));
    }
}

void record_open_answer(hedged_opens& state, const flow_tuple& flow, steering_tag tag, mono_time now) {
    const auto found = state.awaited.find(flow);
    if (found == state.awaited.end()) {
        return;
    }
    const auto& open = found->second;
    const bool is_first_host = open.tag == tag;
    count_use(state, open, is_first_host ? std::optional{now} : std::nullopt);
    auto& openings = state.services[open.service];
    record_opening_time(openings.times, now - open.placed_at);
    openings.late_in_row = open.was_late ? openings.late_in_row : 0;
    state.awaited.erase(found);
}

std::vector<flow_tuple> take_late_opens(hedged_opens& state, mono_time now) {
    std::vector<flow_tuple> late;
    while (!state.timers.empty() && state.timers.begin()->first <= now) {
        const auto timer = state.timers.begin()->second;
        state.timers.erase(state.timers.begin());
        auto* open = find_awaited(state, timer);
        if (open == nullptr) {
            continue;
        }
        if (now >= open->placed_at + open_give_up_time) {
            count_use(state, *open, std::nullopt);
            record_opening_time(state.services[open->service].times, now - open->placed_at);
            state.awaited.erase(timer.flow);
            continue;
        }
        state.timers.emplace(open->placed_at + open_give_up_time, timer);
        if (!open->was_late) {
            open->was_late = true;
            late.push_back(timer.flow);
        }
    }
    return late;
}

hedge_decision record_late_open(hedged_opens& state, awaited_open& late, const hedge_conditions& conditions,
                                mono_time now) {
    auto& openings = state.services[late.service];
    add_bounded(openings.late, now);
    ++openings.late_in_row;
    const auto decision = decide_hedge(openings, state.limit, conditions, now);
    if (decision == hedge_decision::send) {
        add_bounded(openings.extra, now);
        late.extra_sent_at = now;
        ++state.counts.tried;
    } else {
        ++state.counts.not_tried.at(static_cast<std::size_t>(decision));
    }
    return decision;
}

void forget_openings(hedged_opens& state) {
    for (const auto& [flow, open] : state.awaited) {
        count_use(state, open, std::nullopt);
    }
    state.awaited.clear();
    state.timers.clear();
    state.services.clear();
}

mono_time next_late_open_at(hedged_opens& state, mono_time otherwise) {
    while (!state.timers.empty() && find_awaited(state, state.timers.begin()->second) == nullptr) {
        state.timers.erase(state.timers.begin());
    }
    return state.timers.empty() ? otherwise : std::min(otherwise, state.timers.begin()->first);
}

}  // namespace guavaramp
