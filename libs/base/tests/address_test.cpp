#include <guavaramp/base/address.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

// Guards against printing an address, in settings or answers, in a form that the parser does not accept.
TEST_CASE("AddressTest.ParseEndpointReversesToString") {
    check_property("parse(to_string(e)) == e", [](bool ipv4, std::uint16_t port) {
        endpoint value{.address = from_ipv4(*rc::gen::arbitrary<std::uint32_t>()), .port = port};
        if (!ipv4) {
            for (auto& byte : value.address.bytes) {
                byte = *rc::gen::arbitrary<std::uint8_t>();
            }
        }
        const auto parsed = parse_endpoint(to_string(value));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(*parsed == value);
    });
}

// Guards against accepting host names, missing or invalid ports, unbalanced brackets and trailing text.
TEST_CASE("AddressTest.ParseEndpointFailsWhenTextIsMalformed") {
    for (const auto* text : {"", "host:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999", "10.0.0.1:80x", ":80",
                             "::1:80", "[::1:80", "10.0.0:80"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint(text).has_value());
    }
}

}  // namespace
}  // namespace guavaramp
