#pragma once

#include <cstdint>

namespace guavaramp {

/// Number of calls to operator new in this program so far. Thread-safe.
[[nodiscard]] std::uint64_t allocation_count() noexcept;

}  // namespace guavaramp
