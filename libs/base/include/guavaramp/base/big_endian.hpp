#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace guavaramp {

/// Returns the unsigned number of `sizeof(Number)` bytes at `offset`, most significant byte first.
/// Precondition: `bytes` holds at least `offset + sizeof(Number)` bytes. Thread-safe.
template <typename Number>
[[nodiscard]] Number read_big_endian(std::span<const std::byte> bytes, std::size_t offset) noexcept {
    std::uint64_t value = 0;
    for (const std::byte byte : bytes.subspan(offset, sizeof(Number))) {
        value = (value << 8U) | std::to_integer<std::uint64_t>(byte);
    }
    return static_cast<Number>(value);
}

/// Writes `value` as `sizeof(Number)` bytes at `offset`, most significant byte first; the inverse of
/// `read_big_endian`. Precondition: `bytes` holds at least `offset + sizeof(Number)` bytes. Thread-safe.
template <typename Number>
void write_big_endian(std::span<std::byte> bytes, std::size_t offset, Number value) noexcept {
    auto remaining = static_cast<std::uint64_t>(value);
    for (std::size_t index = sizeof(Number); index > 0; --index) {
        bytes[offset + index - 1] = static_cast<std::byte>(remaining & 0xffU);
        remaining >>= 8U;
    }
}

}  // namespace guavaramp
