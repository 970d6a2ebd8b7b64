#pragma once

#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace guavaramp {

/// Returns the 64-bit XXH3 hash of `bytes`. The result is the same on all entry VMs, so that all of them
/// compute the same owners. Thread-safe.
[[nodiscard]] inline std::uint64_t hash_bytes(std::span<const std::byte> bytes,
                                              std::uint64_t seed = 0) noexcept {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// Returns the same hash as `hash_bytes` for the characters of `text`. Thread-safe.
[[nodiscard]] inline std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Combines two hashes into one with the finaliser of SplitMix64 (Steele et al., OOPSLA 2014). The result
/// depends on the order of the arguments. Thread-safe.
[[nodiscard]] constexpr std::uint64_t mix_hashes(std::uint64_t left, std::uint64_t right) noexcept {
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

}  // namespace guavaramp
