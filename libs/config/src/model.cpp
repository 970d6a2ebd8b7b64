#include <guavaramp/base/hash.hpp>
#include <guavaramp/config/model.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace guavaramp {
namespace {

using nlohmann::json;

template <typename Value, std::size_t Count>
const char* name_in(const std::array<std::pair<Value, const char*>, Count>& table, Value value) noexcept {
    for (const auto& [candidate, name] : table) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template <typename Value, std::size_t Count>
result<Value> value_in(const std::array<std::pair<Value, const char*>, Count>& table,
                       const std::string& text) {
    std::string allowed;
    for (const auto& [candidate, name] : table) {
        if (text == name) {
            return candidate;
        }
        allowed += allowed.empty() ? name : std::string{", "} + name;
    }
    return fail(error_kind::malformed, "found '" + text + "', allowed: " + allowed);
}

constexpr std::array<std::pair<work_class, const char*>, 3> work_classes{
    {{work_class::urgent, "urgent"}, {work_class::normal, "normal"}, {work_class::bulk, "bulk"}}};
constexpr std::array<std::pair<upstream_state, const char*>, 3> upstream_states{
    {{upstream_state::active, "active"},
     {upstream_state::draining, "draining"},
     {upstream_state::retired, "retired"}}};
constexpr std::array<std::pair<transport, const char*>, 2> transports{
    {{transport::tcp, "tcp"}, {transport::udp, "udp"}}};

std::uint64_t number(config_revision value) noexcept { return static_cast<std::uint64_t>(value); }
std::uint32_t number(service_id value) noexcept { return static_cast<std::uint32_t>(value); }
std::uint32_t number(upstream_id value) noexcept { return static_cast<std::uint32_t>(value); }

std::uint64_t hash_endpoint(const endpoint& value, std::uint64_t seed) noexcept {
    return hash_bytes(std::as_bytes(std::span{value.address.bytes}), mix_hashes(seed, value.port));
}

/// Thrown inside the decoders and turned into a `result` at their border.
struct decode_failure {
    std::string message;
};

template <typename T>
T required(const json& object, const char* key) {
    try {
        return object.at(key).get<T>();
    } catch (const json::exception&) {
        throw decode_failure{std::string{"key '"} + key + "' is missing or has the wrong type"};
    }
}

template <typename T>
T unwrap(result<T> value, const char* key) {
    if (!value) {
        throw decode_failure{std::string{"key '"} + key + "': " + value.error().message};
    }
    return *std::move(value);
}

endpoint required_endpoint(const json& object, const char* key) {
    return unwrap(parse_endpoint(required<std::string>(object, key)), key);
}

std::optional<wall_time> optional_time(const json& object, const char* key) {
    if (!object.contains(key)) {
        return std::nullopt;
    }
    return from_unix_ms(required<std::int64_t>(object, key));
}

json upstream_to_json(const upstream& value) {
    json out{{"id", number(value.id)},
             {"name", value.name},
             {"packet_address", to_string(value.packet_address)},
             {"request_address", to_string(value.request_address)},
             {"failure_domain", value.failure_domain},
             {"weight", value.weight},
             {"state", to_string(value.state)}};
    if (value.drain_at) {
        out["drain_at_ms"] = to_unix_ms(*value.drain_at);
    }
    if (value.retired_at) {
        out["retired_at_ms"] = to_unix_ms(*value.retired_at);
    }
    return out;
}

upstream decode_upstream(const json& object) {
    upstream value;
    value.id = upstream_id{required<std::uint32_t>(object, "id")};
    value.name = required<std::string>(object, "name");
    value.packet_address = required_endpoint(object, "packet_address");
    value.request_address = required_endpoint(object, "request_address");
    value.failure_domain = required<std::string>(object, "failure_domain");
    value.weight = required<std::uint32_t>(object, "weight");
    value.state = unwrap(parse_upstream_state(required<std::string>(object, "state")), "state");
    value.drain_at = optional_time(object, "drain_at_ms");
    value.retired_at = optional_time(object, "retired_at_ms");
    return value;
}

service decode_service(const json& object) {
    service value;
    value.id = service_id{required<std::uint32_t>(object, "id")};
    value.name = required<std::string>(object, "name");
    value.address = required_endpoint(object, "address");
    value.protocol = unwrap(parse_transport(required<std::string>(object, "protocol")), "protocol");
    value.urgency = unwrap(parse_work_class(required<std::string>(object, "class")), "class");
    value.revision = config_revision{required<std::uint64_t>(object, "revision")};
    value.change_id = required<std::string>(object, "change_id");
    for (const auto& item : required<std::vector<json>>(object, "upstreams")) {
        value.upstreams.push_back(decode_upstream(item));
    }
    return value;
}

accepted_change decode_accepted_change(const json& object) {
    return {.revision = config_revision{required<std::uint64_t>(object, "revision")},
            .change_id = required<std::string>(object, "change_id"),
            .summary = required<std::string>(object, "summary"),
            .accepted_at = from_unix_ms(required<std::int64_t>(object, "accepted_at_ms"))};
}

config_head decode_head(const json& object) {
    config_head value;
    value.revision = config_revision{required<std::uint64_t>(object, "revision")};
    value.next_service_id = required<std::uint32_t>(object, "next_service_id");
    value.next_upstream_id = required<std::uint32_t>(object, "next_upstream_id");
    for (const auto& [name, item] : required<std::map<std::string, json>>(object, "services")) {
        value.services[name] = {.id = service_id{required<std::uint32_t>(item, "id")},
                                .revision = config_revision{required<std::uint64_t>(item, "revision")}};
    }
    if (object.contains("recent_changes")) {
        for (const auto& item : required<std::vector<json>>(object, "recent_changes")) {
            value.recent_changes.push_back(decode_accepted_change(item));
        }
    }
    return value;
}

template <typename Decode>
auto guarded(Decode decode) -> result<decltype(decode())> {
    try {
        return decode();
    } catch (const decode_failure& failure) {
        return fail(error_kind::malformed, failure.message);
    }
}

}  // namespace

std::string service_key(const std::string& name, config_revision revision) {
    return "guavaramp/services/" + name + "/" + std::to_string(number(revision));
}

const char* to_string(work_class value) noexcept { return name_in(work_classes, value); }
const char* to_string(upstream_state value) noexcept { return name_in(upstream_states, value); }
const char* to_string(transport value) noexcept { return name_in(transports, value); }
result<work_class> parse_work_class(const std::string& text) { return value_in(work_classes, text); }
result<upstream_state> parse_upstream_state(const std::string& text) {
    return value_in(upstream_states, text);
}
result<transport> parse_transport(const std::string& text) { return value_in(transports, text); }

json to_json(const service& value) {
    json upstreams = json::array();
    for (const auto& item : value.upstreams) {
        upstreams.push_back(upstream_to_json(item));
    }
    return {{"id", number(value.id)},
            {"name", value.name},
            {"address", to_string(value.address)},
            {"protocol", to_string(value.protocol)},
            {"class", to_string(value.urgency)},
            {"revision", number(value.revision)},
            {"change_id", value.change_id},
            {"upstreams", std::move(upstreams)}};
}

json to_json(const config_head& value) {
    json services = json::object();
    for (const auto& [name, entry] : value.services) {
        services[name] = {{"id", number(entry.id)}, {"revision", number(entry.revision)}};
    }
    json recent = json::array();
    for (const auto& change : value.recent_changes) {
        recent.push_back({{"revision", number(change.revision)},
                          {"change_id", change.change_id},
                          {"summary", change.summary},
                          {"accepted_at_ms", to_unix_ms(change.accepted_at)}});
    }
    return {{"revision", number(value.revision)},
            {"next_service_id", value.next_service_id},
            {"next_upstream_id", value.next_upstream_id},
            {"services", std::move(services)},
            {"recent_changes", std::move(recent)}};
}

json to_json(const configuration& value) {
    json services = json::object();
    for (const auto& [name, item] : value.services) {
        services[name] = to_json(item);
    }
    return {{"head", to_json(value.head)}, {"services", std::move(services)}};
}

result<service> service_from_json(const json& object) {
    return guarded([&object] { return decode_service(object); });
}

result<config_head> head_from_json(const json& object) {
    return guarded([&object] { return decode_head(object); });
}

result<configuration> configuration_from_json(const json& object) {
    return guarded([&object] {
        configuration value;
        value.head = decode_head(required<json>(object, "head"));
        for (const auto& [name, item] : required<std::map<std::string, json>>(object, "services")) {
            value.services[name] = decode_service(item);
        }
        return value;
    });
}

upstream_state state_at(const upstream& value, wall_time now) noexcept {
    const bool drained = value.state == upstream_state::active && value.drain_at && *value.drain_at <= now;
    return drained ? upstream_state::draining : value.state;
}

config_snapshot::config_snapshot(configuration value) : value_(std::move(value)) {
    for (const auto& [name, item] : value_.services) {
        by_address_[hash_endpoint(item.address, static_cast<std::uint64_t>(item.protocol))] = &item;
        by_id_[number(item.id)] = &item;
        for (const auto& host : item.upstreams) {
            const upstream_ref ref{.owner = &item, .host = &host};
            upstreams_[number(host.id)] = ref;
            by_packet_address_.emplace(hash_endpoint(host.packet_address, 0), ref);
        }
    }
}

const service* config_snapshot::find_service(const endpoint& address, transport protocol) const noexcept {
    const auto found = by_address_.find(hash_endpoint(address, static_cast<std::uint64_t>(protocol)));
    if (found == by_address_.end()) {
        return nullptr;
    }
    const service* candidate = found->second;
    return candidate->address == address && candidate->protocol == protocol ? candidate : nullptr;
}

const service* config_snapshot::find_service(service_id id) const noexcept {
    const auto found = by_id_.find(number(id));
    return found == by_id_.end() ? nullptr : found->second;
}

const service* config_snapshot::find_service(const std::string& name) const noexcept {
    const auto found = value_.services.find(name);
    return found == value_.services.end() ? nullptr : &found->second;
}

upstream_ref config_snapshot::find_upstream(upstream_id id) const noexcept {
    const auto found = upstreams_.find(number(id));
    return found == upstreams_.end() ? upstream_ref{} : found->second;
}

std::vector<upstream_ref> config_snapshot::find_upstreams_at(const endpoint& packet_address) const {
    std::vector<upstream_ref> refs;
    const auto [first, last] = by_packet_address_.equal_range(hash_endpoint(packet_address, 0));
    for (auto it = first; it != last; ++it) {
        if (it->second.host->packet_address == packet_address) {
            refs.push_back(it->second);
        }
    }
    return refs;
}

}  // namespace guavaramp
