#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <span>

namespace guavaramp {

/// Limit of the arrays and maps inside one another that are parsed. Messages between directors nest 4.
inline constexpr std::size_t max_cbor_depth = 32;

/// Returns the value that `bytes` encode in CBOR. Returns a discarded value (`is_discarded()`), which is
/// neither an array nor an object, if `bytes` are not exactly one CBOR item that fits into memory, or if it
/// is nested deeper than `max_cbor_depth`. Never throws for any content of `bytes`. Thread-safe.
[[nodiscard]] nlohmann::json parse_cbor(std::span<const std::byte> bytes);

}  // namespace guavaramp
