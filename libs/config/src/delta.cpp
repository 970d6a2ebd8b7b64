#include <guavaramp/base/hash.hpp>
#include <guavaramp/config/delta.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace guavaramp {
namespace {

std::uint64_t hash_head(const config_head& head) { return hash_text(to_json(head).dump()); }

/// Appends later changes and drops the oldest beyond `max_recent_changes`, as the writer of a head does.
void append_changes(std::vector<accepted_change>& changes, const std::vector<accepted_change>& later) {
    changes.insert(changes.end(), later.begin(), later.end());
    if (changes.size() > max_recent_changes) {
        changes.erase(changes.begin(), changes.end() - max_recent_changes);
    }
}

nlohmann::json change_to_json(const accepted_change& value) {
    return {{"revision", static_cast<std::uint64_t>(value.revision)},
            {"change_id", value.change_id},
            {"summary", value.summary},
            {"accepted_at_ms", to_unix_ms(value.accepted_at)}};
}

accepted_change decode_change(const nlohmann::json& json) {
    return {.revision = config_revision{json.at("revision").get<std::uint64_t>()},
            .change_id = json.at("change_id").get<std::string>(),
            .summary = json.at("summary").get<std::string>(),
            .accepted_at = from_unix_ms(json.at("accepted_at_ms").get<std::int64_t>())};
}

}  // namespace

config_delta make_delta(const configuration& value, config_revision since) {
    config_delta delta{.since = since,
                       .revision = value.head.revision,
                       .next_service_id = value.head.next_service_id,
                       .next_upstream_id = value.head.next_upstream_id,
                       .head_hash = hash_head(value.head)};
    for (const auto& [name, item] : value.services) {
        if (item.revision > since || since == config_revision{0}) {
            delta.changed.push_back(item);
        }
    }
    std::ranges::copy_if(value.head.recent_changes, std::back_inserter(delta.recent_changes),
                         [since](const accepted_change& change) { return change.revision > since; });
    return delta;
}

result<configuration> apply_delta(const configuration& base, const config_delta& delta) {
    configuration value;
    if (delta.since != config_revision{0}) {
        value = base;
    }
    value.head.revision = delta.revision;
    value.head.next_service_id = delta.next_service_id;
    value.head.next_upstream_id = delta.next_upstream_id;
    for (const auto& item : delta.changed) {
        value.head.services[item.name] = {.id = item.id, .revision = item.revision};
        value.services[item.name] = item;
    }
    append_changes(value.head.recent_changes, delta.recent_changes);
    if (hash_head(value.head) != delta.head_hash) {
        return fail(error_kind::conflict, "the configuration differs from the sender's after the changes");
    }
    return value;
}

nlohmann::json to_json(const config_delta& value) {
    nlohmann::json changed = nlohmann::json::array();
    for (const auto& item : value.changed) {
        changed.push_back(to_json(item));
    }
    nlohmann::json recent = nlohmann::json::array();
    for (const auto& item : value.recent_changes) {
        recent.push_back(change_to_json(item));
    }
    return {{"since", static_cast<std::uint64_t>(value.since)},
            {"revision", static_cast<std::uint64_t>(value.revision)},
            {"next_service_id", value.next_service_id},
            {"next_upstream_id", value.next_upstream_id},
            {"changed", std::move(changed)},
            {"recent_changes", std::move(recent)},
            {"head_hash", value.head_hash}};
}

result<config_delta> delta_from_json(const nlohmann::json& json) {
    config_delta delta;
    try {
        delta.since = config_revision{json.at("since").get<std::uint64_t>()};
        delta.revision = config_revision{json.at("revision").get<std::uint64_t>()};
        delta.next_service_id = json.at("next_service_id").get<std::uint32_t>();
        delta.next_upstream_id = json.at("next_upstream_id").get<std::uint32_t>();
        delta.head_hash = json.at("head_hash").get<std::uint64_t>();
        for (const auto& item : json.at("changed")) {
            auto decoded = service_from_json(item);
            if (!decoded) {
                return tl::make_unexpected(decoded.error());
            }
            delta.changed.push_back(*std::move(decoded));
        }
        for (const auto& item : json.at("recent_changes")) {
            delta.recent_changes.push_back(decode_change(item));
        }
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    }
    return delta;
}

}  // namespace guavaramp
