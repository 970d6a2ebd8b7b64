#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace guavaramp {

/// Packets that reach a director before it has read the configuration and the listing. After a power loss of
/// the whole fleet all callers retransmit at once, while every director takes some 20 to 50 ms to read the
/// store. A packet that is dropped then is retransmitted only after 0.8 or 1.6 s.

/// Longest time that a packet is held. It equals the longest pause between two retransmissions of callers, so
/// the caller has sent an older packet again.
inline constexpr auto max_hold_time = std::chrono::milliseconds{1600};
/// Limit of the memory for held packets: one and a half times what arrives in a second at a director of a
/// fleet of the design size (170 packets of 1.2 KB). It is well below 4% (2.4 MB) of the smallest memory
/// limit of a process, 60 MB.
inline constexpr std::size_t max_held_bytes = 320U << 10U;

struct held_packet {
    mono_time arrived_at{};
    std::vector<std::byte> bytes;
};

/// The held packets in the order of their arrival. Not thread-safe: one thread owns it.
struct held_packets {
    std::deque<held_packet> packets;
    std::size_t bytes{0};  ///< sum of the packets' sizes
};

/// Stores a copy of a packet. Drops expired packets, and the oldest others if the memory limit requires it:
/// their callers retransmit sooner. Returns the number of dropped packets. Not thread-safe.
[[nodiscard]] std::size_t hold_packet(held_packets& held, std::span<const std::byte> packet, mono_time now);

/// Removes all packets and returns those that have waited for at most `max_hold_time`. Not thread-safe.
[[nodiscard]] std::deque<held_packet> take_held_packets(held_packets& held, mono_time now);

}  // namespace guavaramp
