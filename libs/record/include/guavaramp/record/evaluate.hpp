#pragma once

#include <guavaramp/membership/member.hpp>
#include <guavaramp/record/history.hpp>
#include <guavaramp/record/language.hpp>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// A flow's record with the entry VM that gave it.
struct seen_flow {
    std::string entry;
    flow_record record;

    friend bool operator==(const seen_flow&, const seen_flow&) = default;
};

/// How far an entry VM's records reach back.
struct entry_reach {
    std::string entry;
    wall_time ended{};   ///< all flows that ended since then are known
    wall_time broken{};  ///< all broken flows since then are known

    friend bool operator==(const entry_reach&, const entry_reach&) = default;
};

/// What entry VMs answered about flows, and which of those that were asked did not reply in time.
struct gathered_flows {
    std::vector<seen_flow> flows;
    std::vector<entry_reach> replied;
    std::vector<std::string> not_reached;

    friend bool operator==(const gathered_flows&, const gathered_flows&) = default;
};

/// How a change is to be run.
struct change_options {
    bool dry_run{false};
    bool wait{false};  ///< until every live reachable entry VM has reported the revision
};

/// What became of a change.
struct change_outcome {
    planned_change planned;                ///< set for a dry run
    committed_change committed;            ///< set otherwise
    bool waited{false};                    ///< whether the answer waited for the change to be in force
    std::vector<std::string> confirmed;    ///< entry VMs that reported the revision, when waited
    std::vector<std::string> missing;      ///< live entry VMs that did not report it in time
    std::vector<std::string> unreachable;  ///< entry VMs that cannot be reached
};

/// Changes since a time, and whether earlier ones within that time may have been forgotten.
struct change_listing {
    std::vector<change_record> changes;
    bool complete{true};
};

struct counter_value {
    std::string name;
    std::uint64_t value{0};

    friend bool operator==(const counter_value&, const counter_value&) = default;
};

/// Where the evaluator gets its facts. Functions may block; all are set.
struct query_source {
    std::function<wall_time()> now;
    std::function<std::shared_ptr<const config_snapshot>()> config;  ///< null before the first configuration
    std::function<member_list()> entries;
    std::function<change_listing(wall_time since)> changes;
    std::function<std::vector<counter_value>()> counters;
    std::function<gathered_flows(const flow_key&)> find_flow;
    std::function<gathered_flows(service_id, upstream_id, std::size_t limit)> list_flows;
    std::function<gathered_flows(wall_time since)> broken_flows;
    std::function<result<change_outcome>(const change_command&, const change_options&)> change;
};

/// The answer to a command. `failure` is absent for success. `position` and `length` point into the command.
struct query_answer {
    std::optional<error_kind> failure;
    std::string message;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;
    std::vector<std::string> not_reached;
    std::optional<std::size_t> position;
    std::size_t length{0};

    friend bool operator==(const query_answer&, const query_answer&) = default;
};

/// Parses and runs one command. Never throws for any text. Blocks as long as the functions of `source` do.
[[nodiscard]] query_answer evaluate(std::string_view command, const query_source& source,
                                    const change_options& options);

/// {"outcome", "message", "columns", "rows", "not_reached", "position"?, "length"?}. Decoding error:
/// `malformed`. Thread-safe.
[[nodiscard]] nlohmann::json to_json(const query_answer& answer);
[[nodiscard]] result<query_answer> answer_from_json(const nlohmann::json& json);

}  // namespace guavaramp
