#include <guavaramp/base/address.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace guavaramp {
namespace {

// The first 12 bytes of every IPv4-mapped address (RFC 4291 section 2.5.5.2).
constexpr std::array<std::uint8_t, 12> ipv4_mapped_prefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

}  // namespace

bool is_ipv4(const ip_address& address) noexcept {
    return std::equal(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), address.bytes.begin());
}

ip_address from_ipv4(std::uint32_t address) noexcept {
    ip_address mapped;
    std::copy(ipv4_mapped_prefix.begin(), ipv4_mapped_prefix.end(), mapped.bytes.begin());
    mapped.bytes[12] = static_cast<std::uint8_t>(address >> 24U);
    mapped.bytes[13] = static_cast<std::uint8_t>(address >> 16U);
    mapped.bytes[14] = static_cast<std::uint8_t>(address >> 8U);
    mapped.bytes[15] = static_cast<std::uint8_t>(address);
    return mapped;
}

std::uint32_t to_ipv4(const ip_address& address) noexcept {
    return (std::uint32_t{address.bytes[12]} << 24U) | (std::uint32_t{address.bytes[13]} << 16U) |
           (std::uint32_t{address.bytes[14]} << 8U) | std::uint32_t{address.bytes[15]};
}

result<ip_address> parse_ip_address(std::string_view text) {
    const std::string terminated{text};
    in_addr v4{};
    if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
        return from_ipv4(ntohl(v4.s_addr));
    }
    ip_address parsed;
    if (inet_pton(AF_INET6, terminated.c_str(), parsed.bytes.data()) == 1) {
        return parsed;
    }
    return fail(error_kind::malformed, "expected a numeric IP address, found '" + terminated + "'");
}

result<endpoint> parse_endpoint(std::string_view text) {
    const auto malformed = [text] {
        return fail(error_kind::malformed, "expected ADDRESS:PORT, found '" + std::string{text} + "'");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return malformed();
    }
    std::string_view host = text.substr(0, colon);
    if (host.front() == '[') {
        if (host.back() != ']') {
            return malformed();
        }
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        return malformed();
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        return malformed();
    }
    auto address = parse_ip_address(host);
    if (!address) {
        return malformed();
    }
    return endpoint{.address = *address, .port = port};
}

std::string to_string(const ip_address& address) {
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (is_ipv4(address)) {
        inet_ntop(AF_INET, address.bytes.data() + 12, text.data(), text.size());
    } else {
        inet_ntop(AF_INET6, address.bytes.data(), text.data(), text.size());
    }
    return text.data();
}

std::string to_string(const endpoint& value) {
    const std::string host = to_string(value.address);
    const std::string port = std::to_string(value.port);
    return is_ipv4(value.address) ? host + ":" + port : "[" + host + "]:" + port;
}

}  // namespace guavaramp
