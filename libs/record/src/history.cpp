#include <guavaramp/record/history.hpp>

#include <algorithm>
#include <limits>

namespace guavaramp {
namespace {

constexpr std::uint32_t never = std::numeric_limits<std::uint32_t>::max();

std::uint32_t saturate(std::uint64_t value) noexcept {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(value, never));
}

/// Milliseconds from `time` to `end`, or `never` for the epoch, which stands for "no packet".
std::uint32_t offset_before(wall_time end, wall_time time) noexcept {
    if (time == wall_time{}) {
        return never;
    }
    const auto span_ms = std::max<std::int64_t>(0, (end - time).count());
    return static_cast<std::uint32_t>(std::min<std::int64_t>(span_ms, never - 1));
}

wall_time time_before(wall_time end, std::uint32_t offset_ms) noexcept {
    return offset_ms == never ? wall_time{} : end - std::chrono::milliseconds{offset_ms};
}

bool same_flow_end(const compact_flow& left, const compact_flow& right) noexcept {
    return left.ended_ms == right.ended_ms && left.caller_port == right.caller_port &&
           left.caller_address == right.caller_address && left.service_index == right.service_index &&
           left.protocol == right.protocol && left.owner_index == right.owner_index;
}

// Copies of one record arrive within seconds of each other; older entries need not be compared.
constexpr std::size_t compared_for_repeats = 64;

bool holds(const std::deque<compact_flow>& flows, const compact_flow& flow) {
    const auto count = std::min(flows.size(), compared_for_repeats);
    return std::any_of(flows.rbegin(), flows.rbegin() + static_cast<std::ptrdiff_t>(count),
                       [&](const compact_flow& other) { return same_flow_end(other, flow); });
}

}  // namespace

compact_flow flow_history::compact(const flow_record& record) {
    const wall_time end = record.ended_at.value_or(record.last_from_caller);
    return {.caller_address = record.flow.caller.address.bytes,
            .ended_ms = to_unix_ms(end),
            .first_seen_before_ms = offset_before(end, record.first_seen),
            .caller_before_ms = offset_before(end, record.last_from_caller),
            .upstream_before_ms = offset_before(end, record.last_from_upstream),
            .service = static_cast<std::uint32_t>(record.service),
            .upstream = static_cast<std::uint32_t>(record.upstream),
            .revision = saturate(static_cast<std::uint64_t>(record.revision)),
            .relayed_packets = saturate(record.relayed_packets),
            .caller_port = record.flow.caller.port,
            .owner_index = owners_.index_of(record.owner),
            .service_index = services_.index_of(record.flow.service),
            .reason = record.reason,
            .end = record.end,
            .protocol = record.flow.protocol};
}

flow_record flow_history::expand(const compact_flow& flow) const {
    const wall_time end = from_unix_ms(flow.ended_ms);
    return {.flow = {.caller = {.address = {flow.caller_address}, .port = flow.caller_port},
                     .service = services_.value_at(flow.service_index),
                     .protocol = flow.protocol},
            .service = service_id{flow.service},
            .upstream = upstream_id{flow.upstream},
            .reason = flow.reason,
            .revision = config_revision{flow.revision},
            .owner = owners_.value_at(flow.owner_index),
            .first_seen = time_before(end, flow.first_seen_before_ms),
            .last_from_caller = time_before(end, flow.caller_before_ms),
            .last_from_upstream = time_before(end, flow.upstream_before_ms),
            .relayed_packets = flow.relayed_packets,
            .end = flow.end,
            .ended_at = end};
}

void flow_history::add(const flow_record& record) {
    const compact_flow flow = compact(record);
    const bool broken = is_broken(record.end);
    auto& flows = broken ? broken_ : ended_;
    const std::size_t limit = broken ? limits_.broken : limits_.ended;
    if (holds(flows, flow)) {
        return;
    }
    flows.push_back(flow);
    if (flows.size() > limit) {
        const wall_time dropped = from_unix_ms(flows.front().ended_ms);
        auto& last = broken ? last_broken_dropped_ : last_dropped_;
        last = std::max(last, dropped);
        flows.pop_front();
    }
}

std::vector<flow_record> flow_history::find(const flow_key& flow) const {
    std::vector<flow_record> found;
    for (const auto* flows : {&ended_, &broken_}) {
        for (const auto& item : *flows) {
            const bool same =
                item.caller_port == flow.caller.port && item.caller_address == flow.caller.address.bytes &&
                item.protocol == flow.protocol && services_.value_at(item.service_index) == flow.service;
            if (same) {
                found.push_back(expand(item));
            }
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const flow_record& left, const flow_record& right) {
        return left.ended_at > right.ended_at;
    });
    return found;
}

std::vector<flow_record> flow_history::broken_since(wall_time since, std::size_t limit) const {
    std::vector<flow_record> found;
    for (auto item = broken_.rbegin(); item != broken_.rend() && found.size() < limit; ++item) {
        if (item->ended_ms >= to_unix_ms(since)) {
            found.push_back(expand(*item));
        }
    }
    return found;
}

std::vector<flow_record> flow_history::of_service(service_id service, upstream_id upstream,
                                                  std::size_t limit) const {
    std::vector<flow_record> found;
    for (const auto* flows : {&broken_, &ended_}) {
        for (auto item = flows->rbegin(); item != flows->rend() && found.size() < limit; ++item) {
            const bool wanted = service_id{item->service} == service &&
                                (upstream == no_upstream || upstream_id{item->upstream} == upstream);
            if (wanted) {
                found.push_back(expand(*item));
            }
        }
    }
    return found;
}

wall_time flow_history::reaches_back_to() const noexcept {
    return std::max(started_, last_dropped_ + std::chrono::milliseconds{1});
}

wall_time flow_history::broken_reaches_back_to() const noexcept {
    return std::max(started_, last_broken_dropped_ + std::chrono::milliseconds{1});
}

void change_history::observe(const config_head& head, wall_time now) {
    if (head.revision <= seen_) {
        return;
    }
    const bool forgot =
        head.recent_changes.size() == max_recent_changes && head.recent_changes.front().revision > seen_;
    gap_ = gap_ || (observed_ && forgot);
    for (const auto& change : head.recent_changes) {
        if (change.revision > seen_) {
            const bool since_start = observed_ || change.accepted_at >= started_;
            changes_.push_back(
                {.change = change, .in_force_at = since_start ? std::optional{now} : std::nullopt});
        }
    }
    while (changes_.size() > limit_) {
        changes_.pop_front();
    }
    seen_ = head.revision;
    observed_ = true;
}

std::vector<change_record> change_history::since(wall_time since) const {
    std::vector<change_record> found;
    std::copy_if(changes_.begin(), changes_.end(), std::back_inserter(found),
                 [since](const change_record& record) { return record.change.accepted_at >= since; });
    return found;
}

bool change_history::complete_since(wall_time since) const {
    const bool reaches_back = !changes_.empty() && changes_.front().change.accepted_at < since;
    const bool nothing_forgotten = changes_.size() < max_recent_changes && changes_.size() < limit_;
    return !gap_ && (reaches_back || nothing_forgotten);
}

}  // namespace guavaramp
