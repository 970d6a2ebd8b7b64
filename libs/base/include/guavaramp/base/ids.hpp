#pragma once

#include <cstdint>

namespace guavaramp {

/// Identifies a service permanently. Ids are assigned from a counter in the configuration head and never
/// reused.
enum class service_id : std::uint32_t {};

/// Identifies one upstream of one service permanently. An address that moves to another service gets a new
/// id, so that a packet of an old flow cannot reach the new service. 0 means "no upstream".
enum class upstream_id : std::uint32_t {};

inline constexpr upstream_id no_upstream{0};

/// Revision of the whole configuration; it increases with each accepted change.
enum class config_revision : std::uint64_t {};

}  // namespace guavaramp
