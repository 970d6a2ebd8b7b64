#include "director_fixture.hpp"

#include <guavaramp/director/held_packets.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

std::vector<std::byte> packet_of(std::size_t size, std::uint8_t mark) {
    return std::vector(size, std::byte{mark});
}

TEST_CASE("HeldPacketsTest.ReturnsPacketsInTheOrderOfTheirArrival") {
    held_packets held;
    for (std::uint8_t mark = 1; mark <= 3; ++mark) {
        CHECK(hold_packet(held, packet_of(34, mark), at_ms(mark)) == 0);
    }
    const auto taken = take_held_packets(held, at_ms(40));
    REQUIRE(taken.size() == 3);
    CHECK(taken.front().bytes == packet_of(34, 1));
    CHECK(taken.back().bytes == packet_of(34, 3));
    CHECK(take_held_packets(held, at_ms(41)).empty());
}

// Guards against forwarding packets that their callers have already retransmitted.
TEST_CASE("HeldPacketsTest.DropsAPacketAfterMaxHoldTime") {
    held_packets held;
    (void)hold_packet(held, packet_of(34, 1), at_ms(0));
    (void)hold_packet(held, packet_of(34, 2), at_ms(1000));
    const auto taken = take_held_packets(held, at_ms(0) + max_hold_time + milliseconds{1});
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().bytes == packet_of(34, 2));
}

// Guards against a director that exceeds its memory limit while it has no configuration, so that the platform
// kills it.
TEST_CASE("HeldPacketsTest.BoundsItsMemory") {
    check_property("bytes are counted and bounded", [](const std::vector<std::uint16_t>& sizes) {
        held_packets held;
        std::int64_t now_ms = 0;
        std::size_t dropped = 0;
        std::size_t held_count = 0;
        for (int round = 0; round < 20; ++round) {
            for (const auto size : sizes) {
                dropped += hold_packet(held, packet_of(34 + size % 1200U, 0), at_ms(now_ms));
                now_ms += size % 3;
                ++held_count;
                std::size_t bytes = 0;
                for (const auto& packet : held.packets) {
                    bytes += packet.bytes.size();
                }
                RC_ASSERT(bytes == held.bytes);
                RC_ASSERT(bytes <= max_held_bytes);
            }
        }
        RC_ASSERT(held.packets.size() + dropped == held_count);
    });
}

}  // namespace
}  // namespace guavaramp
