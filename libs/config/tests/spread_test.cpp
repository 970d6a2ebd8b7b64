#include <guavaramp/config/spread.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

const mono_time start{std::chrono::hours{1}};
const ip_address self = from_ipv4(0x7f0a0101);
const ip_address peer = from_ipv4(0x7f0a0102);
const ip_address other_peer = from_ipv4(0x7f0a0103);

configuration at_revision(std::uint64_t revision) {
    configuration value;
    value.head.revision = config_revision{revision};
    value.head.services["s"] = {.id = service_id{1}, .revision = value.head.revision};
    value.services["s"] = {
        .id = service_id{1}, .name = "s", .revision = value.head.revision, .change_id = "c"};
    return value;
}

member_list members_of_domain(std::size_t count) {
    member_list list;
    for (std::size_t index = 0; index < count; ++index) {
        list.members.push_back({.address = from_ipv4(0x7f0a0101 + static_cast<std::uint32_t>(index)),
                                .failure_domain = "hai-chau",
                                .incarnation = 1});
    }
    return list;
}

struct machine {
    std::mt19937_64 random{20261204};
    mono_time now{start};
    spread_state state{make_spread(self, "hai-chau", {}, start)};

    spread_effects operator()(const spread_event& event) { return apply(state, event, now, random); }
};

std::uint64_t revision_of(const machine& one) {
    return static_cast<std::uint64_t>(one.state.current.head.revision);
}

// Guards against a configuration that goes back, whatever the store and the peers answer and in any order.
TEST_CASE("SpreadTest.RevisionNeverGoesBack") {
    check_property("monotone", [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& steps) {
        machine one;
        for (const auto& [kind, number] : steps) {
            const auto before = revision_of(one);
            const auto value = at_revision(number);
            const auto since = config_revision{static_cast<std::uint64_t>(kind) % 2 * before};
            one.now += milliseconds{number};
            std::vector<spread_event> events{spread_tick{},
                                             revision_heard{peer, config_revision{number}},
                                             pull_finished{peer, make_delta(value, since)},
                                             pull_finished{peer, fail(error_kind::unavailable, "")},
                                             load_finished{std::optional{value}},
                                             load_finished{std::optional<configuration>{}},
                                             watch_finished{std::optional<std::uint64_t>{number}},
                                             change_accepted{value},
                                             refresh_requested{},
                                             spread_resumed{}};
            const auto effects = one(events[kind % events.size()]);
            RC_ASSERT(revision_of(one) >= before);
            RC_ASSERT(effects.applied == (revision_of(one) > before));
        }
    });
}

// Guards against a daemon that asks the platform at start although a peer has the configuration: a rack of 40
// that starts at once would load 14 MB from it.
TEST_CASE("SpreadTest.StartsFromAPeerAndFromThePlatformOnlyWithoutOne") {
    machine with_peer;
    const auto pull = with_peer(revision_heard{peer, config_revision{7}});
    REQUIRE(pull.pull.has_value());
    CHECK(pull.pull->from == peer);
    with_peer.now += milliseconds{500};
    CHECK(with_peer(pull_finished{peer, make_delta(at_revision(7), config_revision{0})}).applied);
    with_peer.now += milliseconds{5000};
    CHECK_FALSE(with_peer(spread_tick{}).load);

    machine alone;
    CHECK_FALSE(alone(spread_tick{}).load);
    alone.now += milliseconds{1000};
    CHECK(alone(spread_tick{}).load);
}

// Guards against a daemon that stays behind because the only pull it tried failed.
TEST_CASE("SpreadTest.FailedPullIsRepeatedFromAnotherPeerAndAtLastFromThePlatform") {
    machine one;
    REQUIRE(one(revision_heard{peer, config_revision{7}}).pull.has_value());
    CHECK_FALSE(one(pull_finished{peer, fail(error_kind::unavailable, "")}).pull.has_value());
    one.now += milliseconds{200};
    const auto second = one(revision_heard{other_peer, config_revision{7}});
    REQUIRE(second.pull.has_value());
    CHECK(second.pull->from == other_peer);
    CHECK_FALSE(one(pull_finished{other_peer, fail(error_kind::unavailable, "")}).load);
    one.now += milliseconds{2000};
    CHECK(one(spread_tick{}).load);
}

// Guards against a daemon that keeps a different history and refuses each delta for ever.
TEST_CASE("SpreadTest.DeltaThatDoesNotFitIsFollowedByAPullOfEverything") {
    machine one;
    one(change_accepted{at_revision(3)});
    one(revision_heard{peer, config_revision{5}});
    auto strange = make_delta(at_revision(5), config_revision{3});
    strange.head_hash += 1;
    const auto again = one(pull_finished{peer, strange});
    REQUIRE(again.pull.has_value());
    CHECK(again.pull->since == config_revision{0});
    CHECK(one(pull_finished{peer, make_delta(at_revision(5), config_revision{0})}).applied);
}

// Guards against following a store that was restored to an earlier state, and against silence about it.
TEST_CASE("SpreadTest.StoreThatReturnsToAnEarlierRevisionIsReportedOnceAndNotFollowed") {
    machine one;
    one(change_accepted{at_revision(9)});
    const auto effects = one(load_finished{std::optional{at_revision(4)}});
    CHECK(effects.store_regressed == config_revision{4});
    CHECK(revision_of(one) == 9);
    CHECK_FALSE(one(load_finished{std::optional{at_revision(4)}}).store_regressed.has_value());
}

// Guards against platform calls that grow with the fleet, and against a domain that nobody watches for.
TEST_CASE("SpreadTest.TwoMembersOfADomainWatchAndAnotherTakesOver") {
    for (const std::size_t count : {2U, 9U, 130U}) {
        auto list = members_of_domain(count);
        const auto watchers = [&list] {
            std::vector<ip_address> found;
            for (const auto& item : list.members) {
                auto state = make_spread(item.address, "hai-chau", {}, start);
                state.members = list;
                if (item.state != member_state::dead && is_watcher(state)) {
                    found.push_back(item.address);
                }
            }
            return found;
        };
        const auto before = watchers();
        CHECK(before.size() == 2);
        for (auto& item : list.members) {
            if (item.address == before.front()) {
                item.state = member_state::dead;
            }
        }
        CHECK(watchers().size() == std::min<std::size_t>(2, count - 1));
    }
}

// Guards against a change that is missed because the load after the watch failed in an outage.
TEST_CASE("SpreadTest.LoadIsRepeatedAfterAnOutage") {
    machine one;
    one(change_accepted{at_revision(3)});
    one(members_changed{members_of_domain(1)});
    one.now += milliseconds{1000};
    REQUIRE(one(spread_tick{}).watch.has_value());
    CHECK(one(watch_finished{std::optional<std::uint64_t>{12}}).load);
    CHECK_FALSE(one(load_finished{fail(error_kind::unavailable, "")}).load);
    one.now += milliseconds{2000};
    CHECK(one(spread_tick{}).load);
    CHECK(one(load_finished{std::optional{at_revision(4)}}).applied);
}

}  // namespace
}  // namespace guavaramp
