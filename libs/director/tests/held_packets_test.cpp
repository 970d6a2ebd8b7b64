#include "director_fixture.hpp"

#include <guavaramp/director/held_packets.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

std::vector<std::byte> packet_of(std::size_t size, std::uint8_t mark) {
    return std::vector(size, std::byte{mark});
}

TEST_CASE("HeldPacketsTest.PacketsComeOutInTheOrderOfTheirArrival") {
    held_packets held;
    for (std::uint8_t mark = 1; mark <= 3; ++mark) {
        CHECK(hold_packet(held, packet_of(34, mark), at_ms(mark)) == 0);
    }
    const auto taken = take_held(held, at_ms(40));
    REQUIRE(taken.size() == 3);
    CHECK(taken.front().bytes == packet_of(34, 1));
    CHECK(taken.back().bytes == packet_of(34, 3));
    CHECK(take_held(held, at_ms(41)).empty());
}

// Guards against answering what a caller has long sent again.
TEST_CASE("HeldPacketsTest.APacketThatHasWaitedTooLongIsDropped") {
    held_packets held;
    (void)hold_packet(held, packet_of(34, 1), at_ms(0));
    (void)hold_packet(held, packet_of(34, 2), at_ms(1000));
    const auto taken = take_held(held, at_ms(0) + longest_hold + milliseconds{1});
    REQUIRE(taken.size() == 1);
    CHECK(taken.front().bytes == packet_of(34, 2));
}

// Guards against a director without a configuration that grows until the platform ends it.
TEST_CASE("HeldPacketsTest.TheMemoryIsBoundedAndTheOldestPacketsGoFirst") {
    check_property("bytes are counted and bounded", [](const std::vector<std::uint16_t>& sizes) {
        held_packets held;
        std::int64_t now_ms = 0;
        std::size_t dropped = 0;
        std::size_t given = 0;
        for (int round = 0; round < 20; ++round) {
            for (const auto size : sizes) {
                dropped += hold_packet(held, packet_of(34 + size % 1200U, 0), at_ms(now_ms));
                now_ms += size % 3;
                ++given;
                std::size_t bytes = 0;
                for (const auto& packet : held.packets) {
                    bytes += packet.bytes.size();
                }
                RC_ASSERT(bytes == held.bytes);
                RC_ASSERT(bytes <= most_held_bytes);
            }
        }
        RC_ASSERT(held.packets.size() + dropped == given);
    });
}

}  // namespace
}  // namespace guavaramp
