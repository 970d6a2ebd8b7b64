#pragma once

#include <guavaramp/platform_adapter/configuration_check.hpp>

#include <cstddef>
#include <string>

namespace guavaramp {

/// Returns the report in lines for a terminal. `unreadable_hosts` is the number of unreadable entries of the
/// listing. Thread-safe.
[[nodiscard]] std::string to_text(const platform_adapter::check_report& report, std::size_t unreadable_hosts);

/// Returns the report as one JSON object in a line. Thread-safe.
[[nodiscard]] std::string to_json_text(const platform_adapter::check_report& report,
                                       std::size_t unreadable_hosts);

}  // namespace guavaramp
