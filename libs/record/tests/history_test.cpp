#include <guavaramp/record/history.hpp>

#include <nlohmann/json.hpp>
#include <property.hpp>

#include <deque>

namespace guavaramp {
namespace {

flow_record ended_flow(std::uint16_t port, std::int64_t ended_ms, flow_end end) {
    const wall_time ended_at = from_unix_ms(ended_ms);
    return {.flow = {.caller = {.address = from_ipv4(0x0a000007), .port = port},
                     .service = {.address = from_ipv4(0x0a090001), .port = 443}},
            .service = service_id{1},
            .upstream = upstream_id{static_cast<std::uint32_t>(port % 3 + 1)},
            .reason = placement_reason::less_loaded,
            .revision = config_revision{12},
            .owner = from_ipv4(0x7f0a0101),
            .first_seen = ended_at - std::chrono::hours{3},
            .last_from_caller = ended_at - std::chrono::milliseconds{5},
            .last_from_upstream = port % 2 == 0 ? wall_time{} : ended_at - std::chrono::milliseconds{2001},
            .relayed_packets = 2,
            .end = end,
            .ended_at = ended_at};
}

// Guards against a field that the compact form or the form between entry VMs loses.
TEST_CASE("FlowHistoryTest.RecordsSurviveStorageAndJson") {
    check_property("round trip", [](std::uint16_t port) {
        const auto record = ended_flow(port, 1'800'000'000'000, flow_end::lost_at_upstream);
        flow_history history{{}, wall_time{}};
        history.add(record);
        const auto found = history.find(record.flow);
        RC_ASSERT(found == std::vector<flow_record>{record});
        const auto decoded = flow_record_from_json(to_json(record));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == record);
    });
}

// Guards against broken flows that ordinary ends push out, against memory above the bounds, and against a
// claim to know more than is held.
TEST_CASE("FlowHistoryTest.BrokenFlowsHaveBoundsOfTheirOwn") {
    check_property("agrees with a plain list", [](const std::vector<bool>& breaks) {
        const flow_history_limits limits{.ended = 5, .broken = 3};
        flow_history history{limits, wall_time{}};
        std::deque<flow_record> ended;
        std::deque<flow_record> broken;
        std::uint16_t port = 0;
        for (const bool breaks_now : breaks) {
            ++port;
            const auto record = ended_flow(port, port, breaks_now ? flow_end::not_found : flow_end::closed);
            history.add(record);
            history.add(record);
            auto& held = breaks_now ? broken : ended;
            held.push_front(record);
            held.resize(std::min(held.size(), breaks_now ? limits.broken : limits.ended));
        }
        RC_ASSERT(history.ended_count() == ended.size());
        RC_ASSERT(history.broken_since(wall_time{}, 100) ==
                  std::vector<flow_record>(broken.begin(), broken.end()));
        const auto newer = std::count_if(breaks.begin(), breaks.end(), [](bool value) { return !value; });
        RC_ASSERT((newer <= 5 || history.reaches_back_to() > wall_time{}));
        RC_ASSERT((ended.empty() || history.reaches_back_to() <= *ended.back().ended_at));
        RC_ASSERT(history.of_service(service_id{1}, no_upstream, 100).size() == ended.size() + broken.size());
    });
}

// Guards against damaged messages from peers that crash a daemon or become records.
TEST_CASE("FlowHistoryTest.DamagedRecordsAreRefused") {
    const auto whole = to_json(ended_flow(1, 1000, flow_end::closed));
    for (const auto& [key, unused] : whole.items()) {
        auto damaged = whole;
        damaged[key] = nlohmann::json::array();
        CHECK_MESSAGE(!flow_record_from_json(damaged).has_value(), key);
    }
    CHECK_FALSE(flow_record_from_json(nlohmann::json::array()).has_value());
}

// Guards against changes that are listed twice, lost between two heads, or claimed complete after a gap.
TEST_CASE("ChangeHistoryTest.HeadsAddTheirChangesOnce") {
    const auto head_with = [](std::uint64_t first, std::uint64_t last) {
        config_head head{.revision = config_revision{last}};
        for (auto revision = first; revision <= last; ++revision) {
            head.recent_changes.push_back(
                {.revision = config_revision{revision},
                 .accepted_at = from_unix_ms(static_cast<std::int64_t>(revision) * 1000)});
        }
        return head;
    };
    change_history history{100, from_unix_ms(3000)};
    history.observe(head_with(1, 3), from_unix_ms(9000));
    history.observe(head_with(1, 5), from_unix_ms(9500));
    history.observe(head_with(1, 4), from_unix_ms(9600));
    const auto all = history.since(from_unix_ms(2000));
    REQUIRE(all.size() == 4);
    CHECK_FALSE(all[0].in_force_at.has_value());
    CHECK(all[1].in_force_at == from_unix_ms(9000));
    CHECK(all[3].in_force_at == from_unix_ms(9500));
    CHECK(history.complete_since(wall_time{}));
    history.observe(head_with(50, 50 + max_recent_changes - 1), from_unix_ms(99'000));
    CHECK_FALSE(history.complete_since(from_unix_ms(2000)));
}

}  // namespace
}  // namespace guavaramp
