#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace guavaramp {

/// The unsigned number of `sizeof(Number)` bytes at `offset`, most significant byte first. Precondition:
/// `bytes` holds it. Thread-safe.
template <typename Number>
[[nodiscard]] Number read_big_endian(std::span<const std::byte> bytes, std::size_t offset) noexcept {
    std::uint64_t value = 0;
    for (const std::byte byte : bytes.subspan(offset, sizeof(Number))) {
        value = (value << 8U) | std::to_integer<std::uint64_t>(byte);
    }
    return static_cast<Number>(value);
}

/// Inverse of `read_big_endian`. Precondition: `bytes` has room for the number. Thread-safe.
template <typename Number>
void write_big_endian(std::span<std::byte> bytes, std::size_t offset, Number value) noexcept {
    auto left = static_cast<std::uint64_t>(value);
    for (std::size_t index = sizeof(Number); index > 0; --index) {
        bytes[offset + index - 1] = static_cast<std::byte>(left & 0xffU);
        left >>= 8U;
    }
}

}  // namespace guavaramp
