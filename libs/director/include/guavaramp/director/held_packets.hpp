#pragma once

#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <span>
#include <vector>

namespace guavaramp {

/// Packets that reach a director before it knows the configuration and the listing. After the whole fleet has
/// lost power all callers repeat at once, while every director takes some 20 to 50 ms to read the store; a
/// packet that is dropped then comes again only after 0.8 or 1.6 s.

/// How long a packet may wait: the longest pause between two repeats of callers. By then the caller has sent
/// it again.
inline constexpr auto longest_hold = std::chrono::milliseconds{1600};
/// Memory for waiting packets: 4% of the least that a process may use, 60 MB, would be 2.4 MB; this is what
/// arrives at a daemon of the design size in a second (170 packets of 1.2 KB) and half as much again.
inline constexpr std::size_t most_held_bytes = 320U << 10U;

/// A packet with the time of its arrival.
struct held_packet {
    mono_time arrived_at{};
    std::vector<std::byte> bytes;
};

/// Packets in the order of their arrival. Not thread-safe: one thread owns it.
struct held_packets {
    std::deque<held_packet> packets;
    std::size_t bytes{0};
};

/// Keeps a copy of a packet. Older ones make room for it: their callers repeat them sooner. Returns how many
/// were dropped. Not thread-safe.
[[nodiscard]] std::size_t hold_packet(held_packets& held, std::span<const std::byte> packet, mono_time now);

/// Takes all packets out that have not waited too long. Not thread-safe.
[[nodiscard]] std::deque<held_packet> take_held(held_packets& held, mono_time now);

}  // namespace guavaramp
