#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace guavaramp {

/// Longest request id that is written to the log; longer ones are cut.
inline constexpr std::size_t longest_request_id = 39;

/// The id of the HTTP request that begins in `payload`, from its X-Request-Id field; empty when no request
/// with one begins there. The text ends with a NUL. Thread-safe.
[[nodiscard]] std::array<char, longest_request_id + 1> find_request_id(
    std::span<const std::byte> payload) noexcept;

}  // namespace guavaramp
