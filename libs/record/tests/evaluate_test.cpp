#include <guavaramp/record/evaluate.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

namespace guavaramp {
namespace {

const wall_time now = from_unix_ms(1'800'000'000'000);

configuration one_service() {
    configuration value;
    service dispatch{.id = service_id{1}, .name = "dispatch", .address = *parse_endpoint("10.9.0.1:443")};
    dispatch.upstreams.push_back({.id = upstream_id{7}, .name = "h07", .drain_at = now});
    dispatch.upstreams.push_back({.id = upstream_id{8}, .name = "h08"});
    value.head.services["dispatch"] = {.id = dispatch.id};
    value.services["dispatch"] = dispatch;
    return value;
}

flow_record record_of(std::uint32_t upstream, flow_end end) {
    flow_record record{
        .flow = {.caller = *parse_endpoint("10.0.0.7:4312"), .service = *parse_endpoint("10.9.0.1:443")},
        .service = service_id{1},
        .upstream = upstream_id{upstream},
        .first_seen = now,
        .end = end};
    if (end != flow_end::open) {
        record.ended_at = now;
    }
    return record;
}

query_source source_with(const gathered_flows& flows) {
    return {.now = [] { return now; },
            .config = [] { return std::make_shared<config_snapshot>(one_service()); },
            .entries = [] { return member_list{}; },
            .changes = [](wall_time) { return change_listing{.complete = false}; },
            .counters = [] { return std::vector<counter_value>{{.name = "flows_total", .value = 3}}; },
            .find_flow = [flows](const flow_key&) { return flows; },
            .list_flows = [flows](service_id, upstream_id, std::size_t) { return flows; },
            .broken_flows = [flows](wall_time) { return flows; },
            .change = [](const change_command& command, const change_options&) -> result<change_outcome> {
                const auto planned = plan_change(one_service(), command, {.now = now});
                if (!planned) {
                    return tl::make_unexpected(planned.error());
                }
                return change_outcome{.planned = *planned, .committed = {.summary = planned->summary}};
            }};
}

query_answer ask(const std::string& command, const gathered_flows& flows = {},
                 const change_options& options = {}) {
    return evaluate(command, source_with(flows), options);
}

bool mentions(const query_answer& answer, const std::string& text) {
    return answer.message.find(text) != std::string::npos;
}

constexpr const char* why = "why flow 10.0.0.7:4312 -> 10.9.0.1:443";

// Guards against an answer that guesses: a flow that nobody knows is not "closed", and who was not asked is
// named.
TEST_CASE("EvaluateTest.UnknownFlowNamesWhoDidNotReplyAndHowFarRecordsReach") {
    const auto answer = ask(why, {.replied = {{.entry = "127.10.1.1", .ended = now, .broken = now}},
                                  .not_reached = {"127.10.2.1"}});
    CHECK(answer.failure == error_kind::not_found);
    CHECK(mentions(answer, "none of the 1 entry VMs that replied knows"));
    CHECK(mentions(answer, "no reply from 127.10.2.1"));
    CHECK(mentions(answer, "reach back to 2027-01-15T08:00:00.000Z"));
    CHECK(answer.not_reached == std::vector<std::string>{"127.10.2.1"});
}

// Guards against an answer that tells of an old end although the flow is open, or hides that entry VMs name
// different upstreams.
TEST_CASE("EvaluateTest.OpenFlowComesFirstAndDisagreementIsTold") {
    const auto ended = ask(why, {.flows = {{.entry = "a", .record = record_of(7, flow_end::lost_at_upstream)},
                                           {.entry = "b", .record = record_of(8, flow_end::open)}}});
    CHECK_FALSE(ended.failure.has_value());
    CHECK(mentions(ended, "is open; upstream dispatch/h08"));
    CHECK(ended.rows.size() == 2);
    const auto split = ask(why, {.flows = {{.entry = "a", .record = record_of(7, flow_end::open)},
                                           {.entry = "b", .record = record_of(8, flow_end::open)}}});
    CHECK(mentions(split, "disagree about the upstream: dispatch/h07, dispatch/h08"));
}

// Guards against one broken flow that counts once for each entry VM that recorded it, and against a count
// that is given as whole when records are missing.
TEST_CASE("EvaluateTest.BrokenFlowsCountOnceByGroup") {
    const gathered_flows flows{.flows = {{.entry = "a", .record = record_of(7, flow_end::lost_at_upstream)},
                                         {.entry = "b", .record = record_of(7, flow_end::lost_at_upstream)}}};
    const auto by_cause = ask("broken flows last 1h by cause", flows);
    CHECK(by_cause.rows == std::vector<std::vector<std::string>>{{"lost_at_upstream", "1"}});
    CHECK(by_cause.message.starts_with("1 broken flows"));
    auto partial = flows;
    partial.not_reached = {"127.10.2.1"};
    CHECK(ask("broken flows last 1h", partial).message.starts_with("at least 1 broken flows"));
    partial = flows;
    partial.replied = {{.entry = "a", .ended = now, .broken = now}};
    CHECK(ask("broken flows last 1h", partial).message.starts_with("at least 1 broken flows"));
    const auto by_upstream = ask("broken flows last 1h by upstream", flows);
    CHECK(by_upstream.rows == std::vector<std::vector<std::string>>{{"dispatch/h07", "1"}});
}

// Guards against an error about a name that points nowhere, and against a planned drain shown as active.
TEST_CASE("EvaluateTest.AnswersPointAtUnknownNamesAndApplyPlannedDrains") {
    const auto unknown = ask("show upstreams of dispach");
    CHECK(unknown.failure == error_kind::not_found);
    CHECK(unknown.position == 18);
    CHECK(mentions(unknown, "did you mean 'dispatch'?"));
    CHECK(ask("set weight dispatch/h70 5").position == 11);
    CHECK(ask("drain upstream dispatch/h08").failure == error_kind::refused);
    const auto upstreams = ask("show upstreams of dispatch");
    REQUIRE(upstreams.rows.size() == 2);
    CHECK(upstreams.rows[0][2] == "draining");
    CHECK(mentions(ask("show changes since 10m"), "no longer known here"));
}

// Guards against a dry run that says "accepted".
TEST_CASE("EvaluateTest.DryRunShowsThePlanOnly") {
    const auto answer = ask("set weight dispatch/h08 5", {}, {.dry_run = true});
    CHECK(mentions(answer, "nothing was changed"));
    CHECK(answer.rows.back()[3] == "5");
}

// Guards against an answer that changes on its way to the operator.
TEST_CASE("EvaluateTest.AnswersSurviveJson") {
    for (const char* command : {why, "show services", "nonsense", "show counters", "help"}) {
        const auto answer = ask(command);
        const auto decoded = answer_from_json(to_json(answer));
        REQUIRE(decoded.has_value());
        CHECK(*decoded == answer);
    }
}

// Guards against crashes on hostile commands.
TEST_CASE("EvaluateTest.AnyTextGetsAnAnswer") {
    check_property("random text", [](const std::string& text) {
        const auto answer = ask(text);
        RC_ASSERT(!answer.message.empty());
        RC_ASSERT((!answer.position || *answer.position <= text.size()));
    });
}

}  // namespace
}  // namespace guavaramp
