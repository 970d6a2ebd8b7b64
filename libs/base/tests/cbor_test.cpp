#include <guavaramp/base/cbor.hpp>

#include <doctest/doctest.h>

#include <array>
#include <vector>

namespace guavaramp {
namespace {

std::vector<std::byte> bytes_of(std::initializer_list<unsigned> values) {
    std::vector<std::byte> bytes;
    for (const auto value : values) {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

TEST_CASE("CborTest.ReturnsTheEncodedValue") {
    const auto encoded = nlohmann::json::to_cbor({1, "two", nullptr});
    CHECK(parse_cbor(std::as_bytes(std::span{encoded})) == nlohmann::json{1, "two", nullptr});
}

// Guards against a datagram of nine bytes whose map announces more elements than any container can have: the
// library throws out_of_range for it, which ended the handler of the whole batch of datagrams.
TEST_CASE("CborTest.DiscardsAnAnnouncedSizeThatNoContainerCanHave") {
    CHECK(parse_cbor(bytes_of({0xbb, 0x03, 0x33, 0x33, 0x33, 0x34, 0, 0, 0})).is_discarded());
    CHECK(parse_cbor(bytes_of({0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xfe})).is_discarded());
}

// Guards against the end of the process by a stack overflow: the library recurses once for each nested array.
TEST_CASE("CborTest.DiscardsDeeplyNestedArrays") {
    const auto nested = [](std::size_t depth) {
        std::vector<std::byte> bytes(depth, std::byte{0x81});
        bytes.push_back(std::byte{0x01});
        return bytes;
    };
    CHECK_FALSE(parse_cbor(nested(max_cbor_depth)).is_discarded());
    CHECK(parse_cbor(nested(max_cbor_depth + 1)).is_discarded());
    CHECK(parse_cbor(nested(1'000'000)).is_discarded());
    std::vector<std::byte> maps;
    for (std::size_t depth = 0; depth < 1'000'000; ++depth) {
        maps.insert(maps.end(), {std::byte{0xa1}, std::byte{0x60}});
    }
    CHECK(parse_cbor(maps).is_discarded());
}

TEST_CASE("CborTest.DiscardsTruncatedInputAndTrailingBytes") {
    CHECK(parse_cbor({}).is_discarded());
    CHECK(parse_cbor(bytes_of({0x82, 0x01})).is_discarded());
    CHECK(parse_cbor(bytes_of({0x01, 0x01})).is_discarded());
}

}  // namespace
}  // namespace guavaramp
