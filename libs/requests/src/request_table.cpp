#include <guavaramp/requests/request_table.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr const char* body_dropped = "answered_earlier_body_dropped";

request_answer unknown(const char* reason) {
    return {.outcome = request_outcome::outcome_unknown, .reason = reason};
}

}  // namespace

arrival request_table::arrive(const client_request& request, std::uint64_t waiter,
                              const owner_history& owners, std::int64_t now_ms) {
    const auto found = records_.find(request.id);
    if (found != records_.end()) {
        if (found->second.state == phase::done) {
            return answer_done(found, request, waiter);
        }
        found->second.waiters.push_back(waiter);
        if (request.attempt > found->second.attempt) {
            found->second.attempt = request.attempt;
        }
        return {.kind = arrival_kind::joined};
    }
    if (auto refused = refuse_unknown(request, owners, now_ms)) {
        return {.kind = arrival_kind::answer, .answer = *std::move(refused)};
    }
    if (!make_room()) {
        return {.kind = arrival_kind::answer, .answer = unknown("owner_table_full")};
    }
    return start(request, waiter);
}

std::optional<request_answer> request_table::refuse_unknown(const client_request& request,
                                                            const owner_history& owners,
                                                            std::int64_t now_ms) const {
    if (request.idempotent) {
        return std::nullopt;
    }
    if (now_ms > request.deadline_ms + options_.keep_ms) {
        return unknown("outcome_no_longer_kept");
    }
    const auto route = owners.route(request.id, request.first_sent_ms);
    const bool owned = route.settled && route.owner == owners.self();
    if (!owned || request.first_sent_ms <= owners.unknown_before_ms() + ownership_settle_ms) {
        return unknown("owner_changed");
    }
    if (request.first_sent_ms <= dropped_first_sent_ms_) {
        return unknown("outcome_no_longer_kept");
    }
    // Both sides of a partition notice its beginning and its end up to the settling time apart.
    const bool split_since = owners.last_split_ms(now_ms) >= request.first_sent_ms - 2 * ownership_settle_ms;
    const bool may_be_repeated =
        now_ms - request.first_sent_ms > options_.first_repeat_ms || request.attempt.value_or(0) > 0;
    if (split_since && may_be_repeated) {
        return unknown("owner_disputed");
    }
    return std::nullopt;
}

arrival request_table::start(const client_request& request, std::uint64_t waiter) {
    auto& item = records_[request.id];
    item.idempotent = request.idempotent;
    item.first_sent_ms = request.first_sent_ms;
    item.deadline_ms = request.deadline_ms;
    item.attempt = request.attempt;
    item.waiters = {waiter};
    item.timer = timers_.end();
    set_timer(item, request.id, request.deadline_ms);
    return {.kind = arrival_kind::run};
}

arrival request_table::answer_done(record_map::iterator found, const client_request& request,
                                   std::uint64_t waiter) {
    auto& item = found->second;
    const bool later_attempt = request.attempt > item.attempt;
    const bool not_run = item.answer.outcome == request_outcome::not_run;
    // A caller that numbers its attempts asks again after "not run"; an attempt without a higher number may
    // be a late copy of the one that was already told "not run", so it must not run.
    if ((not_run && (later_attempt || item.idempotent)) ||
        (item.idempotent && item.answer.outcome == request_outcome::outcome_unknown)) {
        erase(found);
        return start(request, waiter);
    }
    return {.kind = arrival_kind::answer, .answer = item.answer};
}

void request_table::mark_sent(const std::string& id) {
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.state == phase::queued) {
        found->second.state = phase::sent;
    }
}

void request_table::mark_not_run(const std::string& id) {
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.state == phase::sent) {
        found->second.state = phase::queued;
    }
}

std::vector<due_answer> request_table::complete(const std::string& id, request_answer answer) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return {};
    }
    auto& item = found->second;
    if (item.state == phase::done) {
        const bool was_unknown = item.answer.outcome == request_outcome::outcome_unknown;
        if (was_unknown && answer.outcome == request_outcome::answered) {
            body_bytes_ += answer.body.size();
            item.answer = std::move(answer);
            drop_bodies();
        }
        return {};
    }
    if (item.state == phase::sent && answer.outcome == request_outcome::not_run) {
        answer = unknown("sent_to_upstream");
    }
    return finish(found, std::move(answer));
}

std::vector<due_answer> request_table::finish(record_map::iterator found, request_answer answer) {
    auto& item = found->second;
    std::vector<due_answer> due;
    for (const auto waiter : item.waiters) {
        due.push_back(
            {.waiter = waiter, .id = found->first, .answer = answer, .was_sent = item.state == phase::sent});
    }
    item.waiters = {};
    item.state = phase::done;
    item.answer = std::move(answer);
    body_bytes_ += item.answer.body.size();
    set_timer(item, found->first, item.deadline_ms + options_.keep_ms);
    drop_bodies();
    return due;
}

std::vector<due_answer> request_table::expire(std::int64_t now_ms) {
    std::vector<due_answer> due;
    while (!timers_.empty() && timers_.begin()->first <= now_ms) {
        const auto found = records_.find(timers_.begin()->second);
        if (found->second.state == phase::done) {
            erase(found);
            continue;
        }
        const bool was_sent = found->second.state == phase::sent;
        auto ended = finish(
            found, was_sent ? unknown("deadline")
                            : request_answer{.outcome = request_outcome::not_run, .reason = "deadline"});
        std::move(ended.begin(), ended.end(), std::back_inserter(due));
    }
    return due;
}

bool request_table::in_progress(const std::string& id) const {
    const auto found = records_.find(id);
    return found != records_.end() && found->second.state != phase::done;
}

bool request_table::can_answer(const std::string& id) const {
    const auto found = records_.find(id);
    return found != records_.end() &&
           (found->second.state != phase::done || found->second.answer.outcome == request_outcome::answered);
}

void request_table::set_timer(record& item, const std::string& id, std::int64_t at_ms) {
    if (item.timer != timers_.end()) {
        timers_.erase(item.timer);
    }
    item.timer = timers_.emplace(at_ms, id);
}

void request_table::erase(record_map::iterator found) {
    body_bytes_ -= found->second.answer.body.size();
    timers_.erase(found->second.timer);
    records_.erase(found);
}

void request_table::drop_bodies() {
    for (auto timer = timers_.begin(); body_bytes_ > options_.max_body_bytes && timer != timers_.end();
         ++timer) {
        auto& item = records_.at(timer->second);
        if (item.state == phase::done && !item.answer.body.empty()) {
            body_bytes_ -= item.answer.body.size();
            item.answer = unknown(body_dropped);
        }
    }
}

bool request_table::make_room() {
    if (records_.size() < options_.max_records) {
        return true;
    }
    for (auto& [at_ms, id] : timers_) {
        const auto found = records_.find(id);
        if (found->second.state == phase::done) {
            dropped_first_sent_ms_ = std::max(dropped_first_sent_ms_, found->second.first_sent_ms);
            erase(found);
            return true;
        }
    }
    return false;
}

}  // namespace guavaramp
