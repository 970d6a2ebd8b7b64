#include <guavaramp/flow/relay.hpp>

#include <property.hpp>

#include <vector>

namespace guavaramp {
namespace {

const fleet_keys keys{.keys = {"current", "previous"}};
const ip_address sender = from_ipv4(0x7f0a0101);
const ip_address receiver = from_ipv4(0x7f0a0102);

relay_envelope envelope(std::uint64_t sequence) {
    return {.sender = sender, .receiver = receiver, .incarnation = 7, .sequence = sequence};
}

// Guards against fields that are written and read at different offsets, and against accepting a replayed
// datagram.
TEST_CASE("RelayTest.DecodesEncodedHeaderAndRejectsReplay") {
    check_property("decode(encode(h)) == h",
                   [](std::uint32_t upstream, std::uint64_t revision, std::uint8_t hops) {
                       const relay_header header{.kind = relay_kind::answer,
                                                 .hops = hops,
                                                 .origin = from_ipv4(upstream),
                                                 .upstream = upstream_id{upstream},
                                                 .revision = config_revision{revision}};
                       const std::vector<std::byte> inner(40, std::byte{hops});
                       const auto bytes = encode_relay(header, envelope(9), keys, inner);
                       replay_guard guard;
                       const auto decoded = decode_relay(bytes, sender, receiver, keys, guard, inner);
                       RC_ASSERT(decoded.has_value());
                       RC_ASSERT(*decoded == header);
                       const auto again = decode_relay(bytes, sender, receiver, keys, guard, inner);
                       RC_ASSERT(!again);
                       RC_ASSERT(again.error().kind == error_kind::replayed);
                   });
}

// Guards against accepting a datagram with any changed bit, from another sender or for another receiver.
TEST_CASE("RelayTest.RejectsChangedOrMisdirectedDatagram") {
    check_property("tampering", [](std::uint8_t position, std::uint8_t bit) {
        std::vector<std::byte> inner(40);
        auto bytes = encode_relay({}, envelope(1), keys, inner);
        const auto offset = position % (bytes.size() + inner.size());
        auto& changed = offset < bytes.size() ? bytes[offset] : inner[offset - bytes.size()];
        changed ^= std::byte{1} << (bit % 8);
        replay_guard guard;
        RC_ASSERT(!decode_relay(bytes, sender, receiver, keys, guard, inner));
    });
    const std::vector<std::byte> inner(40);
    const auto bytes = encode_relay({}, envelope(1), keys, inner);
    replay_guard guard;
    CHECK(!decode_relay(bytes, sender, sender, keys, guard, inner));
    CHECK(!decode_relay(bytes, receiver, receiver, keys, guard, inner));
}

}  // namespace
}  // namespace guavaramp
