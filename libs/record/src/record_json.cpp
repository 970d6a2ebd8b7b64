#include <guavaramp/record/history.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<placement_reason, const char*>, 6> reasons{
    {{placement_reason::first_candidate, "first_candidate"},
     {placement_reason::less_loaded, "less_loaded"},
     {placement_reason::learned_from_owner, "learned_from_owner"},
     {placement_reason::learned_from_peer, "learned_from_peer"},
     {placement_reason::learned_from_probe, "learned_from_probe"},
     {placement_reason::handed_over, "handed_over"}}};

constexpr std::array<std::pair<flow_end, const char*>, 9> ends{
    {{flow_end::open, "open"},
     {flow_end::closed, "closed"},
     {flow_end::reset_by_caller, "reset_by_caller"},
     {flow_end::reset_by_upstream, "reset_by_upstream"},
     {flow_end::lost_at_upstream, "lost_at_upstream"},
     {flow_end::host_unreachable, "host_unreachable"},
     {flow_end::not_found, "not_found"},
     {flow_end::upstream_removed, "upstream_removed"},
     {flow_end::expired, "expired"}}};

template <typename Table, typename Value>
const char* name_in(const Table& table, Value value) noexcept {
    for (const auto& [candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template <typename Value, typename Table>
Value value_in(const Table& table, const std::string& text) {
    for (const auto& [candidate, name] : table) {
        if (text == name) {
            return candidate;
        }
    }
    throw error{.kind = error_kind::malformed, .message = "found '" + text + "', which is no known value"};
}

template <typename T>
T unwrap(result<T> value) {
    if (!value) {
        throw value.error();
    }
    return *std::move(value);
}

wall_time time_at(const json& object, const char* key) {
    return from_unix_ms(object.at(key).get<std::int64_t>());
}

flow_record decode(const json& object) {
    flow_record record;
    record.flow.caller = unwrap(parse_endpoint(object.at("caller").get<std::string>()));
    record.flow.service = unwrap(parse_endpoint(object.at("service_address").get<std::string>()));
    record.flow.protocol = unwrap(parse_transport(object.at("protocol").get<std::string>()));
    record.service = service_id{object.at("service").get<std::uint32_t>()};
    record.upstream = upstream_id{object.at("upstream").get<std::uint32_t>()};
    record.reason = value_in<placement_reason>(reasons, object.at("reason").get<std::string>());
    record.revision = config_revision{object.at("revision").get<std::uint64_t>()};
    record.owner = unwrap(parse_ip_address(object.at("owner").get<std::string>()));
    record.first_seen = time_at(object, "first_seen_ms");
    record.last_from_caller = time_at(object, "last_from_caller_ms");
    record.last_from_upstream = time_at(object, "last_from_upstream_ms");
    record.relayed_packets = object.at("relayed_packets").get<std::uint64_t>();
    record.end = value_in<flow_end>(ends, object.at("end").get<std::string>());
    if (object.contains("ended_at_ms")) {
        record.ended_at = time_at(object, "ended_at_ms");
    }
    return record;
}

}  // namespace

const char* to_string(placement_reason value) noexcept { return name_in(reasons, value); }
const char* to_string(flow_end value) noexcept { return name_in(ends, value); }

std::string to_string(const flow_key& value) {
    return to_string(value.caller) + " -> " + to_string(value.service) + " " + to_string(value.protocol);
}

json to_json(const flow_record& record) {
    json out{{"caller", to_string(record.flow.caller)},
             {"service_address", to_string(record.flow.service)},
             {"protocol", to_string(record.flow.protocol)},
             {"service", static_cast<std::uint32_t>(record.service)},
             {"upstream", static_cast<std::uint32_t>(record.upstream)},
             {"reason", to_string(record.reason)},
             {"revision", static_cast<std::uint64_t>(record.revision)},
             {"owner", to_string(record.owner)},
             {"first_seen_ms", to_unix_ms(record.first_seen)},
             {"last_from_caller_ms", to_unix_ms(record.last_from_caller)},
             {"last_from_upstream_ms", to_unix_ms(record.last_from_upstream)},
             {"relayed_packets", record.relayed_packets},
             {"end", to_string(record.end)}};
    if (record.ended_at) {
        out["ended_at_ms"] = to_unix_ms(*record.ended_at);
    }
    return out;
}

result<flow_record> flow_record_from_json(const json& object) {
    try {
        return decode(object);
    } catch (const json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    } catch (const error& failure) {
        return tl::make_unexpected(failure);
    }
}

}  // namespace guavaramp
