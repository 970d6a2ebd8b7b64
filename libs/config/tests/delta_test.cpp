#include <guavaramp/config/delta.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

namespace guavaramp {
namespace {

/// A configuration with one service a revision in `revisions`.
configuration with_services(const std::vector<std::uint64_t>& revisions) {
    configuration value;
    for (std::size_t index = 0; index < revisions.size(); ++index) {
        const auto name = "s" + std::to_string(index);
        const config_revision revision{revisions[index]};
        value.services[name] = {.id = service_id{static_cast<std::uint32_t>(index + 1)},
                                .name = name,
                                .revision = revision,
                                .change_id = "c"};
        value.head.services[name] = {.id = value.services[name].id, .revision = revision};
        value.head.revision = std::max(value.head.revision, revision);
    }
    return value;
}

// Guards against a daemon that applies a delta and holds another configuration than the sender.
TEST_CASE("ConfigDeltaTest.BasePlusDeltaIsTheSendersConfiguration") {
    const auto base = with_services({1, 2, 3});
    const auto newer = with_services({1, 4, 3, 5});
    const auto delta = make_delta(newer, base.head.revision);
    CHECK(delta.changed.size() == 2);
    const auto decoded = delta_from_json(to_json(delta));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == delta);
    const auto applied = apply_delta(base, *decoded);
    REQUIRE(applied.has_value());
    CHECK(*applied == newer);
}

// Guards against mixing two histories when the receiver's base is not what the sender assumes.
TEST_CASE("ConfigDeltaTest.OtherBaseIsAConflictAndTheWholeConfigurationIsNot") {
    const auto newer = with_services({1, 4, 3});
    const auto other = with_services({2, 2, 3});
    CHECK(apply_delta(other, make_delta(newer, other.head.revision)).error().kind == error_kind::conflict);
    const auto whole = apply_delta(other, make_delta(newer, config_revision{0}));
    REQUIRE(whole.has_value());
    CHECK(*whole == newer);
}

configuration with_changes(std::uint64_t first, std::uint64_t last) {
    auto value = with_services({last});
    for (auto number = first; number <= last; ++number) {
        value.head.recent_changes.push_back({.revision = config_revision{number},
                                             .change_id = "c" + std::to_string(number),
                                             .summary = "drain",
                                             .accepted_at = from_unix_ms(1000)});
    }
    return value;
}

// Guards against receivers that refuse every operator's change because their head lacks the list of recent
// changes, and against a list that grows without limit or keeps other changes than the writer's.
TEST_CASE("ConfigDeltaTest.RecentChangesTravelAndStayBounded") {
    const std::uint64_t first = 5;
    const auto base = with_changes(first, first + max_recent_changes - 1);
    const auto newer = with_changes(first + 3, first + max_recent_changes + 2);
    const auto decoded = delta_from_json(to_json(make_delta(newer, base.head.revision)));
    REQUIRE(decoded.has_value());
    CHECK(decoded->recent_changes.size() == 3);
    const auto applied = apply_delta(base, *decoded);
    REQUIRE(applied.has_value());
    CHECK(*applied == newer);
}

// Guards against exceptions from a damaged answer of a peer.
TEST_CASE("ConfigDeltaTest.DamagedJsonIsMalformed") {
    const auto whole = to_json(make_delta(with_services({1}), config_revision{0}));
    for (const auto& [key, unused] : whole.items()) {
        auto damaged = whole;
        damaged[key] = "text";
        const auto decoded = delta_from_json(damaged);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().kind == error_kind::malformed);
    }
    CHECK(delta_from_json(nlohmann::json::parse("{", nullptr, false)).error().kind == error_kind::malformed);
}

}  // namespace
}  // namespace guavaramp
