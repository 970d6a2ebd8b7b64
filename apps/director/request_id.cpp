#include "request_id.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace guavaramp {
namespace {

constexpr std::string_view field_name = "x-request-id:";

bool equal_ignoring_case(char left, char right) noexcept {
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

}  // namespace

std::array<char, max_request_id_length + 1> find_request_id(std::span<const std::byte> payload) noexcept {
    std::array<char, max_request_id_length + 1> id{};
    const std::string_view text{reinterpret_cast<const char*>(payload.data()), payload.size()};
    // A request begins with a method in capital letters; any other payload continues a request body.
    if (text.empty() || std::isupper(static_cast<unsigned char>(text.front())) == 0) {
        return id;
    }
    const auto head = text.substr(0, text.find("\r\n\r\n"));
    const auto* found =
        std::search(head.begin(), head.end(), field_name.begin(), field_name.end(), equal_ignoring_case);
    if (found == head.end()) {
        return id;
    }
    const auto* value = std::find_if(found + field_name.size(), head.end(), [](char c) { return c != ' '; });
    const auto* end = std::find(value, head.end(), '\r');
    const auto length = std::min<std::size_t>(static_cast<std::size_t>(end - value), max_request_id_length);
    std::copy_n(value, length, id.begin());
    return id;
}

}  // namespace guavaramp
