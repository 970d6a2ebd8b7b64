#include <guavaramp/auth/peer_call.hpp>

#include <charconv>
#include <sstream>

namespace guavaramp {
namespace {

constexpr const char* hex_digits = "0123456789abcdef";

std::span<const std::byte> bytes_of(const std::string& text) { return std::as_bytes(std::span{text}); }

std::string to_hex(const authentication_tag& tag) {
    std::string text;
    for (const auto value : tag) {
        const auto number = std::to_integer<unsigned>(value);
        text += hex_digits[number >> 4U];
        text += hex_digits[number & 15U];
    }
    return text;
}

bool from_hex(const std::string& text, authentication_tag& tag) {
    if (text.size() != 2 * tag.size()) {
        return false;
    }
    for (std::size_t index = 0; index < tag.size(); ++index) {
        unsigned value = 0;
        const char* first = text.data() + 2 * index;
        const auto parsed = std::from_chars(first, first + 2, value, 16);
        if (parsed.ec != std::errc{} || parsed.ptr != first + 2) {
            return false;
        }
        tag[index] = static_cast<std::byte>(value);
    }
    return true;
}

// Returns the bytes that are signed in front of the body. Line feeds separate the fields, so that two
// different calls never sign the same bytes.
std::string signed_prefix(const std::string& identity, const std::string& path) {
    return "peer-call\n" + identity + "\n" + path + "\n";
}

}  // namespace

std::string sign_peer_call(const fleet_keys& keys, const ip_address& self, std::uint64_t incarnation,
                           std::uint64_t sequence, const std::string& path, const std::string& body) {
    const std::string identity =
        to_string(self) + " " + std::to_string(incarnation) + " " + std::to_string(sequence);
    const std::string prefix = signed_prefix(identity, path);
    return identity + " " + to_hex(compute_authentication_tag(keys, {bytes_of(prefix), bytes_of(body)}));
}

result<void> verify_peer_call(const fleet_keys& keys, replay_guard& guard, const std::string& header,
                              const std::string& path, const std::string& body) {
    std::istringstream fields{header};
    std::string address_text;
    std::string tag_text;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    authentication_tag tag{};
    if (!(fields >> address_text >> incarnation >> sequence >> tag_text) || !from_hex(tag_text, tag)) {
        return fail(
            error_kind::unauthenticated,
            "the peer call's header is missing or malformed; expected ADDRESS INCARNATION SEQUENCE TAG");
    }
    const auto address = parse_ip_address(address_text);
    const std::string identity =
        address_text + " " + std::to_string(incarnation) + " " + std::to_string(sequence);
    const std::string prefix = signed_prefix(identity, path);
    if (!address || !verify_authentication_tag(keys, tag, {bytes_of(prefix), bytes_of(body)})) {
        return fail(error_kind::unauthenticated, "the peer call's address or authentication tag is invalid");
    }
    return guard.accept(*address, incarnation, sequence);
}

}  // namespace guavaramp
