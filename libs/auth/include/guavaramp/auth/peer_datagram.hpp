#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavaramp {

/// Bytes that `seal_datagram` puts in front of a payload: tag, incarnation and sequence number.
inline constexpr std::size_t datagram_seal_size = authentication_tag_size + 2 * sizeof(std::uint64_t);

/// What makes a datagram between two programs of the fleet unique.
struct datagram_origin {
    endpoint sender;
    std::uint64_t incarnation{0};  ///< grows with each start of the sender
    std::uint64_t sequence{0};     ///< grows with each datagram of one incarnation
};

/// Signs a datagram for `receiver`. The tag covers both sockets, so that a datagram recorded on the way to
/// one socket is worthless at another one. Precondition: `keys.keys` is not empty. Thread-safe.
[[nodiscard]] std::vector<std::byte> seal_datagram(const fleet_keys& keys, const datagram_origin& origin,
                                                   const endpoint& receiver,
                                                   std::span<const std::byte> payload);

/// Checks a datagram that arrived at `receiver`, records it in `guard` and returns its payload, which points
/// into `bytes`. Errors: `unauthenticated`, `replayed`. Not thread-safe.
[[nodiscard]] result<std::span<const std::byte>> open_datagram(const fleet_keys& keys, replay_guard& guard,
                                                               const endpoint& sender,
                                                               const endpoint& receiver,
                                                               std::span<const std::byte> bytes);

/// The incarnation that a datagram carries, whether or not it is authentic. Precondition: it is no shorter
/// than `datagram_seal_size`. Thread-safe.
[[nodiscard]] std::uint64_t incarnation_of(std::span<const std::byte> bytes) noexcept;

}  // namespace guavaramp
