#include "owned_requests.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <vector>

namespace guavaramp {
namespace {

constexpr std::int64_t cancel_timeout_ms = 1000;

mono_time mono_at(std::int64_t unix_ms, const clock_reading& now) {
    return now.mono + std::chrono::milliseconds{unix_ms - now.unix_ms};
}

request_answer unknown_answer(const char* reason) {
    return {.outcome = request_outcome::outcome_unknown, .reason = reason};
}

request_answer not_run_answer(std::string reason, std::int64_t retry_after_ms) {
    return {
        .outcome = request_outcome::not_run, .reason = std::move(reason), .retry_after_ms = retry_after_ms};
}

send_result send_result_of(run_end how) noexcept {
    switch (how) {
        case run_end::answered:
            return send_result::answered;
        case run_end::refused:
            return send_result::refused;
        case run_end::not_sent:
            return send_result::not_sent;
        case run_end::answer_lost:
            break;
    }
    return send_result::ended;
}

/// How a sending ended; `answer` is the host's answer or the reason why there is none.
struct ended_run {
    run_end how{run_end::answer_lost};
    result<host_answer> answer;
};

ended_run read_end(const http_outcome& outcome, const std::string& id) {
    if (!outcome.response) {
        return {.how = outcome.request_may_have_been_sent ? run_end::answer_lost : run_end::not_sent,
                .answer = tl::make_unexpected(outcome.response.error())};
    }
    auto answer = parse_host_answer(outcome.response->status, outcome.response->body, id);
    if (!answer) {
        return {.how = run_end::answer_lost, .answer = std::move(answer)};
    }
    return {.how = answer->refused ? run_end::refused : run_end::answered, .answer = std::move(answer)};
}

}  // namespace

owned_requests::owned_requests(const owned_request_options& options, counter_registry& counters,
                               owned_request_ports ports)
    : counters_(counters),
      ports_(std::move(ports)),
      table_(request_table_options{}),
      limits_(options.admission, options.seed),
      copies_{.limit = options.hedge_limit} {}

void owned_requests::set_config(std::shared_ptr<const config_snapshot> config, const clock_reading& now) {
    config_ = std::move(config);
    for (const auto& [name, item] : config_->value().services) {
        std::vector<admission_upstream> active;
        for (const auto& host : item.upstreams) {
            if (host.request_address.port != 0 &&
                state_at(host, from_unix_ms(now.unix_ms)) == upstream_state::active) {
                active.push_back({.id = host.id,
                                  .host = host.request_address.address,
                                  .weight = static_cast<double>(host.weight)});
            }
        }
        limits_.set_upstreams(item.id, std::move(active), now.mono);
    }
}

work_class owned_requests::urgency_of(const client_request& request) const {
    if (request.urgency) {
        return *request.urgency;
    }
    const auto* target = config_ ? config_->find_service(request.service) : nullptr;
    return target != nullptr ? target->urgency : work_class::normal;
}

bool owned_requests::is_waiting() const {
    const bool queued = limits_.queued(work_class::urgent) + limits_.queued(work_class::normal) +
                            limits_.queued(work_class::bulk) >
                        0;
    return queued || !copies_.late_timers.empty();
}

void owned_requests::own(const client_request& request, std::uint64_t waiter, const owner_history& owners,
                         const clock_reading& now) {
    const auto arrived = table_.arrive(request, waiter, owners, now.unix_ms);
    if (arrived.kind == arrival_kind::answer) {
        ports_.answer(waiter, arrived.answer);
        return;
    }
    if (arrived.kind == arrival_kind::joined) {
        count("request_duplicates_total", "Requests whose id was in progress", "");
        return;
    }
    const auto* target = config_ ? config_->find_service(request.service) : nullptr;
    if (target == nullptr) {
        complete(request.id, not_run_answer("unknown_service", 0));
        return;
    }
    count("requests_owned_total", "Distinct requests that this daemon ran or refused as owner", "");
    const auto ticket = ++last_ticket_;
    id_by_ticket_[ticket] = request.id;
    owned_by_id_[request.id] = {
        .request = request,
        .runs = {.service = target->id, .is_repeatable = request.idempotent, .first = {.ticket = ticket}}};
    limits_.submit({.ticket = ticket,
                    .service = target->id,
                    .urgency = urgency_of(request),
                    .deadline = mono_at(request.deadline_ms, now)},
                   now.mono);
}

void owned_requests::send_due(const clock_reading& now) {
    send_copies(now);
    for (const auto& effect : limits_.poll(now.mono)) {
        const auto named = id_by_ticket_.find(effect.ticket);
        if (named == id_by_ticket_.end()) {
            continue;
        }
        const std::string id = named->second;
        if (effect.reason != rejection::none) {
            complete(id, not_run_answer(to_string(effect.reason), effect.retry_after_ms));
            continue;
        }
        send_to_upstream(effect, owned_by_id_.at(id), now);
    }
}

void owned_requests::send_to_upstream(const admission_effect& effect, owned& item, const clock_reading& now) {
    const auto target = config_->find_upstream(effect.upstream);
    if (target.host == nullptr) {
        // The upstream left the configuration between two refreshes.
        end_run(effect.ticket, {.response = fail(error_kind::unavailable, "unknown upstream")}, now);
        return;
    }
    table_.mark_sent(item.request.id);
    count("request_sends_total", "Requests sent to upstreams, repeated ones included", "");
    auto& run = run_of(item.runs, effect.ticket);
    run.host_url = "http://" + to_string(target.host->request_address);
    run.call = ports_.start({.method = "POST",
                             .url = run.host_url + "/run",
                             .body = to_run_text(item.request),
                             .deadline = mono_at(item.request.deadline_ms, now),
                             .at_most_once = !item.request.idempotent},
                            effect.ticket);
    if (effect.ticket != item.runs.copy.ticket) {
        await_late(copies_, item.runs, now.mono);
    }
}

void owned_requests::send_copies(const clock_reading& now) {
    for (const auto& timer : take_due_timers(copies_, now.mono)) {
        const auto named = id_by_ticket_.find(timer.ticket);
        if (named == id_by_ticket_.end()) {
            continue;
        }
        auto& item = owned_by_id_.at(named->second);
        if (is_late(item.runs, timer)) {
            send_copy(std::string{named->second}, item, now);
        }
    }
}

void owned_requests::send_copy(const std::string& id, owned& item, const clock_reading& now) {
    const auto ticket = ++last_ticket_;
    const auto decided = try_copy(copies_, item.runs, limits_, ticket, now.mono);
    if (decided != request_hedge::send) {
        count("request_copies_not_tried_total", "Late requests without a copy, by reason",
              to_string(decided));
        return;
    }
    id_by_ticket_[ticket] = id;
    count_copy("tried");
}

void owned_requests::end_run(std::uint64_t ticket, const http_outcome& outcome, const clock_reading& now) {
    const auto named = id_by_ticket_.find(ticket);
    if (named == id_by_ticket_.end()) {
        // Its waiters were answered at the deadline, after a cancellation or by the other copy.
        static_cast<void>(limits_.finish(ticket, send_result::ended, false, now.mono));
        return;
    }
    const std::string id = named->second;
    auto& item = owned_by_id_.at(id);
    run_of(item.runs, ticket).call = 0;
    auto ended = read_end(outcome, id);
    count_failure(ended.how, ended.answer);
    auto decided = decide_run_end(ended.how, {.is_repeatable = item.runs.is_repeatable,
                                              .is_other_running = item.runs.copy.ticket != 0,
                                              .may_have_run = item.runs.may_have_run});
    item.runs.may_have_run = decided.may_have_run;
    const bool is_queued_again =
        limits_.finish(ticket, send_result_of(ended.how), decided.may_retry, now.mono);
    switch (decided.step) {
        case run_step::pass_answer:
            cancel_run(record_answered(copies_, item.runs, ticket, now.mono), id, now);
            complete(id, {.outcome = request_outcome::answered, .body = std::move(ended.answer->body)});
            return;
        case run_step::await_other:
            id_by_ticket_.erase(ticket);
            remove_run(item.runs, ticket);
            return;
        case run_step::retry_or_fail:
            fail_or_await_retry(id, std::move(decided.failure), is_queued_again);
            return;
    }
}

void owned_requests::fail_or_await_retry(const std::string& id, request_answer failure,
                                         bool is_queued_again) {
    const bool is_not_run = failure.outcome == request_outcome::not_run;
    if (is_not_run) {
        table_.mark_not_run(id);
    }
    if (is_queued_again) {
        return;
    }
    if (is_not_run) {
        failure.retry_after_ms = limits_.suggest_retry_after_ms();
    }
    complete(id, std::move(failure));
}

void owned_requests::complete(const std::string& id, request_answer outcome) {
    const auto due = table_.complete(id, std::move(outcome));
    forget(id);
    for (const auto& item : due) {
        ports_.answer(item.waiter, item.answer);
    }
}

void owned_requests::forget(const std::string& id) {
    const auto node = owned_by_id_.extract(std::string{id});
    if (node.empty()) {
        return;
    }
    const auto& runs = node.mapped().runs;
    id_by_ticket_.erase(runs.first.ticket);
    id_by_ticket_.erase(runs.copy.ticket);
    if (runs.copy_was_sent) {
        count_copy(runs.copy_won ? "won" : "wasted");
    }
}

/// Ends the call of `run` and cancels the request at its host. Does nothing if there is no call.
void owned_requests::cancel_run(const host_run& run, const std::string& id, const clock_reading& now) {
    if (run.call == 0) {
        return;
    }
    ports_.stop(run.call);
    count("request_cancellations_total", "Requests cancelled at upstreams", "");
    ports_.notify({.method = "POST",
                   .url = run.host_url + "/cancel",
                   .body = nlohmann::json{{"id", id}}.dump(),
                   .deadline = mono_at(now.unix_ms + cancel_timeout_ms, now)});
}

void owned_requests::cancel_runs(const owned& item, const clock_reading& now) {
    cancel_run(item.runs.first, item.request.id, now);
    cancel_run(item.runs.copy, item.request.id, now);
}

void owned_requests::cancel(const std::string& id, const clock_reading& now) {
    const auto found = owned_by_id_.find(id);
    if (found == owned_by_id_.end()) {
        return;
    }
    if (found->second.runs.first.call == 0) {
        limits_.withdraw(found->second.runs.first.ticket);
        complete(id, not_run_answer("cancelled", 0));
        return;
    }
    cancel_runs(found->second, now);
    complete(id, unknown_answer("cancelled"));
}

void owned_requests::expire(const clock_reading& now) {
    for (const auto& due : table_.expire(now.unix_ms)) {
        const auto found = owned_by_id_.find(due.id);
        if (found != owned_by_id_.end()) {
            limits_.withdraw(found->second.runs.first.ticket);
            cancel_runs(found->second, now);
            forget(due.id);
        }
        ports_.answer(due.waiter, due.answer);
    }
}

void owned_requests::publish_gauges() {
    for (const auto urgency : {work_class::urgent, work_class::normal, work_class::bulk}) {
        counters_
            .get("request_queue", "Requests queued at this owner by class", to_string(urgency),
                 counter_kind::gauge)
            .set(limits_.queued(urgency));
    }
    counters_.get("request_records", "Request ids that this owner remembers", "", counter_kind::gauge)
        .set(table_.size());
}

void owned_requests::count(const char* name, const char* help, const std::string& label) {
    counters_.get(name, help, label).add();
}

void owned_requests::count_failure(run_end how, const result<host_answer>& answer) {
    if (how == run_end::answer_lost) {
        count("request_answers_lost_total", "Sent requests without a whole answer of their own",
              std::string{representation_of(answer.error().kind).name});
    } else if (how == run_end::refused) {
        count("request_refusals_total", "Requests that a host refused before running them", "");
    }
}

void owned_requests::count_copy(const char* result) {
    count("request_copies_total", "Copies of late requests at a second host, and whether they were of use",
          result);
}

}  // namespace guavaramp
