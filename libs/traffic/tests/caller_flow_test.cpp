#include <guavaramp/traffic/caller_flow.hpp>
#include <guavaramp/traffic/host_connections.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

constexpr mono_time start{std::chrono::seconds{100}};

caller_flow open_flow(host_connections& host) {
    caller_flow flow{
        .key = {.caller = *parse_endpoint("10.64.0.1:4000"), .service = *parse_endpoint("10.9.0.1:443")},
        .number = 17};
    begin_open(flow, start);
    const auto answers = host.receive({}, waiting_segment(flow).header, start);
    REQUIRE(answers.size() == 1);
    REQUIRE(check_answer(flow, answers[0].header, start) == answer_verdict::opened);
    return flow;
}

host_connections make_host(const std::string& name) {
    return host_connections{{.name = name, .services = {*parse_endpoint("10.9.0.1:443")}}};
}

ip_packet with_payload(ip_packet header, const std::string& payload) {
    header.payload = std::as_bytes(std::span{payload});
    return header;
}

host_answer exchange(caller_flow& flow, host_connections& host) {
    begin_message(flow, start);
    const auto segment = waiting_segment(flow);
    const auto answers = host.receive({}, with_payload(segment.header, segment.payload), start);
    REQUIRE(answers.size() == 1);
    return answers[0];
}

// Guards against a checker that rejects a correct conversation.
TEST_CASE("CallerFlowTest.WholeConversationWithOneHostIsAccepted") {
    auto host = make_host("h01");
    auto flow = open_flow(host);
    for (int message = 0; message < 5; ++message) {
        const auto answer = exchange(flow, host);
        CHECK(check_answer(flow, with_payload(answer.header, answer.payload), start) ==
              answer_verdict::answered);
    }
    CHECK(flow.host == "h01");
    begin_close(flow, start);
    const auto answers = host.receive({}, waiting_segment(flow).header, start);
    REQUIRE(answers.size() == 1);
    CHECK(check_answer(flow, answers[0].header, start) == answer_verdict::closed);
    CHECK(host.counters().connections == 0);
}

// Guards against a flow that moves to another host unnoticed.
TEST_CASE("CallerFlowTest.AnswerFromAnotherHostBreaksTheFlow") {
    auto host = make_host("h01");
    auto flow = open_flow(host);
    const auto first = exchange(flow, host);
    static_cast<void>(check_answer(flow, with_payload(first.header, first.payload), start));
    auto second = exchange(flow, host);
    second.payload.replace(0, 3, "h02");
    CHECK(check_answer(flow, with_payload(second.header, second.payload), start) == answer_verdict::broke);
    CHECK(flow.cause == break_cause::wrong_host);
}

// Guards against a partial or altered answer that passes as whole, for every cut and every altered byte.
TEST_CASE("CallerFlowTest.AnyCutOrAlteredAnswerBreaksTheFlow") {
    check_property("cut or altered answers are detected", [](std::uint8_t position, bool cut) {
        auto host = make_host("h01");
        auto flow = open_flow(host);
        auto answer = exchange(flow, host);
        const std::size_t index = 4 + position % (answer.payload.size() - 4);
        if (cut) {
            answer.payload.resize(index);
        } else {
            answer.payload[index] = '#';
        }
        RC_ASSERT(check_answer(flow, with_payload(answer.header, answer.payload), start) ==
                  answer_verdict::broke);
        RC_ASSERT(flow.cause == (cut ? break_cause::partial_answer : break_cause::wrong_content));
    });
}

// Guards against a second host that accepted the same connection request.
TEST_CASE("CallerFlowTest.SecondAcceptingHostBreaksTheFlow") {
    auto host = make_host("h01");
    auto other = host_connections{{.name = "h02", .services = {*parse_endpoint("10.9.0.1:443")}, .seed = 2}};
    auto flow = open_flow(host);
    auto repeated = flow;
    repeated.next_send -= 1;
    repeated.phase = flow_phase::opening;
    const auto answers = other.receive({}, waiting_segment(repeated).header, start);
    CHECK(check_answer(flow, answers[0].header, start) == answer_verdict::broke);
    CHECK(flow.cause == break_cause::wrong_host);
}

// Guards against late duplicates that break a healthy flow.
TEST_CASE("CallerFlowTest.DuplicateOfAnEarlierAnswerIsIgnored") {
    auto host = make_host("h01");
    auto flow = open_flow(host);
    const auto first = exchange(flow, host);
    static_cast<void>(check_answer(flow, with_payload(first.header, first.payload), start));
    static_cast<void>(exchange(flow, host));
    CHECK(check_answer(flow, with_payload(first.header, first.payload), start) == answer_verdict::ignored);
}

// Guards against a reset, or silence beyond the limit, that is not counted as a broken flow.
TEST_CASE("CallerFlowTest.ResetAndSilenceBreakTheFlow") {
    auto host = make_host("h01");
    auto reset = open_flow(host);
    CHECK(check_answer(reset, {.tcp_flags = tcp_flag::rst}, start) == answer_verdict::broke);
    CHECK(reset.cause == break_cause::reset);
    auto other = make_host("h01");
    auto silent = open_flow(other);
    begin_message(silent, start);
    CHECK_FALSE(break_if_unanswered(silent, start + default_answer_limit - std::chrono::milliseconds{1}));
    CHECK(break_if_unanswered(silent, start + default_answer_limit));
    CHECK(silent.cause == break_cause::no_answer);
}

// Guards against retransmission waits that do not double or go past the limit.
TEST_CASE("CallerFlowTest.RetransmissionWaitsDoubleUpToTheLimit") {
    caller_flow flow{.first_sent = start};
    CHECK(next_retransmission(flow, start) == start + std::chrono::milliseconds{300});
    flow.attempts = 2;
    CHECK(next_retransmission(flow, start) == start + std::chrono::milliseconds{1200});
    flow.attempts = 4;
    CHECK(next_retransmission(flow, start + std::chrono::seconds{1}) == start + default_answer_limit);
}

}  // namespace
}  // namespace guavaramp
