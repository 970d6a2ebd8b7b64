#include <guavaramp/config/change.hpp>

#include <property.hpp>

#include <set>

namespace guavaramp {
namespace {

constexpr std::int64_t start_ms = 1'000'000'000;

endpoint at(std::uint32_t last_byte, std::uint16_t port) {
    return {.address = from_ipv4(0x7f140000U + last_byte), .port = port};
}

change_facts facts_at(std::int64_t now_ms, std::uint64_t reported = 1'000'000) {
    return {.now = from_unix_ms(now_ms),
            .change_id = "change-" + std::to_string(now_ms),
            .entries = {{.entry = "127.10.1.1", .revision = config_revision{reported}}}};
}

/// Applies a planned change as an accepted head swap does.
void accept(configuration& base, const planned_change& planned) {
    base.head = planned.head;
    for (const auto& value : planned.values) {
        base.services[value.name] = value;
    }
    std::erase_if(base.services, [&](const auto& item) { return !base.head.services.contains(item.first); });
}

/// Runs a change that is expected to pass.
void run(configuration& base, const change_command& command, std::int64_t now_ms = start_ms) {
    const auto planned = plan_change(base, command, facts_at(now_ms));
    REQUIRE_MESSAGE(planned.has_value(), (planned ? "" : planned.error().message));
    accept(base, *planned);
}

add_upstream_change add_host(const std::string& service, const std::string& name, std::uint32_t host,
                             std::uint16_t request_port) {
    return {.target = {.service = service, .name = name},
            .packet_address = at(host, 6080),
            .request_address = at(host, request_port)};
}

/// dispatch with h1 and h2, records with r1.
configuration two_services() {
    configuration base;
    run(base, add_service_change{.name = "dispatch", .address = *parse_endpoint("10.9.0.1:443")});
    run(base, add_service_change{.name = "records", .address = *parse_endpoint("10.9.0.2:443")});
    run(base, add_host("dispatch", "h1", 1, 8080));
    run(base, add_host("dispatch", "h2", 2, 8080));
    run(base, add_host("records", "r1", 3, 8080));
    return base;
}

error refusal(const configuration& base, const change_command& command, const change_facts& facts) {
    const auto planned = plan_change(base, command, facts);
    REQUIRE_FALSE(planned.has_value());
    return planned.error();
}

// Guards against a service that takes no new flows after a drain, a planned drain or a removal.
TEST_CASE("ChangeTest.LastActiveUpstreamCannotLeave") {
    auto base = two_services();
    const upstream_name h1{.service = "dispatch", .name = "h1"};
    const upstream_name h2{.service = "dispatch", .name = "h2"};
    run(base, drain_change{.target = h1, .at = from_unix_ms(start_ms + 60'000)});
    for (const change_command& command :
         {change_command{drain_change{.target = h2}}, change_command{remove_upstream_change{.target = h2}},
          change_command{drain_change{.target = h2, .at = from_unix_ms(start_ms + 90'000)}}}) {
        CHECK(refusal(base, command, facts_at(start_ms)).kind == error_kind::refused);
    }
    run(base, undrain_change{.target = h1});
    run(base, drain_change{.target = h2});
}

// Guards against a text that JSON cannot hold, which would be found only after the change was planned.
TEST_CASE("ChangeTest.NamesAreCheckedBeforeTheyAreStored") {
    const auto base = two_services();
    auto change = add_host("records", "r2", 9, 8080);
    for (const char* domain : {"\xff", "a b", "a\n"}) {
        change.failure_domain = domain;
        CHECK(refusal(base, change, facts_at(start_ms)).kind == error_kind::invalid_argument);
    }
    for (const char* name : {"", "R2", "a/b", "\xff", "-a"}) {
        const add_service_change added{.name = name, .address = *parse_endpoint("10.9.0.9:443")};
        CHECK(refusal(base, added, facts_at(start_ms)).kind == error_kind::invalid_argument);
    }
}

// Guards against two services, or two upstreams, that claim one address.
TEST_CASE("ChangeTest.OverlappingAddressesAreRefused") {
    auto base = two_services();
    const add_service_change same_address{.name = "maps", .address = *parse_endpoint("10.9.0.1:443")};
    CHECK(refusal(base, same_address, facts_at(start_ms)).message.find("dispatch") != std::string::npos);
    CHECK(refusal(base, add_host("records", "r2", 1, 8080), facts_at(start_ms)).kind == error_kind::refused);
    CHECK(refusal(base, add_host("dispatch", "h3", 1, 8081), facts_at(start_ms)).kind == error_kind::refused);
    run(base, add_host("records", "r2", 1, 8081));
    run(base, add_service_change{
                  .name = "maps", .address = *parse_endpoint("10.9.0.1:443"), .protocol = transport::udp});
}

// Guards against packets of an old flow at a host that serves another service since.
TEST_CASE("ChangeTest.AddressIsReusedOnlyAfterTheDelayAndEveryReport") {
    auto base = two_services();
    run(base, remove_upstream_change{{.service = "dispatch", .name = "h1"}});
    const auto removal = static_cast<std::uint64_t>(base.head.revision);
    const auto moved = add_host("records", "r2", 1, 8080);
    CHECK(refusal(base, moved, facts_at(start_ms + 59'999)).kind == error_kind::refused);
    CHECK(refusal(base, add_host("records", "r2", 1, 8081), facts_at(start_ms + 59'999)).kind ==
          error_kind::refused);
    const auto behind = refusal(base, moved, facts_at(start_ms + 60'000, removal - 1));
    CHECK(behind.message.find("127.10.1.1") != std::string::npos);
    CHECK(plan_change(base, moved, facts_at(start_ms + 60'000, removal)).has_value());
    CHECK(plan_change(base, add_host("dispatch", "h1", 1, 8080), facts_at(start_ms)).has_value());
}

// Guards against open flows cut by the removal of a service, and against its address given away too early.
TEST_CASE("ChangeTest.RemovedServiceKeepsItsAddressUntilTheRetentionEnds") {
    auto base = two_services();
    run(base, remove_service_change{"records"});
    CHECK(base.services.at("records").upstreams.front().state == upstream_state::retired);
    CHECK(refusal(base, remove_service_change{"records"}, facts_at(start_ms)).kind == error_kind::refused);
    constexpr std::int64_t day_ms = 86'400'000;
    CHECK(refusal(base, remove_service_change{"records"}, facts_at(start_ms + day_ms, 1)).kind ==
          error_kind::refused);
    run(base, remove_service_change{"records"}, start_ms + day_ms);
    CHECK_FALSE(base.head.services.contains("records"));
}

// Guards against messages that leave an operator to search for a mistyped name.
TEST_CASE("ChangeTest.UnknownNamesNameTheNearestOne") {
    const auto base = two_services();
    const auto service = refusal(base, set_class_change{.service = "dispach"}, facts_at(start_ms));
    CHECK(service.kind == error_kind::not_found);
    CHECK(service.message == "'dispach': no such service; did you mean 'dispatch'?");
    const auto host =
        refusal(base, drain_change{.target = {.service = "dispatch", .name = "h11"}}, facts_at(start_ms));
    CHECK(host.message.find("did you mean 'h1'?") != std::string::npos);
}

// Guards against a loaded configuration that is accepted in part, or that changes what it does not name.
TEST_CASE("ChangeTest.LoadIsOneRevisionOrNothing") {
    auto base = two_services();
    const auto before = base;
    load_change load{.services = {base.services.at("dispatch")}};
    load.services[0].upstreams[0].weight = 50;
    service maps{.name = "maps", .address = *parse_endpoint("10.9.0.3:443")};
    maps.upstreams.push_back({.name = "m1", .packet_address = at(9, 6080), .request_address = at(9, 8080)});
    load.services.push_back(maps);
    run(base, load);
    CHECK(static_cast<std::uint64_t>(base.head.revision) ==
          static_cast<std::uint64_t>(before.head.revision) + 1);
    CHECK(base.services.at("dispatch").upstreams[0].weight == 50);
    CHECK(base.services.at("records") == before.services.at("records"));
    load.services[1].upstreams[0].request_address = at(1, 8080);
    load.services[1].upstreams[0].name = "m2";
    CHECK(refusal(base, load, facts_at(start_ms)).kind == error_kind::refused);
}

change_command random_change(int kind, std::uint32_t host, std::uint32_t place, std::int64_t now_ms) {
    const std::string service = "s" + std::to_string(place % 3);
    const upstream_name target{.service = service, .name = "h" + std::to_string(host)};
    switch (kind) {
        case 0:
            return add_service_change{.name = service,
                                      .address = {.address = from_ipv4(0x0a090000U + place), .port = 443}};
        case 1:
            return remove_service_change{service};
        case 2:
            return remove_upstream_change{target};
        case 3:
            return drain_change{.target = target};
        case 4:
            return drain_change{.target = target, .at = from_unix_ms(now_ms + 5000)};
        case 5:
            return undrain_change{target};
        default:
            return add_host(service, target.name, host, static_cast<std::uint16_t>(8080 + place % 2));
    }
}

void check_invariants(const configuration& value, std::map<upstream_id, service_id>& owners) {
    std::set<std::pair<endpoint, transport>> addresses;
    std::set<endpoint> requests;
    for (const auto& [name, item] : value.services) {
        RC_ASSERT(addresses.insert({item.address, item.protocol}).second);
        RC_ASSERT(static_cast<std::uint32_t>(item.id) < value.head.next_service_id);
        RC_ASSERT(value.head.services.at(name).revision == item.revision);
        std::set<endpoint> packets;
        std::set<std::string> names;
        for (const auto& host : item.upstreams) {
            RC_ASSERT(owners.emplace(host.id, item.id).first->second == item.id);
            RC_ASSERT(static_cast<std::uint32_t>(host.id) < value.head.next_upstream_id);
            if (host.state != upstream_state::retired) {
                RC_ASSERT(requests.insert(host.request_address).second);
                RC_ASSERT(packets.insert(host.packet_address).second);
                RC_ASSERT(names.insert(host.name).second);
            }
        }
    }
}

// Guards against ids that are used twice and addresses that belong to two owners after any sequence of
// changes.
TEST_CASE("ChangeTest.RandomSequencesKeepIdsAndAddressesUnique") {
    check_property("random changes keep the invariants", [] {
        configuration base;
        std::map<upstream_id, service_id> owners;
        std::int64_t now_ms = start_ms;
        for (int step = 0; step < 40; ++step) {
            now_ms += *rc::gen::element<std::int64_t>(10, 30'000, 61'000, 90'000'000);
            const auto command = random_change(*rc::gen::inRange(0, 10), *rc::gen::inRange(0U, 5U),
                                               *rc::gen::inRange(0U, 6U), now_ms);
            const auto planned = plan_change(base, command, facts_at(now_ms));
            if (!planned) {
                continue;
            }
            RC_ASSERT(planned->head.revision > base.head.revision);
            RC_ASSERT(planned->head.next_service_id >= base.head.next_service_id);
            RC_ASSERT(planned->head.next_upstream_id >= base.head.next_upstream_id);
            accept(base, *planned);
            check_invariants(base, owners);
        }
    });
}

}  // namespace
}  // namespace guavaramp
