#include "director_fixture.hpp"

#include <guavaramp/director/upstream_choice.hpp>

#include <map>

namespace guavaramp {
namespace {

using namespace director_fixture;

const known_upstream* choose(const director_state& state, const fleet_view& view, std::uint64_t hash = 7,
                             steering_tag last_resort = no_tag) {
    return choose_upstream(state, view, "workshop", hash, last_resort, at_ms(0));
}

TEST_CASE("UpstreamChoiceTest.ReturnsNullWhenNoUpstreamOfTheServiceIsReady") {
    const auto view = make_view(make_directory({make_report({.phase = upstream_phase::draining})}));
    director_state state;
    CHECK(choose(state, view) == nullptr);
}

TEST_CASE("UpstreamChoiceTest.SpreadsNewFlowsEvenlyOverEqualUpstreams") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(5)));
    for (std::uint16_t port = 0; port < 50; ++port) {
        const auto* chosen = choose(state, view, hash_of(make_flow(port)));
        add_flow(state.flows, make_flow(port), {.tag = tag_of(chosen->report.delivery_id)});
    }
    for (std::uint64_t number = 1; number <= 5; ++number) {
        CHECK(load_of(state.flows, tag_of(number)).open_flows == 10);
    }
}

// Guards against flows that are lost when the link between failure domains fails, although an upstream in
// their own failure domain could have served them.
TEST_CASE("UpstreamChoiceTest.KeepsFlowsInTheirFailureDomainWhileItCarriesLessThanEightTimesTheLoad") {
    director_state state;
    auto reports = make_reports(2);
    reports.push_back(make_report({.id = "i-far", .number = 9, .failure_domain = "azogues"}));
    const auto view = make_view(make_directory(reports));
    std::map<std::string, int> placed;
    for (std::uint16_t port = 0; port < 14; ++port) {
        const auto* chosen = choose(state, view, hash_of(make_flow(port)));
        ++placed[chosen->report.failure_domain];
        add_flow(state.flows, make_flow(port), {.tag = tag_of(chosen->report.delivery_id)});
    }
    CHECK(placed["centro"] == 14);
    for (std::uint16_t port = 14; port < 30; ++port) {
        const auto* chosen = choose(state, view, hash_of(make_flow(port)));
        ++placed[chosen->report.failure_domain];
        add_flow(state.flows, make_flow(port), {.tag = tag_of(chosen->report.delivery_id)});
    }
    CHECK(placed["azogues"] > 0);
}

TEST_CASE("UpstreamChoiceTest.ChoosesAnotherFailureDomainWhenTheOwnHasNoUpstream") {
    const auto view = make_view(make_directory({make_report({.failure_domain = "azogues"})}));
    director_state state;
    REQUIRE(choose(state, view) != nullptr);
}

TEST_CASE("UpstreamChoiceTest.WeighsWaitingFlowsMoreThanIdleOnes") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(2)));
    add_flow(state.flows, make_flow(1), {.tag = tag_of(1), .unanswered_since = at_ms(-50)});
    add_flow(state.flows, make_flow(2), {.tag = tag_of(2)});
    add_flow(state.flows, make_flow(3), {.tag = tag_of(2)});
    CHECK(choose(state, view)->report.id == "i-2");
}

TEST_CASE("UpstreamChoiceTest.ChoosesAFastUpstreamMoreOftenThanASlowOne") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(2)));
    health_of(state, tag_of(1)).answer_time_ms = 15;
    health_of(state, tag_of(2)).answer_time_ms = 45;
    for (std::uint16_t port = 0; port < 30; ++port) {
        const auto* chosen = choose(state, view, hash_of(make_flow(port)));
        add_flow(state.flows, make_flow(port), {.tag = tag_of(chosen->report.delivery_id)});
    }
    CHECK(load_of(state.flows, tag_of(1)).open_flows >= 2 * load_of(state.flows, tag_of(2)).open_flows);
}

TEST_CASE("UpstreamChoiceTest.ChoosesAnUnreachableUpstreamOnlyWhenAllAreUnreachable") {
    director_state state;
    const auto view = make_view(make_directory(make_reports(2)));
    health_of(state, tag_of(1)).last_probe_failed = true;
    for (std::uint64_t hash = 0; hash < 100; ++hash) {
        CHECK(choose(state, view, hash)->report.id == "i-2");
    }
    health_of(state, tag_of(2)).last_probe_failed = true;
    CHECK(choose(state, view) != nullptr);
}

TEST_CASE("UpstreamChoiceTest.ChoosesTheLastResortOnlyWhenItIsTheOnlyUpstream") {
    director_state state;
    const auto two = make_view(make_directory(make_reports(2)));
    for (std::uint64_t hash = 0; hash < 100; ++hash) {
        CHECK(choose(state, two, hash, tag_of(1))->report.id == "i-2");
    }
    const auto one = make_view(make_directory(make_reports(1)));
    CHECK(choose(state, one, 7, tag_of(1))->report.id == "i-1");
}

}  // namespace
}  // namespace guavaramp
