#include <guavaramp/base/big_endian.hpp>
#include <guavaramp/flow/relay.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr std::size_t origin_offset = 4;
constexpr std::size_t upstream_offset = 20;
constexpr std::size_t revision_offset = 24;
constexpr std::size_t incarnation_offset = 32;
constexpr std::size_t sequence_offset = 40;
constexpr std::size_t auth_tag_offset = 48;

}  // namespace

std::array<std::byte, relay_header_size> encode_relay(const relay_header& header,
                                                      const relay_envelope& envelope, const fleet_keys& keys,
                                                      std::span<const std::byte> inner) {
    std::array<std::byte, relay_header_size> encoded{};
    encoded[0] = static_cast<std::byte>(header.kind);
    encoded[1] = static_cast<std::byte>(header.hops);
    std::ranges::copy(std::as_bytes(std::span{header.origin.bytes}), encoded.begin() + origin_offset);
    write_big_endian<std::uint32_t>(encoded, upstream_offset, static_cast<std::uint32_t>(header.upstream));
    write_big_endian<std::uint64_t>(encoded, revision_offset, static_cast<std::uint64_t>(header.revision));
    write_big_endian<std::uint64_t>(encoded, incarnation_offset, envelope.incarnation);
    write_big_endian<std::uint64_t>(encoded, sequence_offset, envelope.sequence);
    const auto tag = compute_authentication_tag(
        keys, {std::span{encoded}.first(auth_tag_offset), std::as_bytes(std::span{envelope.sender.bytes}),
               std::as_bytes(std::span{envelope.receiver.bytes}), inner});
    std::ranges::copy(tag, encoded.begin() + auth_tag_offset);
    return encoded;
}

result<relay_header> decode_relay(std::span<const std::byte> extension, const ip_address& sender,
                                  const ip_address& receiver, const fleet_keys& keys, replay_guard& guard,
                                  std::span<const std::byte> inner) {
    if (extension.size() != relay_header_size) {
        return fail(error_kind::malformed, "relay header does not have the expected size of 64 bytes");
    }
    if (!verify_authentication_tag(keys, extension.subspan(auth_tag_offset),
                                   {extension.first(auth_tag_offset), std::as_bytes(std::span{sender.bytes}),
                                    std::as_bytes(std::span{receiver.bytes}), inner})) {
        return fail(error_kind::unauthenticated,
                    "authentication tag of the relay header does not match any fleet key");
    }
    const auto kind = std::to_integer<std::uint8_t>(extension[0]);
    if (kind < static_cast<std::uint8_t>(relay_kind::ask_owner) ||
        kind > static_cast<std::uint8_t>(relay_kind::hand_over)) {
        return fail(error_kind::malformed, "relay header has an unknown message kind; expected 1 to 6");
    }
    if (auto accepted = guard.accept(sender, read_big_endian<std::uint64_t>(extension, incarnation_offset),
                                     read_big_endian<std::uint64_t>(extension, sequence_offset));
        !accepted) {
        return tl::make_unexpected(accepted.error());
    }
    relay_header header{
        .kind = static_cast<relay_kind>(kind),
        .hops = std::to_integer<std::uint8_t>(extension[1]),
        .upstream = upstream_id{static_cast<std::uint32_t>(
            read_big_endian<std::uint32_t>(extension, upstream_offset))},
        .revision = config_revision{read_big_endian<std::uint64_t>(extension, revision_offset)}};
    const auto origin = extension.subspan(origin_offset, header.origin.bytes.size());
    std::ranges::transform(origin, header.origin.bytes.begin(),
                           [](std::byte value) { return std::to_integer<std::uint8_t>(value); });
    return header;
}

}  // namespace guavaramp
