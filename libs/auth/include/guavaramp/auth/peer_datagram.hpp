#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavaramp {

/// Size in bytes of what `sign_datagram` puts in front of a payload: authentication tag, incarnation and
/// sequence number.
inline constexpr std::size_t datagram_authentication_size =
    authentication_tag_size + 2 * sizeof(std::uint64_t);

/// The values that identify a datagram among all datagrams between programs of the fleet.
struct datagram_origin {
    endpoint sender;
    std::uint64_t incarnation{0};  ///< increases with each start of the sender
    std::uint64_t sequence{0};     ///< increases with each datagram of one incarnation
};

/// Returns a signed datagram for `receiver`. The authentication tag covers both sockets' addresses and ports,
/// so that a datagram recorded on its way to one socket is rejected at any other. Precondition: `keys.keys`
/// is not empty. Thread-safe.
[[nodiscard]] std::vector<std::byte> sign_datagram(const fleet_keys& keys, const datagram_origin& origin,
                                                   const endpoint& receiver,
                                                   std::span<const std::byte> payload);

/// Verifies a datagram that arrived at `receiver`, records it in `guard` and returns its payload as a part of
/// `bytes`. Errors: `unauthenticated`, `replayed`. Not thread-safe.
[[nodiscard]] result<std::span<const std::byte>> verify_datagram(const fleet_keys& keys, replay_guard& guard,
                                                                 const endpoint& sender,
                                                                 const endpoint& receiver,
                                                                 std::span<const std::byte> bytes);

/// Returns the incarnation in a datagram, which may not be authentic. Precondition: `bytes` is not shorter
/// than `datagram_authentication_size`. Thread-safe.
[[nodiscard]] std::uint64_t unverified_incarnation(std::span<const std::byte> bytes) noexcept;

}  // namespace guavaramp
