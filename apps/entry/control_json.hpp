#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/config/delta.hpp>
#include <guavaramp/membership/member.hpp>
#include <guavaramp/net/http.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <set>
#include <string>

namespace guavaramp {

/// Faults that experiments inject into a daemon.
struct entry_faults {
    std::optional<std::set<ip_address>> blocked_peers;  ///< replaces the set when present
    std::int64_t pause_ms{0};                           ///< the control thread sleeps once for this long
};

/// Errors: `malformed`. Thread-safe.
[[nodiscard]] result<entry_faults> parse_entry_faults(const std::string& body);

/// The member list for operators. Thread-safe.
[[nodiscard]] nlohmann::json members_to_json(const ip_address& self, const member_list& list);

/// The parameter "since" of a pull; 0 when absent. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<config_revision> parse_since(const http_request& request);

/// A pull's answer: a line with the hexadecimal tag of the payload, then the payload. Thread-safe.
[[nodiscard]] std::string sign_pull(const fleet_keys& keys, const std::string& payload);

/// Checks and decodes the answer to a pull. Errors: those of the call, `unauthenticated`, `malformed`.
/// Thread-safe.
[[nodiscard]] result<config_delta> open_pull(const fleet_keys& keys, const http_outcome& outcome);

}  // namespace guavaramp
