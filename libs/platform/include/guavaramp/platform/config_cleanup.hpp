#pragma once

#include <guavaramp/config/model.hpp>
#include <guavaramp/platform/key_value_store.hpp>
#include <guavaramp/platform/lease_holder.hpp>

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace guavaramp {

/// Old service values that are kept, for daemons that still read an earlier head and for operators.
inline constexpr std::size_t kept_service_values = 8;

using listed_key = std::pair<std::string, std::uint64_t>;

/// The keys of service values that may be deleted: older than the value that `head` names and not among the
/// `kept` latest ones before it. A value with a higher revision than the head's belongs to a change that is
/// not accepted yet and stays. Thread-safe.
[[nodiscard]] std::vector<listed_key> removable_values(const std::vector<listed_key>& keys,
                                                       const config_head& head,
                                                       std::size_t kept = kept_service_values);

/// Deletes the removable values while `holder` holds the lease; it is acquired only when there are any.
/// Returns the number of deleted values. Errors: those of the store.
[[nodiscard]] result<std::size_t> clean_up(key_value_store& store, lease_holder& holder, mono_time deadline);

}  // namespace guavaramp
