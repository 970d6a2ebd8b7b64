#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>
#include <guavaramp/director/flow_packet.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace guavaramp {

/// What directors of one failure domain tell each other. Each of them sees only its share of an upstream's
/// flows; in a large fleet that is too little to tell a stalled host from a quiet one in time. Notes are sent
/// only about upstreams that somebody suspects, so that there is no traffic while all is well.

/// Another director.
struct director_peer {
    endpoint address;  ///< takes notes about upstreams
    endpoint news;     ///< takes news of the store
    endpoint admin;    ///< HTTP
    std::string failure_domain;

    friend bool operator==(const director_peer&, const director_peer&) = default;
};

enum class host_note_kind : std::uint8_t {
    overdue,      ///< a request is overdue; `age_ms` ago it was sent
    answered,     ///< a flow of the host was answered `age_ms` ago, as a reply to `overdue`
    cleared,      ///< the same, passed on to everybody by the director that got the reply
    unreachable,  ///< a probe has just failed
    trial         ///< a flow tries a host that had stalled
};

inline constexpr std::size_t host_note_kinds = 5;

/// One observation about an upstream.
struct host_note {
    host_note_kind kind{host_note_kind::overdue};
    steering_tag tag{no_tag};
    std::uint32_t age_ms{0};

    friend bool operator==(const host_note&, const host_note&) = default;
};

/// Most notes of one message; with them it stays below the path MTU.
inline constexpr std::size_t most_notes = 64;

/// CBOR form of notes, without authentication. Precondition: at most `most_notes` notes. Thread-safe.
[[nodiscard]] std::vector<std::uint8_t> encode_notes(std::span<const host_note> notes);

/// Inverse of `encode_notes`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<std::vector<host_note>> decode_notes(std::span<const std::byte> bytes);

}  // namespace guavaramp
