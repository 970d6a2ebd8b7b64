#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace guavaramp {

/// Both ends of a flow as a caller's packet names them. IPv4 addresses and ports in host byte order.
struct flow_tuple {
    std::uint32_t caller_address{0};
    std::uint32_t service_address{0};
    std::uint16_t caller_port{0};
    std::uint16_t service_port{0};

    friend auto operator<=>(const flow_tuple&, const flow_tuple&) = default;
};

/// Hash of a flow, equal in all processes. Thread-safe.
[[nodiscard]] std::uint64_t hash_of(const flow_tuple& flow) noexcept;

/// "a.b.c.d:port>a.b.c.d:port", caller first: the flow's name in log lines. Thread-safe.
[[nodiscard]] std::string to_string(const flow_tuple& flow);

/// A word that the director writes into a packet and that the host and the caller send back in every later
/// packet of the flow. 0 means that no director has written one.
enum class steering_tag : std::uint32_t {};

inline constexpr steering_tag no_tag{0};

/// The parts of a caller's packet that decide where it goes. The payload is opaque and stays in its buffer.
struct flow_packet {
    flow_tuple flow;
    std::uint32_t sequence{0};
    std::uint32_t acknowledgement{0};  ///< of an opening packet: how many copies were sent before it
    steering_tag tag{no_tag};
    std::uint16_t payload_bytes{0};
    bool opens{false};  ///< SYN
    bool acknowledges{false};
    bool closes{false};     ///< FIN
    bool aborts{false};     ///< RST
    bool passed_on{false};  ///< came from another director and not from the routers

    friend bool operator==(const flow_packet&, const flow_packet&) = default;
};

}  // namespace guavaramp

template <>
struct std::hash<guavaramp::flow_tuple> {
    std::size_t operator()(const guavaramp::flow_tuple& flow) const noexcept {
        return static_cast<std::size_t>(guavaramp::hash_of(flow));
    }
};
