#include "director_fixture.hpp"

namespace guavaramp {
namespace {

using namespace director_fixture;

/// A view whose host has left the list, and trust that the steady clock does not show to have run out.
fleet_view view_without_host(upstream_directory& directory) {
    (void)apply_news(directory, {.revision = 101, .reports = {}, .removed = {{.id = "i-1", .revision = 101}}},
                     at_ms(-4000), at_ms(-60'000));
    return make_view(directory);
}

// Guards against a director that was suspended for seconds and resets flows because of what it believed
// before: the steady clock has not moved.
TEST_CASE("SuspensionTest.ADirectorThatWasSuspendedResetsNothingUntilItHasReadAgain") {
    director_state state;
    auto directory = make_directory(make_reports(2));
    const auto before = make_view(directory);
    const auto tag = tag_of(1);
    const auto gone = view_without_host(directory);
    CHECK(decide(state, gone, request(make_flow(), tag), at_ms(0)).reason == decision_reason::upstream_gone);
    const auto distrusted = without_trust(gone);
    CHECK(decide(state, distrusted, request(make_flow(2), tag), at_ms(0)).outcome == verdict::forward);
    auto unknown_route = make_flow(3);
    unknown_route.service_port = 9;
    CHECK(decide(state, before, opening(unknown_route), at_ms(0)).outcome == verdict::reset);
    CHECK(decide(state, without_trust(before), opening(unknown_route), at_ms(0)).outcome == verdict::drop);
}

TEST_CASE("SuspensionTest.AVerdictOnAHostEndsWithTheSuspension") {
    director_state state;
    const auto directory = make_directory(make_reports(2));
    const auto view = make_view(directory);
    const auto tag = tag_of(1);
    auto& health = health_of(state, tag);
    note_probe_started(health, at_ms(0));
    note_probe_ended(health, probe_outcome::refused, at_ms(0), at_ms(5));
    CHECK(decide(state, view, request(make_flow(), tag), at_ms(10)).reason ==
          decision_reason::upstream_unreachable);
    note_suspension(state, at_ms(20));
    CHECK(decide(state, view, request(make_flow(2), tag), at_ms(20)).outcome == verdict::forward);
}

// Guards against requests that seem overdue although it was this machine that stood still.
TEST_CASE("SuspensionTest.RequestsThatWaitedBeforeAreNotOverdue") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(2)));
    const auto tag = establish(state, view, make_flow(), at_ms(0));
    (void)decide(state, view, request(make_flow(), tag), at_ms(10));
    note_suspension(state, at_ms(20));
    const auto due = collect_due(state, view, at_ms(2000));
    CHECK(due.probes.empty());
    CHECK(due.notes.empty());
}

}  // namespace
}  // namespace guavaramp
