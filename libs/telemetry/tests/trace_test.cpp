#include <guavaramp/telemetry/trace.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

namespace guavaramp {
namespace {

// Guards against a trace that is split because an entry VM cannot read the trace header of another one.
TEST_CASE("TraceTest.ParseTraceContextReversesToString") {
    check_property("round trip", [](std::uint64_t trace_id, std::uint64_t span_id) {
        const trace_context context{.trace_id = trace_id, .span_id = span_id};
        RC_ASSERT(parse_trace_context(to_string(context)) == context);
    });
    check_property("no text is misread", [](const std::string& text) {
        const auto context = parse_trace_context(text);
        RC_ASSERT((!context || text.size() == 33));
    });
}

// Guards against recorded spans that lack their parent, and against memory use that grows with the number of
// commands.
TEST_CASE("TraceTest.KeepsNewestSpansWithParentsWhenFull") {
    tracer recorder{1, 3};
    for (int round = 0; round < 5; ++round) {
        trace_span command{recorder, "command", std::nullopt};
        trace_span peer{recorder, "ask_peer", command.context()};
        peer.set_tag("peer", "127.10.1.2");
    }
    const auto spans = nlohmann::json::parse(recorder.to_json());
    REQUIRE(spans.size() == 3);
    CHECK(spans[2]["operation_name"] == "command");
    REQUIRE(spans[1]["references"].size() == 1);
    CHECK(spans[1]["references"][0]["span_id"] == spans[2]["span_context"]["span_id"]);
    CHECK(spans[1]["tags"]["peer"] == "127.10.1.2");
}

}  // namespace
}  // namespace guavaramp
