#include "fake_store.hpp"

#include <guavaramp/config/change.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// A clock that each call and each pause moves on.
struct test_clock {
    mono_time now{};

    commit_clock functions() {
        return {.now = [this] { return now += std::chrono::milliseconds{1}; },
                .pause = [this](std::chrono::milliseconds span) { now += span; }};
    }
};

constexpr std::chrono::seconds allowed{2};

result<committed_change> commit(fake_store& store, const change_command& command, const std::string& id,
                                const configuration& known = {}) {
    test_clock clock;
    const change_facts facts{.now = from_unix_ms(1'000'000), .change_id = id};
    return commit_change(store, known, command, facts, clock.now + allowed, clock.functions());
}

endpoint host_at(std::uint32_t last_byte, std::uint16_t port) {
    return {.address = from_ipv4(0x7f140000U + last_byte), .port = port};
}

void add_service(fake_store& store, const std::string& name, std::uint32_t number) {
    const endpoint address{.address = from_ipv4(0x0a090000U + number), .port = 443};
    REQUIRE(commit(store, add_service_change{.name = name, .address = address}, "add-" + name).has_value());
    for (std::uint32_t host = 0; host < 3; ++host) {
        const add_upstream_change change{.target = {.service = name, .name = "h" + std::to_string(host)},
                                         .packet_address = host_at(number * 8 + host, 6080),
                                         .request_address = host_at(number * 8 + host, 8080)};
        REQUIRE(commit(store, change, "add-" + name + std::to_string(host)).has_value());
    }
}

configuration stored(fake_store& store) { return read_configuration(store, {}, {})->value; }

bool holds(const configuration& value, const std::string& id) {
    return std::any_of(value.head.recent_changes.begin(), value.head.recent_changes.end(),
                       [&](const accepted_change& change) { return change.change_id == id; });
}

set_weight_change weight(const std::string& service, std::uint32_t value) {
    return {.target = {.service = service, .name = "h0"}, .weight = value};
}

// Guards against two operators who both get "accepted" for one service although one overwrote the other.
TEST_CASE("CommitTest.RaceOnOneServiceAcceptsOneAndTellsTheOtherWhatChanged") {
    for (const char* raced_key : {head_key, "guavaramp/services/dispatch/"}) {
        fake_store store;
        add_service(store, "dispatch", 1);
        bool raced = false;
        store.before_put = [&](const std::string& key) {
            if (!raced && key.starts_with(raced_key)) {
                raced = true;
                REQUIRE(commit(store, weight("dispatch", 7), "first").has_value());
            }
        };
        const auto second = commit(store, weight("dispatch", 9), "second");
        REQUIRE_FALSE(second.has_value());
        CHECK(second.error().kind == error_kind::conflict);
        CHECK(second.error().message.find("set weight dispatch/h0 7") != std::string::npos);
        CHECK(stored(store).services.at("dispatch").upstreams[0].weight == 7);
    }
}

// Guards against a refusal of a change because an unrelated service changed at the same moment.
TEST_CASE("CommitTest.ChangeOfAnotherServiceIsPlannedAgain") {
    fake_store store;
    add_service(store, "dispatch", 1);
    add_service(store, "records", 2);
    bool raced = false;
    store.before_put = [&](const std::string& key) {
        if (!raced && key == head_key) {
            raced = true;
            REQUIRE(commit(store, weight("records", 7), "first").has_value());
        }
    };
    REQUIRE(commit(store, weight("dispatch", 9), "second").has_value());
    CHECK(stored(store).services.at("records").upstreams[0].weight == 7);
    CHECK(stored(store).services.at("dispatch").upstreams[0].weight == 9);
}

// Guards against a service that can never change again because a writer died between value and head.
TEST_CASE("CommitTest.ValueLeftBehindByADeadWriterIsSkipped") {
    fake_store store;
    add_service(store, "dispatch", 1);
    const auto next = config_revision{static_cast<std::uint64_t>(stored(store).head.revision) + 1};
    auto orphan = stored(store).services.at("dispatch");
    orphan.change_id = "dead";
    orphan.revision = next;
    REQUIRE(store.put(service_key("dispatch", next), to_json(orphan).dump(), 0, {}).has_value());
    const auto committed = commit(store, weight("dispatch", 9), "second");
    REQUIRE(committed.has_value());
    CHECK(committed->revision > next);
    CHECK(stored(store).services.at("dispatch").upstreams[0].weight == 9);
}

