#pragma once

#include <guavaramp/config/model.hpp>

#include <string>
#include <vector>

namespace guavaramp {

/// What changed between a revision and a newer configuration. Only changed service values travel, so that a
/// change to one of 1,600 services costs its receivers 2 KB and not 350 KB.
struct config_delta {
    config_revision since{0};  ///< 0: `changed` holds all services
    config_revision revision{0};
    std::uint32_t next_service_id{1};
    std::uint32_t next_upstream_id{1};
    std::vector<service> changed;
    std::vector<accepted_change> recent_changes;  ///< those of the newer head that are later than `since`
    std::uint64_t head_hash{0};  ///< of the newer head; detects a base that differs from the sender's

    friend bool operator==(const config_delta&, const config_delta&) = default;
};

/// The delta from the revision `since` to `value`. Thread-safe.
[[nodiscard]] config_delta make_delta(const configuration& value, config_revision since);

/// The configuration after `delta`. Errors: `conflict` (the result differs from the sender's configuration:
/// ask for everything, with `since` 0). Thread-safe.
[[nodiscard]] result<configuration> apply_delta(const configuration& base, const config_delta& delta);

/// JSON codec. Decoding errors: `malformed`. Thread-safe.
[[nodiscard]] nlohmann::json to_json(const config_delta& value);
[[nodiscard]] result<config_delta> delta_from_json(const nlohmann::json& json);

}  // namespace guavaramp
