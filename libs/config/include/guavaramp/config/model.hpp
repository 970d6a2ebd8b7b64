#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/ids.hpp>
#include <guavaramp/base/time.hpp>
#include <guavaramp/packet/ip_packet.hpp>

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavaramp {

/// Urgency of a service's or request's work, most urgent first.
enum class work_class : std::uint8_t { urgent, normal, bulk };

enum class upstream_state : std::uint8_t {
    active,    ///< takes new flows
    draining,  ///< keeps its open flows, takes no new ones
    retired    ///< removed from the service; forwards packets of known flows until they end
};

/// One host that serves one service.
struct upstream {
    upstream_id id{0};
    std::string name;          ///< unique within the service, for example "h07"
    endpoint packet_address;   ///< where the host decapsulates GUE
    endpoint request_address;  ///< where the host serves HTTP requests
    std::string failure_domain;
    std::uint32_t weight{100};  ///< relative capacity, 1 to 10,000
    upstream_state state{upstream_state::active};
    std::optional<wall_time> drain_at;    ///< an active upstream drains from this moment on
    std::optional<wall_time> retired_at;  ///< when it was removed from the service

    friend bool operator==(const upstream&, const upstream&) = default;
};

/// A service and its upstreams; one value in the platform's key-value service.
struct service {
    service_id id{0};
    std::string name;
    endpoint address;  ///< the inner destination of its packets
    transport protocol{transport::tcp};
    work_class urgency{work_class::normal};
    config_revision revision{0};  ///< configuration revision that introduced this value
    std::string change_id;        ///< id of the change that wrote this value
    std::vector<upstream> upstreams;

    friend bool operator==(const service&, const service&) = default;
};

/// An accepted change as the head remembers it.
struct accepted_change {
    config_revision revision{0};
    std::string change_id;
    std::string summary;  ///< for example "drain upstream dispatch/h07"
    wall_time accepted_at{};

    friend bool operator==(const accepted_change&, const accepted_change&) = default;
};

/// Bounds the head: 32 entries of about 150 bytes add 5 KB to a value that every watch returns.
inline constexpr std::size_t max_recent_changes = 32;

/// The head value: names the current value of every service. Its swap is the moment a change is accepted.
struct config_head {
    struct entry {
        service_id id{0};
        config_revision revision{0};

        friend bool operator==(const entry&, const entry&) = default;
    };

    config_revision revision{0};
    std::uint32_t next_service_id{1};
    std::uint32_t next_upstream_id{1};
    std::map<std::string, entry> services;
    /// The newest accepted changes, oldest first, at most `max_recent_changes`. A writer whose answer was
    /// lost finds its change id here even after further changes of the same service.
    std::vector<accepted_change> recent_changes;

    friend bool operator==(const config_head&, const config_head&) = default;
};

/// A complete configuration at one revision.
struct configuration {
    config_head head;
    std::map<std::string, service> services;

    friend bool operator==(const configuration&, const configuration&) = default;
};

/// Platform keys.
inline constexpr const char* head_key = "guavaramp/head";
[[nodiscard]] std::string service_key(const std::string& name, config_revision revision);

/// Text forms used in JSON, commands and answers. The parsers' error: `malformed`. Thread-safe.
[[nodiscard]] const char* to_string(work_class value) noexcept;
[[nodiscard]] const char* to_string(upstream_state value) noexcept;
[[nodiscard]] const char* to_string(transport value) noexcept;
[[nodiscard]] result<work_class> parse_work_class(const std::string& text);
[[nodiscard]] result<upstream_state> parse_upstream_state(const std::string& text);
[[nodiscard]] result<transport> parse_transport(const std::string& text);

/// JSON codec. Decoding errors: `malformed`, naming the key. Thread-safe.
[[nodiscard]] nlohmann::json to_json(const service& value);
[[nodiscard]] nlohmann::json to_json(const config_head& value);
[[nodiscard]] nlohmann::json to_json(const configuration& value);
[[nodiscard]] result<service> service_from_json(const nlohmann::json& json);
[[nodiscard]] result<config_head> head_from_json(const nlohmann::json& json);
[[nodiscard]] result<configuration> configuration_from_json(const nlohmann::json& json);

/// The state of `value` at `now`, with a planned drain applied. Thread-safe.
[[nodiscard]] upstream_state state_at(const upstream& value, wall_time now) noexcept;

/// An upstream with the service it belongs to.
struct upstream_ref {
    const service* owner{nullptr};
    const upstream* host{nullptr};
};

/// Indexes of a configuration for the packet path; immutable after construction, so any thread may read it.
class config_snapshot {
public:
    explicit config_snapshot(configuration value);
    config_snapshot(const config_snapshot&) = delete;
    config_snapshot& operator=(const config_snapshot&) = delete;

    [[nodiscard]] const configuration& value() const noexcept { return value_; }
    [[nodiscard]] config_revision revision() const noexcept { return value_.head.revision; }

    /// The service at an inner destination, or null. Thread-safe.
    [[nodiscard]] const service* find_service(const endpoint& address, transport protocol) const noexcept;
    [[nodiscard]] const service* find_service(service_id id) const noexcept;
    [[nodiscard]] const service* find_service(const std::string& name) const noexcept;

    /// The upstream with an id in any state, or nulls. Thread-safe.
    [[nodiscard]] upstream_ref find_upstream(upstream_id id) const noexcept;

    /// The upstreams whose packets come from an outer address. Several services may share a host.
    /// Thread-safe.
    [[nodiscard]] std::vector<upstream_ref> find_upstreams_at(const endpoint& packet_address) const;

private:
    configuration value_;
    std::unordered_map<std::uint64_t, const service*> by_address_;
    std::unordered_map<std::uint32_t, const service*> by_id_;
    std::unordered_map<std::uint32_t, upstream_ref> upstreams_;
    std::unordered_multimap<std::uint64_t, upstream_ref> by_packet_address_;
};

}  // namespace guavaramp
