#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace guavaramp {

/// Functions that read JSON values which other programs wrote. Each `read_...` function returns whether the
/// value has the expected type and range; if not, the content of `target` is unspecified. Thread-safe.

/// Returns whether `value` is an unsigned integer of at most `limit`.
[[nodiscard]] inline bool is_unsigned_at_most(
    const nlohmann::json& value, std::uint64_t limit = std::numeric_limits<std::uint64_t>::max()) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= limit;
}

template <typename Number>
[[nodiscard]] bool read_number(const nlohmann::json& value, Number& target) {
    if (!is_unsigned_at_most(value, static_cast<std::uint64_t>(std::numeric_limits<Number>::max()))) {
        return false;
    }
    target = static_cast<Number>(value.get<std::uint64_t>());
    return true;
}

[[nodiscard]] inline bool read_text(const nlohmann::json& value, std::string& target) {
    if (!value.is_string()) {
        return false;
    }
    target = value.get<std::string>();
    return true;
}

[[nodiscard]] inline bool read_flag(const nlohmann::json& value, bool& target) {
    if (!value.is_boolean()) {
        return false;
    }
    target = value.get<bool>();
    return true;
}

[[nodiscard]] inline bool read_socket(const nlohmann::json& value, endpoint& target) {
    std::string text;
    if (!read_text(value, text)) {
        return false;
    }
    const auto parsed = parse_endpoint(text);
    target = parsed.value_or(endpoint{});
    return parsed.has_value();
}

/// Reads an array of at most `max_size` elements, each with `read`.
template <typename Value, typename Read>
[[nodiscard]] bool read_array(const nlohmann::json& value, std::size_t max_size, std::vector<Value>& target,
                              Read read) {
    if (!value.is_array() || value.size() > max_size) {
        return false;
    }
    for (const auto& element : value) {
        if (!read(element, target.emplace_back())) {
            return false;
        }
    }
    return true;
}

/// Returns the text forms of `sockets`; `read_array` with `read_socket` is the inverse. Thread-safe.
[[nodiscard]] inline nlohmann::json to_json(const std::vector<endpoint>& sockets) {
    auto texts = nlohmann::json::array();
    for (const auto& socket : sockets) {
        texts.push_back(to_string(socket));
    }
    return texts;
}

}  // namespace guavaramp
