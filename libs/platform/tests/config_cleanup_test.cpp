#include <guavaramp/platform/config_cleanup.hpp>

#include <property.hpp>

#include <algorithm>
#include <set>

namespace guavaramp {
namespace {

// Guards against deleting a value that a head names, that a change in progress has just written, or that a
// daemon with a recent head still reads.
TEST_CASE("ConfigCleanupTest.OnlyOldValuesOfKnownServicesAreRemovable") {
    check_property("removable", [](const std::set<std::uint8_t>& revisions, std::uint8_t current) {
        config_head head;
        head.services["s"] = {.id = service_id{1}, .revision = config_revision{current}};
        std::vector<listed_key> keys{{"guavaramp/services/unknown/1", 1}, {"guavaramp/services/s/text", 1}};
        for (const auto revision : revisions) {
            keys.emplace_back(service_key("s", config_revision{revision}), 100 + revision);
        }
        const auto removable = removable_values(keys, head, 3);
        const auto older = static_cast<std::size_t>(std::count_if(
            revisions.begin(), revisions.end(), [current](std::uint8_t value) { return value < current; }));
        RC_ASSERT(removable.size() == older - std::min<std::size_t>(3, older));
        std::size_t index = 0;
        for (const auto revision : revisions) {
            if (index < removable.size()) {
                RC_ASSERT(removable[index].first == service_key("s", config_revision{revision}));
                RC_ASSERT(removable[index++].second == 100U + revision);
            }
        }
    });
}

}  // namespace
}  // namespace guavaramp
