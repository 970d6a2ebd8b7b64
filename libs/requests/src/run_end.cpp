#include <guavaramp/requests/run_end.hpp>

namespace guavaramp {
namespace {

request_answer failure_of(run_end how, bool may_have_run) {
    if (how == run_end::answer_lost) {
        return {.outcome = request_outcome::outcome_unknown, .reason = "answer_lost"};
    }
    if (may_have_run) {
        return {.outcome = request_outcome::outcome_unknown, .reason = "sent_to_upstream"};
    }
    return {.outcome = request_outcome::not_run,
            .reason = how == run_end::refused ? "refused" : "upstream_unreachable"};
}

}  // namespace

run_decision decide_run_end(run_end how, const run_context& known) {
    if (how == run_end::answered) {
        return {.step = run_step::pass_answer, .may_have_run = true};
    }
    const bool is_lost = how == run_end::answer_lost;
    const bool may_have_run = known.may_have_run || is_lost;
    if (known.is_other_running) {
        return {.step = run_step::await_other, .may_have_run = may_have_run};
    }
    return {.step = run_step::retry_or_fail,
            .may_retry = !is_lost || known.is_repeatable,
            .may_have_run = may_have_run,
            .failure = failure_of(how, may_have_run)};
}

}  // namespace guavaramp
