#include <guavaramp/auth/peer_datagram.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"fleet"}};
const endpoint sender{.address = from_ipv4(0x7f0a0101), .port = 7720};
const endpoint receiver{.address = from_ipv4(0x7f0a0102), .port = 7720};

std::vector<std::byte> make_signed_datagram(std::span<const std::byte> payload, std::uint64_t sequence = 1) {
    return sign_datagram(keys, {.sender = sender, .incarnation = 5, .sequence = sequence}, receiver, payload);
}

// Guards against accepting a datagram that was changed on the way, or accepting a datagram twice.
TEST_CASE("PeerDatagramTest.VerifiesSignedDatagramOnceAndRejectsItWhenChanged") {
    check_property("seal and open", [](const std::vector<std::uint8_t>& values) {
        const auto payload = std::as_bytes(std::span{values});
        auto bytes = make_signed_datagram(payload);
        replay_guard guard;
        const auto verified = verify_datagram(keys, guard, sender, receiver, bytes);
        RC_ASSERT(verified.has_value());
        RC_ASSERT(std::equal(verified->begin(), verified->end(), payload.begin(), payload.end()));
        RC_ASSERT(verify_datagram(keys, guard, sender, receiver, bytes).error().kind == error_kind::replayed);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] ^= std::byte{1};
        replay_guard other_guard;
        RC_ASSERT(verify_datagram(keys, other_guard, sender, receiver, bytes).error().kind ==
                  error_kind::unauthenticated);
    });
}

// Guards against accepting a datagram that was recorded on its way to one socket of a program and replayed to
// another socket.
TEST_CASE("PeerDatagramTest.RejectsDatagramAtOtherReceiverFromOtherSenderOrWithOtherKey") {
    const auto bytes = make_signed_datagram({});
    auto other_port = receiver;
    other_port.port = 7721;
    replay_guard guard;
    CHECK_FALSE(verify_datagram(keys, guard, sender, other_port, bytes).has_value());
    CHECK_FALSE(verify_datagram(keys, guard, receiver, receiver, bytes).has_value());
    CHECK_FALSE(verify_datagram({.keys = {"other"}}, guard, sender, receiver, bytes).has_value());
    CHECK(verify_datagram(keys, guard, sender, receiver, bytes).has_value());
}

TEST_CASE("PeerDatagramTest.RejectsArbitraryBytesAsUnauthenticated") {
    check_property("opening is total", [](const std::vector<std::uint8_t>& values) {
        replay_guard guard;
        const auto verified =
            verify_datagram(keys, guard, sender, receiver, std::as_bytes(std::span{values}));
        RC_ASSERT(verified.error().kind == error_kind::unauthenticated);
    });
}

}  // namespace
}  // namespace guavaramp
