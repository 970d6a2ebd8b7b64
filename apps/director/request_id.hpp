#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace guavaramp {

/// Maximum number of characters of a request id in the log; longer ids are truncated.
inline constexpr std::size_t max_request_id_length = 39;

/// Returns the value of the X-Request-Id field of the HTTP request that begins in `payload`, as
/// NUL-terminated text. Returns an empty text if no request begins in `payload` or the request has no such
/// field. Thread-safe.
[[nodiscard]] std::array<char, max_request_id_length + 1> find_request_id(
    std::span<const std::byte> payload) noexcept;

}  // namespace guavaramp