// Guards against a change that is reported as refused although its head swap took effect and a later change
// of the same service hides it.
TEST_CASE("CommitTest.LostAnswerIsFoundBehindALaterChangeOfTheSameService") {
    fake_store store;
    add_service(store, "dispatch", 1);
    int head_puts = 0;
    store.fault = [&](const std::string& key) {
        return key == head_key && ++head_puts == 1 ? put_fault::lost_answer : put_fault::none;
    };
    store.after_put = [&](const std::string& key) {
        if (key == head_key && head_puts == 1) {
            REQUIRE(commit(store, weight("dispatch", 7), "later").has_value());
        }
    };
    const auto committed = commit(store, weight("dispatch", 9), "first");
    REQUIRE_MESSAGE(committed.has_value(), (committed ? "" : committed.error().message));
    CHECK(committed->change_id == "first");
    CHECK(stored(store).services.at("dispatch").upstreams[0].weight == 7);
}

// Guards against "not accepted" for a change that took effect before the store went down, and against
// "may have been accepted" when the store was down from the start.
TEST_CASE("CommitTest.OutageAfterTheHeadSwapIsOutcomeUnknown") {
    for (const auto& [key, expected] : {std::pair{std::string{head_key}, error_kind::outcome_unknown},
                                        std::pair{std::string{}, error_kind::unavailable}}) {
        fake_store store;
        add_service(store, "dispatch", 1);
        store.down = key.empty();
        store.fault = [&, wanted = key](const std::string& put_key) {
            store.down = put_key == wanted;
            return store.down ? put_fault::lost_answer : put_fault::none;
        };
        const auto committed = commit(store, weight("dispatch", 9), "first");
        REQUIRE_FALSE(committed.has_value());
        CHECK(committed.error().kind == expected);
    }
}

// Guards against changes on a store that came back at an earlier revision.
TEST_CASE("CommitTest.StoreThatWentBackIsNotFollowed") {
    fake_store store;
    add_service(store, "dispatch", 1);
    auto known = stored(store);
    known.head.revision = config_revision{99};
    const auto committed = commit(store, weight("dispatch", 9), "late", known);
    REQUIRE_FALSE(committed.has_value());
    CHECK(committed.error().kind == error_kind::unavailable);
}

// Guards against a write that takes effect twice, an accepted change that is lost, a refused one that takes
// effect, and two accepted changes of which one overwrote the other, under any pattern of lost and delayed
// writes and a competing operator.
TEST_CASE("CommitTest.FaultsNeverLoseOrRepeatAChange") {
    check_property("answers agree with the store", [] {
        fake_store store;
        add_service(store, "dispatch", 1);
        add_service(store, "records", 2);
        const auto faults = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 6));
        const auto competitor = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 6));
        std::size_t call = 0;
        std::vector<std::pair<std::string, bool>> others;
        store.fault = [&](const std::string&) {
            const int drawn = call < faults.size() ? faults[call++] : 0;
            return drawn <= 3 ? static_cast<put_fault>(drawn) : put_fault::none;
        };
        std::size_t turn = 0;
        store.before_put = [&](const std::string&) {
            const int drawn = turn < competitor.size() ? competitor[turn++] : 0;
            if (drawn == 1 || drawn == 2) {
                const std::string id = "other-" + std::to_string(turn);
                const auto target = drawn == 1 ? "dispatch" : "records";
                const auto done = commit(store, weight(target, static_cast<std::uint32_t>(turn + 1000)), id);
                others.emplace_back(id, done.has_value());
            }
        };
        const auto own = commit(store, weight("dispatch", 9), "own");
        store.fault = nullptr;
        store.before_put = nullptr;
        static_cast<void>(store.get(head_key, {}));
        const auto value = stored(store);
        if (own) {
            RC_ASSERT(holds(value, "own"));
            RC_ASSERT((!own->accepted || own->accepted->head.revision != value.head.revision ||
                       *own->accepted == value));
        } else if (own.error().kind != error_kind::outcome_unknown) {
            RC_ASSERT_FALSE(holds(value, "own"));
        }
        for (const auto& [id, accepted] : others) {
            RC_ASSERT((!accepted || holds(value, id)));
        }
        for (const auto& [unused, count] : store.writes) {
            RC_ASSERT(count == 1U);
        }
        for (std::size_t index = 1; index < value.head.recent_changes.size(); ++index) {
            RC_ASSERT(value.head.recent_changes[index - 1].revision <
                      value.head.recent_changes[index].revision);
        }
    });
}

}  // namespace
}  // namespace guavaramp
