#include "director_fixture.hpp"

#include <guavaramp/director/flow_cache.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

TEST_CASE("FlowCacheTest.RefusesNewFlowsAndKeepsOldOnesWhenFull") {
    flow_cache cache{.max_flows = 1};
    REQUIRE(add_flow(cache, make_flow(1), {.tag = tag_of(1)}) != nullptr);
    CHECK(add_flow(cache, make_flow(2), {.tag = tag_of(1)}) == nullptr);
    CHECK(find_flow(cache, make_flow(1)) != nullptr);
    CHECK(load_of(cache, tag_of(1)).open_flows == 1);
}

TEST_CASE("FlowCacheTest.RemovesTheLoadOfFlowsThatExpire") {
    flow_cache cache;
    add_flow(cache, make_flow(1), {.tag = tag_of(1), .last_seen_at = at_ms(0)});
    add_flow(cache, make_flow(2), {.tag = tag_of(1), .last_seen_at = at_ms(20)});
    expire_flows(cache, at_ms(10));
    CHECK(find_flow(cache, make_flow(1)) == nullptr);
    CHECK(load_of(cache, tag_of(1)).open_flows == 1);
}

// Guards against load counts that drift, so that an upstream looks busy or idle for ever.
TEST_CASE("FlowCacheTest.CountsTheLoadOfItsFlowsAfterAnySeriesOfChanges") {
    check_property("load by tag equals a recount", [](const std::vector<std::uint16_t>& steps) {
        flow_cache cache{.max_flows = 6};
        for (const auto step : steps) {
            const auto flow = make_flow(static_cast<std::uint16_t>(step % 8));
            const auto tag = tag_of(1 + step / 8 % 3);
            auto* entry = find_flow(cache, flow);
            switch (step / 32 % 6) {
                case 0:
                    add_flow(cache, flow, {.tag = tag, .last_seen_at = at_ms(step % 50)});
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
                        set_unanswered_since(cache, *entry, step % 2 == 0 ? at_ms(1) : mono_time{});
                    }
                    break;
                default:
                    if (entry != nullptr) {
                        close_flow(cache, *entry);
                    }
            }
        }
        std::unordered_map<std::uint32_t, upstream_load> recount;
        for (const auto& [flow, entry] : cache.flows) {
            if (!entry.closing) {
                auto& load = recount[static_cast<std::uint32_t>(entry.tag)];
                ++load.open_flows;
                load.waiting_flows += entry.unanswered_since == mono_time{} ? 0 : 1;
            }
        }
        RC_ASSERT(recount == cache.load_by_tag);
    });
}

}  // namespace
}  // namespace guavaramp
