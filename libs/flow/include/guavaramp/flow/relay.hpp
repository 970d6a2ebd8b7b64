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

/// Kinds of relay messages between entry VMs on the data path. Each message carries an inner packet of its
/// flow.
enum class relay_kind : std::uint8_t {
    ask_owner = 1,  ///< from the origin to the owner, with the caller's packet
    answer,         ///< from the owner to the origin: returns the packet and names its upstream
    ask_peer,       ///< from the owner to a possible previous owner, with the caller's packet
    known,  ///< from the previous owner to the owner, in reply to `ask_peer`: returns the packet and names
            ///< its upstream
    not_known,  ///< in reply to `ask_peer`: returns the packet of a flow that the sender does not know
    hand_over   ///< planned stop of the sender: the receiver owns the flow from now on
};

/// Fields of the relay header, without those for authentication and replay protection.
struct relay_header {
    relay_kind kind{relay_kind::ask_owner};
    std::uint8_t hops{0};  ///< how often `ask_owner` was forwarded to another owner
    ip_address origin;     ///< entry VM that received the packet from the network fabric
    upstream_id upstream{0};
    config_revision revision{0};  ///< configuration revision of the sender

    friend bool operator==(const relay_header&, const relay_header&) = default;
};

/// Sender, receiver and sequence number of a relay datagram. They are authenticated together with the header,
/// so a datagram cannot be replayed to another entry VM.
struct relay_envelope {
    ip_address sender;
    ip_address receiver;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
};

/// Size of the relay header in bytes: kind, hops and 2 unused bytes (4), origin 16, upstream 4, revision 8,
/// incarnation 8, sequence 8, authentication tag 16.
inline constexpr std::size_t relay_header_size = 64;

/// Returns the GUE extension that carries `header`, authenticated together with `envelope` and `inner`.
/// Thread-safe.
[[nodiscard]] std::array<std::byte, relay_header_size> encode_relay(const relay_header& header,
                                                                    const relay_envelope& envelope,
                                                                    const fleet_keys& keys,
                                                                    std::span<const std::byte> inner);

/// Checks the length, the authentication tag and the sequence number of a GUE extension and decodes it.
/// Errors: `malformed`, `unauthenticated`, `replayed`. Not thread-safe: `guard` is changed.
[[nodiscard]] result<relay_header> decode_relay(std::span<const std::byte> extension,
                                                const ip_address& sender, const ip_address& receiver,
                                                const fleet_keys& keys, replay_guard& guard,
                                                std::span<const std::byte> inner);

}  // namespace guavaramp
