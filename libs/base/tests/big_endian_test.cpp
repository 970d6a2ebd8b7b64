#include <guavaramp/base/big_endian.hpp>

#include <property.hpp>

#include <array>

namespace guavaramp {
namespace {

TEST_CASE("BigEndianTest.WritesAndReadsMostSignificantByteFirst") {
    std::array<std::byte, 6> bytes{};
    write_big_endian<std::uint32_t>(bytes, 1, 0x01020304);
    CHECK(bytes ==
          std::array{std::byte{0}, std::byte{1}, std::byte{2}, std::byte{3}, std::byte{4}, std::byte{0}});
    CHECK(read_big_endian<std::uint16_t>(bytes, 2) == 0x0203);
}

TEST_CASE("BigEndianTest.ReadReversesWrite") {
    check_property("round trip", [](std::uint64_t wide, std::uint16_t narrow) {
        std::array<std::byte, 10> bytes{};
        write_big_endian(std::span<std::byte>{bytes}, 0, wide);
        write_big_endian(std::span<std::byte>{bytes}, 8, narrow);
        RC_ASSERT(read_big_endian<std::uint64_t>(bytes, 0) == wide);
        RC_ASSERT(read_big_endian<std::uint16_t>(bytes, 8) == narrow);
    });
}

}  // namespace
}  // namespace guavaramp
