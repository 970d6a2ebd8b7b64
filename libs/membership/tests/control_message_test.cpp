#include <guavaramp/membership/control_message.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"fleet-key"}};
const ip_address sender = from_ipv4(0x7f0a0101);
const ip_address receiver = from_ipv4(0x7f0a0102);

member make_member(const std::string& domain, const std::string& region) {
    return {.address = sender,
            .failure_domain = domain,
            .region = region,
            .incarnation = 1'796'000'000'000,
            .state = member_state::suspect,
            .revision = config_revision{1'000'000}};
}

control_message full_message() {
    control_message message{.kind = message_kind::ping_request,
                            .number = 7,
                            .subject = receiver,
                            .sender = make_member("failure-domain-1", "region-of-16-byt")};
    message.updates.assign(max_updates, message.sender);
    message.updates.back().address = *parse_ip_address("2001:db8::1");
    return message;
}

std::vector<std::byte> sealed(std::uint64_t sequence) {
    return seal_datagram(keys,
                         {.sender = sender, .receiver = receiver, .incarnation = 5, .sequence = sequence},
                         encode_message(full_message()));
}

// Guards against a field that is lost on the way and against messages above the datagram limit.
TEST_CASE("ControlMessageTest.FullMessageFitsADatagramAndRoundTrips") {
    replay_guard guard;
    const auto datagram = sealed(1);
    CHECK(datagram.size() <= max_control_datagram);
    const auto payload = open_datagram(keys, guard, sender, receiver, datagram);
    REQUIRE(payload.has_value());
    const auto decoded = decode_message(*payload);
    REQUIRE(decoded.has_value());
    CHECK(*decoded == full_message());
}

// Guards against acting on a recorded datagram, also when it is sent on to another member.
TEST_CASE("ControlMessageTest.RepeatedOrRedirectedDatagramIsRefused") {
    replay_guard guard;
    const auto datagram = sealed(1);
    REQUIRE(open_datagram(keys, guard, sender, receiver, datagram).has_value());
    CHECK(open_datagram(keys, guard, sender, receiver, datagram).error().kind == error_kind::replayed);
    CHECK(open_datagram(keys, guard, sender, sender, datagram).error().kind == error_kind::unauthenticated);
    CHECK(open_datagram(keys, guard, receiver, receiver, datagram).error().kind ==
          error_kind::unauthenticated);
}

// Guards against accepting a datagram that was damaged anywhere or cut short.
TEST_CASE("ControlMessageTest.DamagedDatagramIsRefused") {
    check_property("damage", [](std::uint16_t position, std::uint8_t change, bool cut) {
        replay_guard guard;
        auto datagram = sealed(1);
        const std::size_t index = position % datagram.size();
        if (cut) {
            datagram.resize(index);
        } else {
            datagram[index] ^= static_cast<std::byte>(change | 1U);
        }
        RC_ASSERT_FALSE(open_datagram(keys, guard, sender, receiver, datagram).has_value());
    });
}

// Guards against an exception or a crash of the control thread on bytes that are not a message; a key
// holder's faulty version may send them with a valid tag.
TEST_CASE("ControlMessageTest.RandomAndDamagedPayloadsAreMalformedOrDecode") {
    check_property("random", [](const std::vector<std::uint8_t>& bytes) {
        const auto decoded = decode_message(std::as_bytes(std::span{bytes}));
        RC_ASSERT(decoded.has_value() || decoded.error().kind == error_kind::malformed);
    });
    check_property("damaged", [](std::uint16_t position, std::uint8_t value) {
        auto payload = encode_message(full_message());
        payload[position % payload.size()] = static_cast<std::byte>(value);
        const auto decoded = decode_message(payload);
        RC_ASSERT(decoded.has_value() || decoded.error().kind == error_kind::malformed);
    });
}

// Guards against an exception that ends the control thread: guavaramp-fuzz (target control, seed 20261204)
// found that an array length near 2^64 makes the CBOR library throw although it was told not to.
TEST_CASE("ControlMessageTest.AnArrayLengthBeyondTheMaximumIsMalformed") {
    const std::vector<std::uint8_t> bytes{0x9b, 0x9b, 0x9b, 0x9b, 0x9b, 0x9b, 0x9b, 0x9b, 0x9b};
    const auto decoded = decode_message(std::as_bytes(std::span{bytes}));
    REQUIRE_FALSE(decoded.has_value());
    CHECK(decoded.error().kind == error_kind::malformed);
}

}  // namespace
}  // namespace guavaramp
