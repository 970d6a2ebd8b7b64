#include <guavaramp/director/routes.hpp>

#include <property.hpp>

#include <map>

namespace guavaramp {
namespace {

route make_split_route(std::uint32_t first_weight, std::uint32_t second_weight) {
    return {.name = "feed",
            .address = 0xc6120001,
            .port = 8443,
            .targets = {{.service = "workshop", .weight = first_weight},
                        {.service = "archive", .weight = second_weight}}};
}

// Guards against traffic to a service that the operator has removed from a traffic split by weight 0.
TEST_CASE("RoutesTest.LeavesOutAServiceWithWeightZero") {
    check_property("weight 0 is left out", [](std::uint64_t hash) {
        const auto split = make_split_route(0, 5);
        const auto order = services_in_order(split, hash);
        RC_ASSERT(order.size() == 1U);
        RC_ASSERT(*order.front() == "archive");
    });
}

TEST_CASE("RoutesTest.ReturnsNoServiceWhenAllWeightsAreZero") {
    CHECK(services_in_order(make_split_route(0, 0), 42).empty());
}

// Guards against a host that is given up after the time limit of one route while its slots hold requests of
// another route.
TEST_CASE("RoutesTest.ReturnsTheLongestTimeLimitOfTheRoutesToAService") {
    using std::chrono::milliseconds;
    auto feed = make_split_route(90, 10);
    feed.time_limit = milliseconds{2000};
    auto sheets = make_split_route(0, 1);
    sheets.port = 8444;
    sheets.time_limit = milliseconds{8000};
    sheets.targets.erase(sheets.targets.begin());
    auto unlimited = make_split_route(1, 0);
    unlimited.port = 8445;
    unlimited.targets = {{.service = "records"}};
    const auto table = make_route_table({.version = 1, .routes = {feed, sheets, unlimited}});
    CHECK(time_limit_of_service(table, "workshop") == milliseconds{2000});
    CHECK(time_limit_of_service(table, "archive") == milliseconds{8000});
    CHECK(time_limit_of_service(table, "records") == default_time_limit);
    CHECK(time_limit_of_service(table, "unknown") == default_time_limit);
}

TEST_CASE("RoutesTest.DrawsServicesByWeight") {
    const auto split = make_split_route(90, 10);
    std::map<std::string, int> drawn;
    constexpr int flows = 10'000;
    for (std::uint32_t number = 0; number < flows; ++number) {
        const flow_tuple flow{
            .caller_address = number, .service_address = 1, .caller_port = 9, .service_port = 2};
        ++drawn[*services_in_order(split, hash_of(flow)).front()];
    }
    CHECK(drawn["archive"] > flows * 8 / 100);
    CHECK(drawn["archive"] < flows * 12 / 100);
}

// Guards against copies of an opening packet that open flows at two different services.
TEST_CASE("RoutesTest.DrawsTheSameServiceForCopiesOfAnOpeningPacket") {
    // The copies may go through different directors, which built their routes from the same configuration.
    check_property("two directors, the copies' own flow, same order", [](std::uint32_t caller) {
        const auto first = make_split_route(3, 4);
        const auto second = make_split_route(3, 4);
        const flow_tuple flow{.caller_address = caller, .service_address = 0xc6120001, .service_port = 8443};
        const auto copy = flow;
        const auto order = services_in_order(first, hash_of(flow));
        const auto order_of_copy = services_in_order(second, hash_of(copy));
        RC_ASSERT(order.size() == 2U);
        RC_ASSERT(std::ranges::equal(
            order, order_of_copy, {}, [](const std::string* name) { return *name; },
            [](const std::string* name) { return *name; }));
    });
}

TEST_CASE("RoutesTest.FindsARouteByAddressAndPort") {
    const auto table = make_route_table({.version = 3, .routes = {make_split_route(1, 1)}});
    const flow_tuple matching{
        .caller_address = 1, .service_address = 0xc6120001, .caller_port = 2, .service_port = 8443};
    auto other_port = matching;
    other_port.service_port = 8080;
    auto other_address = matching;
    other_address.service_address = 0xc6120002;
    CHECK(find_route(table, matching) != nullptr);
    CHECK(find_route(table, other_port) == nullptr);
    CHECK(find_route(table, other_address) == nullptr);
}

}  // namespace
}  // namespace guavaramp
