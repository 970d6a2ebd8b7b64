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

/// Other directors of a failure domain, and the observations about upstreams that directors exchange. Each
/// director sees only its share of an upstream's flows; in a large fleet that is too little to tell a stalled
/// host from an idle one in time. Observations are sent only about upstreams that some director suspects, so
/// that there is no traffic while all upstreams are healthy.

/// Another director.
struct director_peer {
    endpoint observation_address;  ///< receives observations about upstreams, UDP
    endpoint update_address;       ///< receives updates of the store's contents, UDP
    endpoint admin_address;        ///< HTTP
    std::string failure_domain;

    friend bool operator==(const director_peer&, const director_peer&) = default;
};

enum class host_observation_kind : std::uint8_t {
    overdue,   ///< the answer to a request that was sent `age_ms` ago is overdue
    answered,  ///< the host answered a flow `age_ms` ago; reply to `overdue`
    cleared,  ///< the host answered a flow `age_ms` ago; sent to all after `answered`, or when a stalled host
              ///< answers
    unreachable,  ///< a probe of the host has just failed
    trial         ///< a flow was placed on a host that had stalled, to test it (half-open)
};

inline constexpr std::size_t host_observation_kind_count = 5;

/// One observation about an upstream.
struct host_observation {
    host_observation_kind kind{host_observation_kind::overdue};
    steering_tag tag{no_tag};
    std::uint32_t age_ms{0};

    friend bool operator==(const host_observation&, const host_observation&) = default;
};

/// Observations of one message at most. With that many it stays below the path MTU.
inline constexpr std::size_t max_observations_per_message = 64;

/// Returns the CBOR form of `observations`, without authentication. Precondition: at most
/// `max_observations_per_message` observations. Thread-safe.
[[nodiscard]] std::vector<std::uint8_t> encode_observations(std::span<const host_observation> observations);

/// Returns the observations whose CBOR form is `bytes`. Errors: `malformed`. Thread-safe.
[[nodiscard]] result<std::vector<host_observation>> decode_observations(std::span<const std::byte> bytes);

}  // namespace guavaramp
