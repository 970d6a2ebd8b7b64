#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/config/change.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavaramp {

/// A time as an operator writes it. Times of day are in UTC.
struct relative_time {
    std::chrono::milliseconds amount{0};

    friend bool operator==(const relative_time&, const relative_time&) = default;
};
struct time_of_day {
    std::chrono::seconds since_midnight{0};

    friend bool operator==(const time_of_day&, const time_of_day&) = default;
};
using time_expression = std::variant<relative_time, time_of_day, wall_time>;

/// Whether a relative time or a time of day lies before or after now.
enum class time_direction : std::uint8_t { past, future };

/// The moment that `expression` means at `now`. A time of day is the last or the next one. Thread-safe.
[[nodiscard]] wall_time resolve_time(const time_expression& expression, wall_time now,
                                     time_direction direction) noexcept;

/// Parses "10m" (units ms, s, m, h, d), "22:00", "22:00:30" or RFC 3339 in UTC or with an offset. Errors:
/// `malformed`. Thread-safe.
[[nodiscard]] result<time_expression> parse_time(std::string_view text);

/// Text forms that `parse_time` accepts. Thread-safe.
[[nodiscard]] std::string to_string(const time_expression& expression);
[[nodiscard]] std::string to_rfc3339(wall_time time);

struct show_services_statement {
    friend bool operator==(const show_services_statement&, const show_services_statement&) = default;
};
struct show_service_statement {
    std::string service;

    friend bool operator==(const show_service_statement&, const show_service_statement&) = default;
};
struct show_upstreams_statement {
    std::string service;

    friend bool operator==(const show_upstreams_statement&, const show_upstreams_statement&) = default;
};
struct show_entries_statement {
    friend bool operator==(const show_entries_statement&, const show_entries_statement&) = default;
};
struct show_changes_statement {
    time_expression since;

    friend bool operator==(const show_changes_statement&, const show_changes_statement&) = default;
};
struct show_flows_statement {
    std::string service;
    std::string upstream;  ///< empty: all
    std::size_t limit{100};

    friend bool operator==(const show_flows_statement&, const show_flows_statement&) = default;
};
struct show_counters_statement {
    std::string matching;  ///< empty: all

    friend bool operator==(const show_counters_statement&, const show_counters_statement&) = default;
};
struct why_flow_statement {
    flow_key flow;

    friend bool operator==(const why_flow_statement&, const why_flow_statement&) = default;
};

enum class broken_flows_grouping : std::uint8_t { none, cause, upstream, service };

struct broken_flows_statement {
    time_expression last;
    broken_flows_grouping grouping{broken_flows_grouping::none};

    friend bool operator==(const broken_flows_statement&, const broken_flows_statement&) = default;
};
struct help_statement {
    friend bool operator==(const help_statement&, const help_statement&) = default;
};

/// A planned drain as written; the time becomes absolute when the command is run.
struct drain_statement {
    upstream_name target;
    std::optional<time_expression> at;

    friend bool operator==(const drain_statement&, const drain_statement&) = default;
};

/// Any other change. A drain is a `drain_statement`.
struct change_statement {
    change_command command;

    friend bool operator==(const change_statement&, const change_statement&) = default;
};

using statement = std::variant<show_services_statement, show_service_statement, show_upstreams_statement,
                               show_entries_statement, show_changes_statement, show_flows_statement,
                               show_counters_statement, why_flow_statement, broken_flows_statement,
                               help_statement, drain_statement, change_statement>;

/// Ports of an upstream address that is written without them.
inline constexpr std::uint16_t default_packet_port = 6080;
inline constexpr std::uint16_t default_request_port = 8080;

/// Bounds of "limit N".
inline constexpr std::size_t most_listed_flows = 10'000;

/// Why a text is not a command. `position` and `length` are byte offsets inside the text; at its end the
/// length is 0.
struct syntax_error {
    std::size_t position{0};
    std::size_t length{0};
    std::string message;

    friend bool operator==(const syntax_error&, const syntax_error&) = default;
};

/// Names that completion may offer.
struct completion_names {
    std::vector<std::string> services;
    std::vector<std::string> upstreams;  ///< as "service/name"
};

/// Parses one command. An upstream address without a port gets
/// `default_packet_port`, and a missing request address the same address with `default_request_port`.
/// Thread-safe.
[[nodiscard]] tl::expected<statement, syntax_error> parse_statement(std::string_view text);

/// The command's canonical text; `parse_statement` of it gives the same statement, except for a
/// `load_change`, whose JSON body is printed in full. Thread-safe.
[[nodiscard]] std::string to_string(const statement& value);

/// Whether running the statement changes the configuration. Thread-safe.
[[nodiscard]] bool is_change(const statement& value) noexcept;

/// Words that may stand at the place of the last word of `text` (a new word when `text` ends in a space) and
/// begin with it. Thread-safe.
[[nodiscard]] std::vector<std::string> complete_statement(std::string_view text,
                                                          const completion_names& names);

/// Position of `word` among the words of `text`, for errors that name a word. Thread-safe.
[[nodiscard]] std::optional<std::size_t> find_word(std::string_view text, std::string_view word);

/// The grammar, one command a line. Thread-safe.
[[nodiscard]] const std::vector<std::string>& grammar_lines();

}  // namespace guavaramp
