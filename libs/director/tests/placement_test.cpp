#include "placement_model.hpp"

namespace guavaramp::placement_model {
namespace {

/// The target: the slowest hundredth of requests takes at most 1.3 times as long as with a placement that
/// knows everything, and no host gets more than 1.25 times the mean work.
constexpr double most_slowdown = 1.3;
constexpr double most_imbalance = 1.25;

void check_close_to_all_knowing(const pattern& load) {
    const auto placed = play(load, placement::directors);
    const auto bound = play(load, placement::all_knowing);
    CAPTURE(load.seed);
    CHECK(placed.quantile_ms(0.99) <= most_slowdown * bound.quantile_ms(0.99));
    CHECK(placed.busiest_to_mean <= std::max(most_imbalance, bound.busiest_to_mean));
}

// Load pattern: 80% of what 96 hosts of unequal speed can do, through 60 directors that each see a sixtieth
// of the flows. Guards against directors that choose the same idle hosts.
TEST_CASE("PlacementTest.SixtyDirectorsAtHighLoadPlaceAlmostAsWellAsOneThatKnowsEverything") {
    check_close_to_all_knowing({.load = 0.8});
}

// Load pattern: a small fleet.
TEST_CASE("PlacementTest.SixDirectorsAtHighLoadPlaceAlmostAsWellAsOneThatKnowsEverything") {
    check_close_to_all_knowing({.directors = 6, .hosts = 14, .callers = 175, .load = 0.8});
}

// Load pattern: 2.3 times as many requests for some seconds, as after a call to all users.
TEST_CASE("PlacementTest.InABurstSixtyDirectorsPlaceAlmostAsWellAsOneThatKnowsEverything") {
    const pattern load{.load = 0.3, .burst_at_ms = 8000, .burst_for_ms = 6000, .burst_x = 2.3};
    const auto placed = play(load, placement::directors);
    const auto bound = play(load, placement::all_knowing);
    CHECK(placed.quantile_ms(0.99) <= most_slowdown * bound.quantile_ms(0.99));
}

// Load pattern: a third of the hosts leaves at once. Guards against flows that stay with the share of a
// director whose hosts are gone.
TEST_CASE("PlacementTest.WhenAThirdOfTheHostsLeavesTheOthersAreUsed") {
    const pattern load{.load = 0.4, .hosts_gone_at_ms = 5000, .hosts_gone = 32};
    const auto placed = play(load, placement::directors);
    const auto bound = play(load, placement::all_knowing);
    CHECK(placed.quantile_ms(0.99) <= most_slowdown * bound.quantile_ms(0.99));
    CHECK(placed.times_ms.size() * 100 >= bound.times_ms.size() * 98);
}

TEST_CASE("PlacementTest.TheSharesOfAFailureDomainAreDifferentAndInOneOrder") {
    std::vector<director_peer> all;
    for (std::uint32_t number = 0; number < 9; ++number) {
        all.push_back({.address = {.address = from_ipv4(0x0a010000U + number), .port = 7720}});
    }
    for (std::size_t index = 0; index < all.size(); ++index) {
        auto others = all;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        std::ranges::reverse(others);
        CHECK(share_among(all[index].address, others) == director_share{.index = index, .count = 9});
    }
    CHECK(share_without_roster(12345).index < share_without_roster(12345).count);
}

}  // namespace
}  // namespace guavaramp::placement_model
