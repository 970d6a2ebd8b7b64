#include <guavaramp/config/model.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

namespace guavaramp {
namespace {

configuration two_services() {
    configuration value;
    value.head = {.revision = config_revision{7}, .next_service_id = 3, .next_upstream_id = 4};
    const auto add = [&value](const char* name, std::uint32_t id, const char* address) {
        service item{.id = service_id{id}, .name = name, .revision = config_revision{id}, .change_id = "c"};
        item.address = *parse_endpoint(address);
        item.upstreams.push_back({.id = upstream_id{id},
                                  .name = "h1",
                                  .packet_address = *parse_endpoint("127.20.0.1:6080"),
                                  .request_address = *parse_endpoint("127.20.0.1:8080"),
                                  .failure_domain = "hai-chau",
                                  .drain_at = from_unix_ms(5000)});
        value.head.services[name] = {.id = item.id, .revision = item.revision};
        value.services[name] = item;
    };
    add("dispatch", 1, "10.9.0.1:443");
    add("records", 2, "10.9.0.2:443");
    value.head.recent_changes.push_back({.revision = config_revision{7},
                                         .change_id = "c7",
                                         .summary = "set class records bulk",
                                         .accepted_at = from_unix_ms(4000)});
    return value;
}

// Guards against a field that is lost between the daemon that stores a value and the one that reads it.
TEST_CASE("ConfigModelTest.JsonRoundTripKeepsEveryField") {
    const auto value = two_services();
    const auto decoded = configuration_from_json(to_json(value));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == value);
}

// Guards against exceptions or partial values from a store that answers with damaged JSON.
TEST_CASE("ConfigModelTest.DecodingWithAnyKeyRemovedNamesTheKey") {
    const auto whole = to_json(two_services().services.at("dispatch"));
    for (const auto& [key, unused] : whole.items()) {
        auto damaged = whole;
        damaged.erase(key);
        const auto decoded = service_from_json(damaged);
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().message.find(key) != std::string::npos);
    }
}

// Guards against delivering a packet for an undeclared address, port or protocol to any service.
TEST_CASE("ConfigSnapshotTest.OnlyDeclaredAddressPortAndProtocolFindAService") {
    const config_snapshot snapshot{two_services()};
    const auto dispatch = *parse_endpoint("10.9.0.1:443");
    REQUIRE(snapshot.find_service(dispatch, transport::tcp) != nullptr);
    CHECK(snapshot.find_service(dispatch, transport::tcp)->name == "dispatch");
    CHECK(snapshot.find_service(dispatch, transport::udp) == nullptr);
    CHECK(snapshot.find_service(*parse_endpoint("10.9.0.1:444"), transport::tcp) == nullptr);
    CHECK(snapshot.find_upstreams_at(*parse_endpoint("127.20.0.1:6080")).size() == 2);
}

// Guards against new flows on an upstream whose planned drain has come due.
TEST_CASE("ConfigModelTest.PlannedDrainTakesEffectAtItsDeadline") {
    const auto host = two_services().services.at("dispatch").upstreams.front();
    CHECK(state_at(host, from_unix_ms(4999)) == upstream_state::active);
    CHECK(state_at(host, from_unix_ms(5000)) == upstream_state::draining);
}

}  // namespace
}  // namespace guavaramp
