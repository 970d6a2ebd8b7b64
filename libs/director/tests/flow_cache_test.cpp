#include "director_fixture.hpp"

#include <guavaramp/director/flow_cache.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

TEST_CASE("FlowCacheTest.AFullCacheRefusesNewFlowsAndKeepsOldOnes") {
    flow_cache cache{.max_flows = 1};
    REQUIRE(add_flow(cache, make_flow(1), {.tag = tag_of(1)}) != nullptr);
    CHECK(add_flow(cache, make_flow(2), {.tag = tag_of(1)}) == nullptr);
    CHECK(find_flow(cache, make_flow(1)) != nullptr);
    CHECK(work_of(cache, tag_of(1)).open == 1);
}

TEST_CASE("FlowCacheTest.IdleFlowsExpireAndTheirWorkWithThem") {
    flow_cache cache;
    add_flow(cache, make_flow(1), {.tag = tag_of(1), .last_seen = at_ms(0)});
    add_flow(cache, make_flow(2), {.tag = tag_of(1), .last_seen = at_ms(20)});
    expire_flows(cache, at_ms(10));
    CHECK(find_flow(cache, make_flow(1)) == nullptr);
    CHECK(work_of(cache, tag_of(1)).open == 1);
}

// Guards against counts that drift and make an upstream look busy or idle for ever.
TEST_CASE("FlowCacheTest.WorkEqualsTheFlowsHeldAfterAnySeriesOfChanges") {
    check_property("work by tag equals a recount", [](const std::vector<std::uint16_t>& steps) {
        flow_cache cache{.max_flows = 6};
        for (const auto step : steps) {
            const auto flow = make_flow(static_cast<std::uint16_t>(step % 8));
            const auto tag = tag_of(1 + step / 8 % 3);
            auto* entry = find_flow(cache, flow);
            switch (step / 32 % 6) {
                case 0:
                    add_flow(cache, flow, {.tag = tag, .last_seen = at_ms(step % 50)});
                    break;
                case 1:
                    remove_flow(cache, flow);
                    break;
                case 2:
                    expire_flows(cache, at_ms(step % 50));
                    break;
                case 3:
                    if (entry != nullptr) {
                        retag_flow(cache, *entry, tag);
                    }
                    break;
                case 4:
                    if (entry != nullptr) {
                        set_unanswered(cache, *entry, step % 2 == 0 ? at_ms(1) : mono_time{});
                    }
                    break;
                default:
                    if (entry != nullptr) {
                        close_flow(cache, *entry);
                    }
            }
        }
        std::unordered_map<std::uint32_t, upstream_work> recount;
        for (const auto& [flow, entry] : cache.flows) {
            if (!entry.closing) {
                auto& work = recount[static_cast<std::uint32_t>(entry.tag)];
                ++work.open;
                work.waiting += entry.unanswered_since == mono_time{} ? 0 : 1;
            }
        }
        RC_ASSERT(recount == cache.work_by_tag);
    });
}

}  // namespace
}  // namespace guavaramp
