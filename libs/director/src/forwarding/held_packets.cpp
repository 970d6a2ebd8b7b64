#include <guavaramp/director/held_packets.hpp>

#include <utility>

namespace guavaramp {
namespace {

void drop_oldest(held_packets& held) {
    held.bytes -= held.packets.front().bytes.size();
    held.packets.pop_front();
}

std::size_t drop_expired(held_packets& held, mono_time now) {
    std::size_t dropped = 0;
    while (!held.packets.empty() && now - held.packets.front().arrived_at > max_hold_time) {
        drop_oldest(held);
        ++dropped;
    }
    return dropped;
}

}  // namespace

std::size_t hold_packet(held_packets& held, std::span<const std::byte> packet, mono_time now) {
    std::size_t dropped = drop_expired(held, now);
    while (!held.packets.empty() && held.bytes + packet.size() > max_held_bytes) {
        drop_oldest(held);
        ++dropped;
    }
    held.bytes += packet.size();
    held.packets.push_back({.arrived_at = now, .bytes = {packet.begin(), packet.end()}});
    return dropped;
}

std::deque<held_packet> take_held_packets(held_packets& held, mono_time now) {
    (void)drop_expired(held, now);
    held.bytes = 0;
    return std::exchange(held.packets, {});
}

}  // namespace guavaramp
