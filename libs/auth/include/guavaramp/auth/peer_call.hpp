#pragma once

#include <guavaramp/auth/fleet_key.hpp>

#include <cstdint>
#include <string>

namespace guavaramp {

inline constexpr const char* peer_call_header = "x-guavaramp-peer";

/// Signs an HTTP call to another entry VM. The value of the header is "ADDRESS INCARNATION SEQUENCE TAG"; the
/// tag covers the three, the path and the body. Thread-safe.
[[nodiscard]] std::string sign_peer_call(const fleet_keys& keys, const ip_address& self,
                                         std::uint64_t incarnation, std::uint64_t sequence,
                                         const std::string& path, const std::string& body);

/// Checks a signed call and records it in `guard`. Errors: `unauthenticated`, `replayed`.
[[nodiscard]] result<void> verify_peer_call(const fleet_keys& keys, replay_guard& guard,
                                            const std::string& header, const std::string& path,
                                            const std::string& body);

}  // namespace guavaramp
