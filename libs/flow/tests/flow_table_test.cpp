#include <guavaramp/flow/flow_table.hpp>

#include <property.hpp>

#include <map>
#include <random>
#include <vector>

namespace guavaramp {
namespace {

flow_id make_id(std::uint64_t number) {
    const flow_key key{.caller = {.address = from_ipv4(static_cast<std::uint32_t>(number)), .port = 4000},
                       .service = {.port = 443}};
    return {.hash = hash_flow(key), .caller = key.caller.address, .caller_port = key.caller.port};
}

// Guards against lost, duplicated or confused flows after any sequence of insertions and removals.
TEST_CASE("FlowTableTest.MatchesReferenceMapAfterInsertionsAndRemovals") {
    check_property("table == map", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        flow_table table{64};
        std::map<std::uint64_t, upstream_id> reference;
        for (std::uint32_t step = 1; step < 200; ++step) {
            const auto id = make_id(random() % 40);
            auto* entry = table.find(id);
            RC_ASSERT((entry != nullptr) == reference.contains(id.hash));
            if (entry != nullptr) {
                RC_ASSERT(entry->upstream == reference.at(id.hash));
                table.erase(*entry);
                reference.erase(id.hash);
                continue;
            }
            const auto added = table.insert(id, flow_flag::owned);
            RC_ASSERT(added.entry != nullptr);
            added.entry->upstream = upstream_id{step};
            reference[id.hash] = upstream_id{step};
            RC_ASSERT(table.size() == reference.size());
        }
    });
}

// Guards against evicting an established owned flow for a new one, and against exceeding the capacity.
TEST_CASE("FlowTableTest.KeepsEstablishedOwnedFlowsWhenTableIsFull") {
    check_property("owned flows stay", [](std::uint64_t seed) {
        std::mt19937_64 random{seed};
        flow_table table{50};
        std::vector<flow_id> owned;
        for (std::uint64_t number = 0; number < 400; ++number) {
            const bool as_owner = random() % 2 == 0;
            const auto added = table.insert(make_id(number), as_owner ? flow_flag::owned : std::uint8_t{0});
            if (as_owner && added.entry != nullptr) {
                owned.push_back(make_id(number));
            }
            RC_ASSERT(table.size() <= 50U);
        }
        for (const auto& id : owned) {
            RC_ASSERT(table.find(id) != nullptr);
        }
        RC_ASSERT(owned.size() > 30U);
    });
}

// Guards against evicting a cached flow that is in use while a closing flow could be replaced.
TEST_CASE("FlowTableTest.ReplacesClosingFlowBeforeCachedFlow") {
    flow_table table{3};
    const auto id = [](std::uint16_t port) { return flow_id{.hash = port, .caller_port = port}; };
    auto* recent = table.insert(id(1), 0).entry;
    recent->last_from_caller = 9;
    table.insert(id(2), 0).entry->last_from_caller = 5;
    table.insert(id(3), flow_flag::owned | flow_flag::fin_caller).entry->last_from_caller = 10;
    CHECK(table.insert(id(4), 0).outcome == insert_outcome::replaced_closing);
    CHECK(table.find(id(3)) == nullptr);
    CHECK(table.insert(id(5), flow_flag::owned).outcome == insert_outcome::replaced_cached);
    CHECK(table.find(id(1)) != nullptr);
}

}  // namespace
}  // namespace guavaramp
