#include <guavaramp/auth/peer_datagram.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"fleet"}};
const endpoint sender{.address = from_ipv4(0x7f0a0101), .port = 7720};
const endpoint receiver{.address = from_ipv4(0x7f0a0102), .port = 7720};

std::vector<std::byte> seal(std::span<const std::byte> payload, std::uint64_t sequence = 1) {
    return seal_datagram(keys, {.sender = sender, .incarnation = 5, .sequence = sequence}, receiver, payload);
}

// Guards against a message that was changed on the way, or that takes effect a second time.
TEST_CASE("PeerDatagramTest.ASealedPayloadIsReadBackOnceAndNotAfterAnyChange") {
    check_property("seal and open", [](const std::vector<std::uint8_t>& values) {
        const auto payload = std::as_bytes(std::span{values});
        auto bytes = seal(payload);
        replay_guard guard;
        const auto opened = open_datagram(keys, guard, sender, receiver, bytes);
        RC_ASSERT(opened.has_value());
        RC_ASSERT(std::equal(opened->begin(), opened->end(), payload.begin(), payload.end()));
        RC_ASSERT(open_datagram(keys, guard, sender, receiver, bytes).error().kind == error_kind::replayed);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= std::byte{1};
        replay_guard other;
        RC_ASSERT(open_datagram(keys, other, sender, receiver, bytes).error().kind ==
                  error_kind::unauthenticated);
    });
}

// Guards against a datagram recorded on the way to one socket of a program that is sent to another.
TEST_CASE("PeerDatagramTest.ADatagramIsRefusedAtAnySocketButItsReceiversAndFromAnyOtherSender") {
    const auto bytes = seal({});
    auto other_port = receiver;
    other_port.port = 7721;
    replay_guard guard;
    CHECK_FALSE(open_datagram(keys, guard, sender, other_port, bytes).has_value());
    CHECK_FALSE(open_datagram(keys, guard, receiver, receiver, bytes).has_value());
    CHECK_FALSE(open_datagram({.keys = {"other"}}, guard, sender, receiver, bytes).has_value());
    CHECK(open_datagram(keys, guard, sender, receiver, bytes).has_value());
}

TEST_CASE("PeerDatagramTest.AnyBytesAreUnauthenticated") {
    check_property("opening is total", [](const std::vector<std::uint8_t>& values) {
        replay_guard guard;
        const auto opened = open_datagram(keys, guard, sender, receiver, std::as_bytes(std::span{values}));
        RC_ASSERT(opened.error().kind == error_kind::unauthenticated);
    });
}

}  // namespace
}  // namespace guavaramp
