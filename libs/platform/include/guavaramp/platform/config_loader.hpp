#pragma once

#include <guavaramp/config/model.hpp>
#include <guavaramp/platform/key_value_store.hpp>

namespace guavaramp {

/// A head as the platform stores it, with the store's revision of its key.
struct stored_head {
    config_head head;
    std::uint64_t store_revision{0};
};

/// Reads the head; nothing when no configuration is stored. Errors: those of the store, `malformed`.
[[nodiscard]] result<std::optional<stored_head>> load_head(key_value_store& store, mono_time deadline);

/// Reads the service values that `head` names. Values that `known` already has at the same revision are taken
/// from there. Errors: those of the store, `malformed`, `not_found` (a value that the head names is missing).
[[nodiscard]] result<configuration> load_configuration(key_value_store& store, const config_head& head,
                                                       const configuration& known, mono_time deadline);

}  // namespace guavaramp
