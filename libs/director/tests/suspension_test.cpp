#include "director_fixture.hpp"

namespace guavaramp {
namespace {

using namespace director_fixture;

/// Removes host i-1 from `directory` and returns a view of it whose deadlines have not passed on the steady
/// clock.
fleet_view view_without_host(upstream_directory& directory) {
    (void)apply_update(directory,
                       {.revision = 101, .reports = {}, .removed = {{.id = "i-1", .revision = 101}}},
                       at_ms(-4000), at_ms(-60'000));
    return make_view(directory);
}

// Guards against a director that was suspended for seconds and resets flows because of state from before the
// suspension. The steady clock stands still during a suspension, so the state looks fresh.
TEST_CASE("SuspensionTest.ResetsNothingWhenTheViewIsStale") {
    director_state state;
    auto directory = make_directory(make_reports(2));
    const auto before = make_view(directory);
    const auto tag = tag_of(1);
    const auto without_host = view_without_host(directory);
    CHECK(decide(state, without_host, make_request_packet(make_flow(), tag), at_ms(0)).reason ==
          decision_reason::upstream_gone);
    const auto stale = make_stale_view(without_host);
    CHECK(decide(state, stale, make_request_packet(make_flow(2), tag), at_ms(0)).outcome == verdict::forward);
    auto unknown_route = make_flow(3);
    unknown_route.service_port = 9;
    CHECK(decide(state, before, make_opening_packet(unknown_route), at_ms(0)).outcome == verdict::reset);
    CHECK(decide(state, make_stale_view(before), make_opening_packet(unknown_route), at_ms(0)).outcome ==
          verdict::drop);
}

TEST_CASE("SuspensionTest.ForwardsToAHostThatWasUnreachableBeforeTheSuspension") {
    director_state state;
    const auto directory = make_directory(make_reports(2));
    const auto view = make_view(directory);
    const auto tag = tag_of(1);
    auto& health = health_of(state, tag);
    record_probe_started(health, at_ms(0));
    record_probe_ended(health, probe_outcome::refused, at_ms(0), at_ms(5));
    CHECK(decide(state, view, make_request_packet(make_flow(), tag), at_ms(10)).reason ==
          decision_reason::upstream_unreachable);
    record_suspension(state, at_ms(20));
    CHECK(decide(state, view, make_request_packet(make_flow(2), tag), at_ms(20)).outcome == verdict::forward);
}

// Guards against requests that count as overdue although this machine was suspended, and not the host slow.
TEST_CASE("SuspensionTest.DoesNotTakeRequestsFromBeforeTheSuspensionForOverdue") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(2)));
    const auto tag = establish_flow(state, view, make_flow(), at_ms(0));
    (void)decide(state, view, make_request_packet(make_flow(), tag), at_ms(10));
    record_suspension(state, at_ms(20));
    const auto due = handle_timeouts(state, view, at_ms(2000));
    CHECK(due.probes.empty());
    CHECK(due.observations.empty());
}

}  // namespace
}  // namespace guavaramp
