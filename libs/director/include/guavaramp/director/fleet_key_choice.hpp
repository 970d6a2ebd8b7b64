#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Chooses the secret key of a failure domain's directors after the store was restored from a backup, which
/// may hold an older key or none. The key that the directors use takes precedence while they agree on it,
/// because messages between them must not stop being accepted.

/// The key that this director uses.
struct known_fleet_key {
    std::string key;       ///< empty while none is known
    std::uint64_t era{0};  ///< latest era of the store in which the store has held `key`
    /// A message could be authenticated neither with `key` nor with the store's, so the directors do not
    /// agree.
    bool disputed{false};
};

/// What a read of the store has shown.
struct fleet_key_reading {
    std::optional<std::string> stored;  ///< nothing if the store has no key
    std::uint64_t era{0};
};

struct fleet_key_choice {
    std::vector<std::string> accepted;  ///< messages are signed with the first key; empty if no key is known
    bool write_back{false};             ///< the store needs the used key in place of an older one or of none
};

/// Returns which keys to use, and records them in `own`. Precondition: the reading's era is not below
/// `own.era`. Not thread-safe.
[[nodiscard]] fleet_key_choice choose_fleet_key(known_fleet_key& own, const fleet_key_reading& reading);

}  // namespace guavaramp
