#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace guavaramp {

/// Both ends of a flow as a caller's packet names them. IPv4 addresses and ports are in host byte order.
struct flow_tuple {
    std::uint32_t caller_address{0};
    std::uint32_t service_address{0};
    std::uint16_t caller_port{0};
    std::uint16_t service_port{0};

    friend auto operator<=>(const flow_tuple&, const flow_tuple&) = default;
};

/// Returns the hash of a flow, which is the same in all processes. Thread-safe.
[[nodiscard]] std::uint64_t hash_of(const flow_tuple& flow) noexcept;

/// Returns the flow's name for log lines: "a.b.c.d:port>a.b.c.d:port", with the caller first. Thread-safe.
[[nodiscard]] std::string to_string(const flow_tuple& flow);

/// A 32-bit number that names an upstream. The director writes it into a packet, and the host and the caller
/// send it back in every later packet of the flow. 0 means that no director has written one.
enum class steering_tag : std::uint32_t {};

inline constexpr steering_tag no_tag{0};

/// The header fields of a caller's packet that decide where it is forwarded. The payload is opaque and stays
/// in its buffer.
struct flow_packet {
    flow_tuple flow;
    std::uint32_t sequence{0};
    /// Acknowledgement number; in an opening packet the number of copies that the caller sent before it.
    std::uint32_t acknowledgement{0};
    steering_tag tag{no_tag};
    std::uint16_t payload_bytes{0};
    bool is_syn{false};
    bool is_ack{false};
    bool is_fin{false};
    bool is_rst{false};
    bool is_passed_on{false};  ///< the packet came from another director and not from the routers

    friend bool operator==(const flow_packet&, const flow_packet&) = default;
};

}  // namespace guavaramp

template <>
struct std::hash<guavaramp::flow_tuple> {
    std::size_t operator()(const guavaramp::flow_tuple& flow) const noexcept {
        return static_cast<std::size_t>(guavaramp::hash_of(flow));
    }
};
