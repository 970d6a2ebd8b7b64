#pragma once

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/membership/member.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace guavaramp {

enum class message_kind : std::uint8_t {
    ping,          ///< asks for an ack with the same number
    ack,           ///< answers a ping, or relays the answer to a ping request
    ping_request,  ///< asks the receiver to ping `subject` and to relay the ack
    push,          ///< news of members or of a configuration revision, without an answer
    sync_request,  ///< asks for the whole member list
    sync           ///< a part of the whole member list; its news are not passed on
};

inline constexpr std::size_t message_kinds = 6;

/// Text form, used as a counter's label. Thread-safe.
[[nodiscard]] const char* to_string(message_kind kind) noexcept;

/// A control message between entry VMs. Each one carries the sender's own member record, which holds the
/// configuration revision that the sender has in force.
struct control_message {
    message_kind kind{message_kind::ping};
    std::uint64_t number{0};  ///< pairs an ack with its ping or ping request
    ip_address subject;       ///< whom the ping request, or the ack that answers it, is about
    member sender;
    std::vector<member> updates;

    friend bool operator==(const control_message&, const control_message&) = default;
};

/// Largest control datagram in bytes, below every path MTU of the entry VMs' network.
inline constexpr std::size_t max_control_datagram = 1200;

/// Largest number of updates in one message; with failure domain and region names of up to 16 bytes each,
/// a message stays below `max_control_datagram`.
inline constexpr std::size_t max_updates = 14;

/// Encodes a message in CBOR (RFC 8949). Thread-safe.
[[nodiscard]] std::vector<std::byte> encode_message(const control_message& message);

/// Inverse of `encode_message`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<control_message> decode_message(std::span<const std::byte> bytes);

/// What a tag covers besides the payload. The addresses are not sent: a datagram that is sent again from or
/// to another address fails the check.
struct seal_header {
    ip_address sender;
    ip_address receiver;
    std::uint64_t incarnation{0};  ///< start time of the sending process in Unix milliseconds
    std::uint64_t sequence{0};     ///< grows with each datagram of the process
};

/// Datagram layout: incarnation and sequence (8 bytes each, big-endian), payload, 16-byte tag. Precondition:
/// `keys` is not empty. Thread-safe.
[[nodiscard]] std::vector<std::byte> seal_datagram(const fleet_keys& keys, const seal_header& header,
                                                   std::span<const std::byte> payload);

/// Checks tag and replay and returns the payload, a view into `datagram`. Errors: `malformed` (wrong size),
/// `unauthenticated`, `replayed`. Not thread-safe, because of `guard`.
[[nodiscard]] result<std::span<const std::byte>> open_datagram(const fleet_keys& keys, replay_guard& guard,
                                                               const ip_address& sender,
                                                               const ip_address& receiver,
                                                               std::span<const std::byte> datagram);

}  // namespace guavaramp
