#pragma once

#include <guavaramp/auth/fleet_key.hpp>

#include <cstdint>
#include <string>

namespace guavaramp {

/// Name of the HTTP header that authenticates a call between entry VMs.
inline constexpr const char* peer_call_header = "x-guavaramp-peer";

/// Returns the value of the header `peer_call_header` for an HTTP call from the VM `self` to another entry
/// VM: "ADDRESS INCARNATION SEQUENCE TAG". The authentication tag covers the three fields before it, the path
/// and the body. Thread-safe.
[[nodiscard]] std::string sign_peer_call(const fleet_keys& keys, const ip_address& self,
                                         std::uint64_t incarnation, std::uint64_t sequence,
                                         const std::string& path, const std::string& body);

/// Verifies a call with the given value of the header `peer_call_header` and records it in `guard`. Errors:
/// `unauthenticated`, `replayed`.
[[nodiscard]] result<void> verify_peer_call(const fleet_keys& keys, replay_guard& guard,
                                            const std::string& header, const std::string& path,
                                            const std::string& body);

}  // namespace guavaramp
