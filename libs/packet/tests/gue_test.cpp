#include <guavaramp/packet/gue.hpp>

#include <property.hpp>

#include <array>
#include <vector>

namespace guavaramp {
namespace {

std::vector<std::byte> to_bytes(const std::vector<std::uint8_t>& values) {
    std::vector<std::byte> bytes;
    for (const auto value : values) {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

// Guards against an encoder and a decoder that disagree on where the extension ends.
TEST_CASE("GueTest.DecodeReversesEncode") {
    check_property("decode(encode(p)) == p", [](const std::vector<std::uint8_t>& inner_values) {
        const auto words = *rc::gen::inRange<std::size_t>(0, 32);
        const auto extension = to_bytes(std::vector<std::uint8_t>(words * 4, 0xa5));
        const auto inner = to_bytes(inner_values);
        std::vector<std::byte> datagram(gue_base_header_size + extension.size() + inner.size());
        const auto size =
            encode_gue({.protocol = ip_protocol_ipv4, .extension = extension, .inner = inner}, datagram);
        RC_ASSERT(size == datagram.size());
        const auto decoded = decode_gue(datagram);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(std::equal(decoded->inner.begin(), decoded->inner.end(), inner.begin(), inner.end()));
        RC_ASSERT(decoded->extension.size() == extension.size());
    });
}

// Guards against reads past the end of hostile datagrams; the sanitizer build turns such a read into a
// failure.
TEST_CASE("GueTest.DecodeStaysInsideDatagramWhenBytesAreRandom") {
    check_property("spans lie inside the datagram", [](const std::vector<std::uint8_t>& values) {
        const auto datagram = to_bytes(values);
        const auto decoded = decode_gue(datagram);
        if (decoded) {
            RC_ASSERT(gue_base_header_size + decoded->extension.size() + decoded->inner.size() ==
                      datagram.size());
        }
    });
}

// Guards against treating as a data packet a datagram that has another variant, the control bit, a flag, an
// inner protocol other than IP, or a truncated extension.
TEST_CASE("GueTest.DecodeFailsWhenHeaderIsUnsupportedOrTruncated") {
    CHECK_FALSE(decode_gue(to_bytes({0x40, 4, 0, 0})).has_value());
    CHECK_FALSE(decode_gue(to_bytes({0x20, 4, 0, 0})).has_value());
    CHECK_FALSE(decode_gue(to_bytes({0x00, 4, 0x80, 0})).has_value());
    CHECK_FALSE(decode_gue(to_bytes({0x00, 6, 0, 0})).has_value());
    CHECK_FALSE(decode_gue(to_bytes({0x01, 4, 0, 0})).has_value());
}

}  // namespace
}  // namespace guavaramp
