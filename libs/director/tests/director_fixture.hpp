#pragma once

#include <guavaramp/director/director.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace guavaramp::director_fixture {

using std::chrono::milliseconds;

/// Returns a time of the tests, `ms` after their common start. The start is not the epoch, because the epoch
/// means in several fields that the event has not occurred.
[[nodiscard]] inline mono_time at_ms(std::int64_t ms) {
    return mono_time{} + std::chrono::seconds{1000} + milliseconds{ms};
}

inline constexpr std::uint32_t service_address = 0xc6120001;
inline constexpr std::uint16_t workshop_port = 8443;

struct upstream_options {
    std::string id{"i-0001"};
    std::uint64_t number{1};
    std::string service{"workshop"};
    std::string failure_domain{"centro"};
    upstream_phase phase{upstream_phase::ready};
    std::uint64_t revision{10};
    std::uint64_t created_revision{0};
};

[[nodiscard]] inline upstream_report make_report(const upstream_options& options) {
    return {.id = options.id,
            .delivery_id = options.number,
            .service = options.service,
            .address = 0x0a800000U + static_cast<std::uint32_t>(options.number),
            .port = 8080,
            .failure_domain = options.failure_domain,
            .slots = 2,
            .phase = options.phase,
            .revision = options.revision,
            .created_revision = options.created_revision == 0 ? options.revision : options.created_revision};
}

/// Returns the reports of the upstreams "i-1" to "i-COUNT" of one service in one failure domain.
[[nodiscard]] inline std::vector<upstream_report> make_reports(std::uint64_t count) {
    std::vector<upstream_report> reports;
    for (std::uint64_t number = 1; number <= count; ++number) {
        reports.push_back(make_report({.id = "i-" + std::to_string(number), .number = number}));
    }
    return reports;
}

[[nodiscard]] inline route_configuration make_configuration() {
    return {.version = 7,
            .routes = {{.name = "feed",
                        .address = service_address,
                        .port = workshop_port,
                        .targets = {{.service = "workshop"}}}},
            .idle_timeout_ms = 15000};
}

/// Returns the index of a fleet without evacuated failure domains and without rules for cold hosts.
[[nodiscard]] inline upstream_index index_of(const upstream_directory& directory) {
    return make_upstream_index(directory, {}, {}, {});
}

/// Returns a view as a director has it some seconds after its start: the store answers without failures, and
/// the configuration and the listing are fresh.
[[nodiscard]] inline fleet_view make_view(const upstream_directory& directory,
                                          const route_configuration& configuration = make_configuration()) {
    return {.own_failure_domain = "centro",
            .routes = std::make_shared<const route_table>(make_route_table(configuration)),
            .upstreams = std::make_shared<const upstream_index>(index_of(directory)),
            .listing_as_of = at_ms(-5000),
            .listing_verified_at = at_ms(1'000'000),
            .routes_fresh_until = at_ms(1'000'000),
            .routes_as_of = at_ms(1'000'000),
            .store_available_since = at_ms(-60'000)};
}

[[nodiscard]] inline upstream_directory make_directory(const std::vector<upstream_report>& reports) {
    upstream_directory directory;
    (void)apply_listing(directory, {.revision = 100, .reports = reports}, at_ms(-5000), at_ms(-65'000));
    return directory;
}

[[nodiscard]] inline flow_tuple make_flow(std::uint16_t caller_port = 40001) {
    return {.caller_address = 0x64400007,
            .service_address = service_address,
            .caller_port = caller_port,
            .service_port = workshop_port};
}

[[nodiscard]] inline flow_packet make_opening_packet(const flow_tuple& flow, std::uint32_t copies = 0) {
    return {.flow = flow, .sequence = 1000, .acknowledgement = copies, .is_syn = true};
}

[[nodiscard]] inline flow_packet make_ack_packet(const flow_tuple& flow, steering_tag tag,
                                                 std::uint32_t acknowledgement = 5001) {
    return {.flow = flow, .sequence = 1001, .acknowledgement = acknowledgement, .tag = tag, .is_ack = true};
}

[[nodiscard]] inline flow_packet make_request_packet(const flow_tuple& flow, steering_tag tag,
                                                     std::uint32_t sequence = 1001,
                                                     std::uint32_t acknowledgement = 5001) {
    return {.flow = flow,
            .sequence = sequence,
            .acknowledgement = acknowledgement,
            .tag = tag,
            .payload_bytes = 200,
            .is_ack = true};
}

/// Opens a flow and acknowledges its host's answer to the opening packet. Returns the flow's tag.
inline steering_tag establish_flow(director_state& state, const fleet_view& view, const flow_tuple& flow,
                                   mono_time now) {
    const auto placed = decide(state, view, make_opening_packet(flow), now);
    REQUIRE(placed.outcome == verdict::forward);
    const auto acknowledged = decide(state, view, make_ack_packet(flow, placed.tag), now + milliseconds{4});
    REQUIRE(acknowledged.outcome == verdict::forward);
    return placed.tag;
}

/// Lets host i-2 answer a request of another flow within 20 ms, which shows the director that its own path is
/// clear.
inline void answer_from_other_host(director_state& state, const fleet_view& view, mono_time now) {
    constexpr std::uint16_t port = 60000;
    const auto tag = tag_of(2);
    auto* entry = find_flow(state.flows, make_flow(port));
    const std::uint32_t sequence = entry == nullptr ? 1001 : entry->sent_end_sequence;
    const std::uint32_t acknowledged = entry == nullptr ? 5001 : entry->last_acknowledged;
    (void)decide(state, view, make_request_packet(make_flow(port), tag, sequence, acknowledged),
                 now - milliseconds{20});
    (void)decide(state, view, make_ack_packet(make_flow(port), tag, acknowledged + 100), now);
}

}  // namespace guavaramp::director_fixture
