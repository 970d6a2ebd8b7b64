#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/base/ids.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace guavaramp {

/// Messages between entry VMs on the data path. Each travels with an inner packet of its flow.
enum class relay_kind : std::uint8_t {
    ask_owner = 1,  ///< origin to owner, with the caller's packet
    answer,         ///< owner to origin, the packet comes back with its upstream
    ask_peer,       ///< owner to a possible previous owner, with the caller's packet
    known,          ///< previous owner to owner, the packet comes back with its upstream
    not_known,      ///< the packet comes back without an upstream
    hand_over       ///< planned stop: the receiver owns the flow from now on
};

/// The relay header's fields, without authentication.
struct relay_header {
    relay_kind kind{relay_kind::ask_owner};
    std::uint8_t hops{0};
    ip_address origin;  ///< entry VM that received the packet from the fabric
    upstream_id upstream{0};
    config_revision revision{0};  ///< of the sender

    friend bool operator==(const relay_header&, const relay_header&) = default;
};

/// Who sent a datagram to whom, and its place in the sender's sequence. Authenticated with the header, so a
/// datagram cannot be replayed to another entry VM.
struct relay_envelope {
    ip_address sender;
    ip_address receiver;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
};

/// 4 fixed bytes, origin 16, upstream 4, revision 8, incarnation 8, sequence 8, tag 16.
inline constexpr std::size_t relay_header_size = 64;

/// Encodes and signs the GUE extension for `inner`. Thread-safe.
[[nodiscard]] std::array<std::byte, relay_header_size> encode_relay(const relay_header& header,
                                                                    const relay_envelope& envelope,
                                                                    const fleet_keys& keys,
                                                                    std::span<const std::byte> inner);

/// Checks length, tag and replay, and decodes. Errors: `malformed`, `unauthenticated`, `replayed`.
/// Not thread-safe: `guard` is changed.
[[nodiscard]] result<relay_header> decode_relay(std::span<const std::byte> extension,
                                                const ip_address& sender, const ip_address& receiver,
                                                const fleet_keys& keys, replay_guard& guard,
                                                std::span<const std::byte> inner);

}  // namespace guavaramp
