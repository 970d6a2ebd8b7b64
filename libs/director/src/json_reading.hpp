#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace guavaramp {

/// Reading of values that other programs wrote. Each returns whether the value has the type and range asked
/// for, and sets `out` if so. Thread-safe.

[[nodiscard]] inline bool is_count(const nlohmann::json& value,
                                   std::uint64_t most = std::numeric_limits<std::uint64_t>::max()) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= most;
}

template <typename Number>
[[nodiscard]] bool read_number(const nlohmann::json& value, Number& out) {
    if (!is_count(value, static_cast<std::uint64_t>(std::numeric_limits<Number>::max()))) {
        return false;
    }
    out = static_cast<Number>(value.get<std::uint64_t>());
    return true;
}

[[nodiscard]] inline bool read_text(const nlohmann::json& value, std::string& out) {
    if (!value.is_string()) {
        return false;
    }
    out = value.get<std::string>();
    return true;
}

[[nodiscard]] inline bool read_flag(const nlohmann::json& value, bool& out) {
    if (!value.is_boolean()) {
        return false;
    }
    out = value.get<bool>();
    return true;
}

[[nodiscard]] inline bool read_socket(const nlohmann::json& value, endpoint& out) {
    std::string text;
    if (!read_text(value, text)) {
        return false;
    }
    const auto parsed = parse_endpoint(text);
    out = parsed.value_or(endpoint{});
    return parsed.has_value();
}

/// Reads each element of an array of at most `most` with `read`.
template <typename Value, typename Read>
[[nodiscard]] bool read_array(const nlohmann::json& from, std::size_t most, std::vector<Value>& out,
                              Read read) {
    if (!from.is_array() || from.size() > most) {
        return false;
    }
    for (const auto& element : from) {
        if (!read(element, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

/// The texts of `sockets`, as `read_array` with `read_socket` reads them back. Thread-safe.
[[nodiscard]] inline nlohmann::json to_json(const std::vector<endpoint>& sockets) {
    auto texts = nlohmann::json::array();
    for (const auto& socket : sockets) {
        texts.push_back(to_string(socket));
    }
    return texts;
}

}  // namespace guavaramp
