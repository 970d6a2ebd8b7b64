#include "check_run.hpp"

#include "director_settings.hpp"
#include "report_text.hpp"

#include <guavaramp/director/hedged_open.hpp>
#include <guavaramp/platform_adapter/configuration_check.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <ostream>

namespace guavaramp {
namespace {

/// Limit of the bytes of a settings file, which has about 1 KB. Its reader has no limit; parsed, nested
/// arrays take eighty times their text.
constexpr std::size_t max_settings_bytes = 64U << 10U;

/// Returns the content of the file, or its first `max_bytes + 1` bytes, so that the checks see that it is too
/// long. Errors: `not_found`.
result<std::string> read_file(const std::string& path, std::size_t max_bytes) {
    std::ifstream file{path, std::ios::binary};
    std::string content;
    std::array<char, 1U << 16U> block{};
    while (file && content.size() <= max_bytes) {
        const auto wanted = std::min(block.size(), max_bytes + 1 - content.size());
        file.read(block.data(), static_cast<std::streamsize>(wanted));
        content.append(block.data(), static_cast<std::size_t>(file.gcount()));
    }
    // A directory can be opened but not read.
    if (!file.is_open() || file.bad()) {
        return fail(error_kind::not_found, path + ": cannot be read");
    }
    return content;
}

/// Returns the hedge limit of a settings file. Errors: as `load_director_settings`.
result<double> read_hedge_limit(const std::string& path) {
    std::error_code failure;
    const auto size = std::filesystem::file_size(path, failure);
    // Only a regular file has a size that bounds what its reader takes into memory.
    if (failure || !std::filesystem::is_regular_file(path, failure)) {
        return fail(error_kind::not_found, path + ": cannot be read");
    }
    if (size > max_settings_bytes) {
        return fail(error_kind::malformed,
                    fmt::format("{}: found {} bytes, expected at most {}", path, size, max_settings_bytes));
    }
    const auto settings = load_director_settings(path);
    if (!settings) {
        return tl::make_unexpected(settings.error());
    }
    return settings->hedge_limit;
}

/// Returns the hedge limit that the arguments and settings state; 0 if they state none.
result<double> choose_hedge_limit(const check_arguments& arguments) {
    // The settings are checked also if the argument goes before them.
    auto configured = arguments.settings.empty() ? result<double>{0} : read_hedge_limit(arguments.settings);
    if (!configured || !arguments.hedge_limit) {
        return configured;
    }
    const double limit = *arguments.hedge_limit;
    if (!(limit >= 0 && limit <= max_hedge_limit)) {
        return fail(
            error_kind::invalid_argument,
            fmt::format("--hedge-limit: found {}, expected a number from 0 to {}", limit, max_hedge_limit));
    }
    return limit;
}

/// Returns the listing in a file, or nothing if no path was given.
result<std::optional<platform_adapter::decoded_listing>> read_listing(const std::string& path) {
    using optional_listing = std::optional<platform_adapter::decoded_listing>;
    if (path.empty()) {
        return optional_listing{};
    }
    const auto text = read_file(path, platform_adapter::max_listing_bytes);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    auto listing = platform_adapter::decode_listing(*text);
    if (!listing) {
        return fail(listing.error().kind, path + ": " + listing.error().message);
    }
    return optional_listing{*std::move(listing)};
}

}  // namespace

result<bool> run_check(const check_arguments& arguments, std::ostream& out) {
    const auto hedge_limit = choose_hedge_limit(arguments);
    if (!hedge_limit) {
        return tl::make_unexpected(hedge_limit.error());
    }
    auto listing = read_listing(arguments.listing);
    if (!listing) {
        return tl::make_unexpected(listing.error());
    }
    const auto configuration = read_file(arguments.file, platform_adapter::max_configuration_bytes);
    if (!configuration) {
        return tl::make_unexpected(configuration.error());
    }
    platform_adapter::check_input input{.configuration = *configuration, .hedge_limit = *hedge_limit};
    result<std::string> in_force;
    if (!arguments.in_force.empty()) {
        in_force = read_file(arguments.in_force, platform_adapter::max_configuration_bytes);
        if (!in_force) {
            return tl::make_unexpected(in_force.error());
        }
        input.in_force = *in_force;
    }
    std::size_t unreadable_hosts = 0;
    if (*listing) {
        unreadable_hosts = (*listing)->unreadable;
        input.listing = std::move((*listing)->reports);
    }
    const auto report = platform_adapter::check_configuration(input);
    if (!report) {
        return fail(report.error().kind, arguments.in_force + ": " + report.error().message);
    }
    out << (arguments.json ? to_json_text(*report, unreadable_hosts) : to_text(*report, unreadable_hosts));
    return report->findings.total > 0;
}

}  // namespace guavaramp
