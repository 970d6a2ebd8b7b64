#pragma once

#include <guavaramp/base/error.hpp>

#include <iosfwd>
#include <optional>
#include <string>

namespace guavaramp {

/// Arguments of `guavaramp-check`. A path is empty if it was not given.
struct check_arguments {
    std::string file;                   ///< the configuration that is checked
    std::string in_force;               ///< the version in force
    std::string listing;                ///< host entries of the deployment
    std::string settings;               ///< settings of guavaramp-director
    std::optional<double> hedge_limit;  ///< goes before the one in `settings`
    bool json{false};                   ///< one JSON object in place of lines
};

/// Reads the files, checks the configuration and writes the report to `out`. Returns whether there are
/// findings. Errors: `not_found` (a file cannot be read), `malformed` (a file other than the configuration
/// has no valid content, or is too long), `invalid_argument` (the hedge limit or a setting is out of range).
/// Nothing is written on an error. Not thread-safe for one `out`.
[[nodiscard]] result<bool> run_check(const check_arguments& arguments, std::ostream& out);

}  // namespace guavaramp
