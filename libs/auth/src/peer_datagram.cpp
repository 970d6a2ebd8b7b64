#include <guavaramp/auth/peer_datagram.hpp>
#include <guavaramp/base/big_endian.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

constexpr std::size_t incarnation_offset = authentication_tag_size;
constexpr std::size_t sequence_offset = incarnation_offset + sizeof(std::uint64_t);
constexpr std::size_t endpoint_size = sizeof(ip_address::bytes) + sizeof(std::uint16_t);

std::array<std::byte, endpoint_size> to_bytes(const endpoint& value) noexcept {
    std::array<std::byte, endpoint_size> bytes{};
    std::ranges::copy(std::as_bytes(std::span{value.address.bytes}), bytes.begin());
    write_big_endian(std::span{bytes}, sizeof(ip_address::bytes), value.port);
    return bytes;
}

}  // namespace

std::uint64_t unverified_incarnation(std::span<const std::byte> bytes) noexcept {
    return read_big_endian<std::uint64_t>(bytes, incarnation_offset);
}

std::vector<std::byte> sign_datagram(const fleet_keys& keys, const datagram_origin& origin,
                                     const endpoint& receiver, std::span<const std::byte> payload) {
    std::vector<std::byte> bytes(datagram_authentication_size + payload.size());
    write_big_endian(std::span{bytes}, incarnation_offset, origin.incarnation);
    write_big_endian(std::span{bytes}, sequence_offset, origin.sequence);
    std::ranges::copy(payload, bytes.begin() + datagram_authentication_size);
    const auto tag = compute_authentication_tag(keys, {to_bytes(origin.sender), to_bytes(receiver),
                                                       std::span{bytes}.subspan(authentication_tag_size)});
    std::ranges::copy(tag, bytes.begin());
    return bytes;
}

result<std::span<const std::byte>> verify_datagram(const fleet_keys& keys, replay_guard& guard,
                                                   const endpoint& sender, const endpoint& receiver,
                                                   std::span<const std::byte> bytes) {
    if (bytes.size() < datagram_authentication_size) {
        return fail(error_kind::unauthenticated, "the datagram is too short for an authentication tag");
    }
    const auto tag = bytes.first(authentication_tag_size);
    if (!verify_authentication_tag(
            keys, tag, {to_bytes(sender), to_bytes(receiver), bytes.subspan(authentication_tag_size)})) {
        return fail(error_kind::unauthenticated, "the datagram's authentication tag is invalid");
    }
    if (auto accepted =
            guard.accept(sender.address, read_big_endian<std::uint64_t>(bytes, incarnation_offset),
                         read_big_endian<std::uint64_t>(bytes, sequence_offset));
        !accepted) {
        return tl::make_unexpected(accepted.error());
    }
    return bytes.subspan(datagram_authentication_size);
}

}  // namespace guavaramp
