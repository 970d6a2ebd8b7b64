#include <guavaramp/flow/relay.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

constexpr std::size_t origin_offset = 4;
constexpr std::size_t upstream_offset = 20;
constexpr std::size_t revision_offset = 24;
constexpr std::size_t incarnation_offset = 32;
constexpr std::size_t sequence_offset = 40;
constexpr std::size_t tag_offset = 48;

void write_number(std::span<std::byte> out, std::size_t offset, std::size_t size,
                  std::uint64_t value) noexcept {
    for (std::size_t index = 0; index < size; ++index) {
        out[offset + size - 1 - index] = static_cast<std::byte>((value >> (8 * index)) & 0xffU);
    }
}

std::uint64_t read_number(std::span<const std::byte> bytes, std::size_t offset, std::size_t size) noexcept {
    std::uint64_t value = 0;
    for (const std::byte byte : bytes.subspan(offset, size)) {
        value = (value << 8U) | std::to_integer<std::uint64_t>(byte);
    }
    return value;
}

}  // namespace

std::array<std::byte, relay_header_size> encode_relay(const relay_header& header,
                                                      const relay_envelope& envelope, const fleet_keys& keys,
                                                      std::span<const std::byte> inner) {
    std::array<std::byte, relay_header_size> out{};
    out[0] = static_cast<std::byte>(header.kind);
    out[1] = static_cast<std::byte>(header.hops);
    std::ranges::copy(std::as_bytes(std::span{header.origin.bytes}), out.begin() + origin_offset);
    write_number(out, upstream_offset, 4, static_cast<std::uint32_t>(header.upstream));
    write_number(out, revision_offset, 8, static_cast<std::uint64_t>(header.revision));
    write_number(out, incarnation_offset, 8, envelope.incarnation);
    write_number(out, sequence_offset, 8, envelope.sequence);
    const auto tag =
        compute_tag(keys, {std::span{out}.first(tag_offset), std::as_bytes(std::span{envelope.sender.bytes}),
                           std::as_bytes(std::span{envelope.receiver.bytes}), inner});
    std::ranges::copy(tag, out.begin() + tag_offset);
    return out;
}

result<relay_header> decode_relay(std::span<const std::byte> extension, const ip_address& sender,
                                  const ip_address& receiver, const fleet_keys& keys, replay_guard& guard,
                                  std::span<const std::byte> inner) {
    if (extension.size() != relay_header_size) {
        return fail(error_kind::malformed, "relay header has the wrong size");
    }
    if (!verify_tag(keys, extension.subspan(tag_offset),
                    {extension.first(tag_offset), std::as_bytes(std::span{sender.bytes}),
                     std::as_bytes(std::span{receiver.bytes}), inner})) {
        return fail(error_kind::unauthenticated, "relay header has a wrong tag");
    }
    const auto kind = std::to_integer<std::uint8_t>(extension[0]);
    if (kind < static_cast<std::uint8_t>(relay_kind::ask_owner) ||
        kind > static_cast<std::uint8_t>(relay_kind::hand_over)) {
        return fail(error_kind::malformed, "relay header has an unknown kind");
    }
    if (auto accepted = guard.accept(sender, read_number(extension, incarnation_offset, 8),
                                     read_number(extension, sequence_offset, 8));
        !accepted) {
        return tl::make_unexpected(accepted.error());
    }
    relay_header header{
        .kind = static_cast<relay_kind>(kind),
        .hops = std::to_integer<std::uint8_t>(extension[1]),
        .upstream = upstream_id{static_cast<std::uint32_t>(read_number(extension, upstream_offset, 4))},
        .revision = config_revision{read_number(extension, revision_offset, 8)}};
    const auto origin = extension.subspan(origin_offset, header.origin.bytes.size());
    std::ranges::transform(origin, header.origin.bytes.begin(),
                           [](std::byte value) { return std::to_integer<std::uint8_t>(value); });
    return header;
}

}  // namespace guavaramp
