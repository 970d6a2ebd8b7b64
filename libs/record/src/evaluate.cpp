#include <guavaramp/base/nearest_word.hpp>
#include <guavaramp/record/evaluate.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace guavaramp {
namespace {

constexpr std::size_t most_broken_listed = 1000;

std::string number(std::uint64_t value) { return std::to_string(value); }
std::string number(config_revision value) { return std::to_string(static_cast<std::uint64_t>(value)); }

std::string time_or_never(wall_time time) { return time == wall_time{} ? "never" : to_rfc3339(time); }

std::string join(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

/// One command in evaluation.
struct evaluation {
    std::string_view command;
    const query_source& source;
    const change_options& options;
    std::shared_ptr<const config_snapshot> config;
};

query_answer failed(const evaluation& work, error failure) {
    query_answer answer{.failure = failure.kind, .message = std::move(failure.message)};
    // Messages about a word of the command begin with that word in quotes.
    const auto end = answer.message.find('\'', 1);
    if (answer.message.starts_with('\'') && end != std::string::npos) {
        const std::string word = answer.message.substr(1, end - 1);
        answer.position = find_word(work.command, word);
        answer.length = answer.position ? word.size() : 0;
    }
    return answer;
}

query_answer unknown_service(const evaluation& work, const std::string& name) {
    std::vector<std::string> names;
    for (const auto& [known, unused] : work.config->value().services) {
        names.push_back(known);
    }
    return failed(work, {.kind = error_kind::not_found,
                         .message = "'" + name + "': no such service" + nearest_word_hint(name, names)});
}

std::size_t count_hosts(const service& value, upstream_state state, wall_time now) {
    return static_cast<std::size_t>(
        std::count_if(value.upstreams.begin(), value.upstreams.end(),
                      [&](const upstream& host) { return state_at(host, now) == state; }));
}

std::vector<std::string> service_row(const service& value, wall_time now) {
    return {value.name,
            to_string(value.address),
            to_string(value.protocol),
            to_string(value.urgency),
            number(count_hosts(value, upstream_state::active, now)),
            number(count_hosts(value, upstream_state::draining, now)),
            number(count_hosts(value, upstream_state::retired, now)),
            number(value.revision)};
}

std::vector<std::string> service_columns() {
    return {"service", "address", "protocol", "class", "active", "draining", "retired", "revision"};
}

query_answer run(const evaluation& work, const show_services_statement&) {
    query_answer answer{.message = "configuration revision " + number(work.config->revision()),
                        .columns = service_columns()};
    for (const auto& [unused, value] : work.config->value().services) {
        answer.rows.push_back(service_row(value, work.source.now()));
    }
    return answer;
}

query_answer list_upstreams(const evaluation& work, const service& value) {
    query_answer answer{.columns = {"upstream", "id", "state", "weight", "packet address", "request address",
                                    "failure domain", "drains at", "removed at"}};
    const wall_time now = work.source.now();
    for (const auto& host : value.upstreams) {
        answer.rows.push_back({host.name, number(static_cast<std::uint32_t>(host.id)),
                               to_string(state_at(host, now)), number(host.weight),
                               to_string(host.packet_address), to_string(host.request_address),
                               host.failure_domain, host.drain_at ? to_rfc3339(*host.drain_at) : "",
                               host.retired_at ? to_rfc3339(*host.retired_at) : ""});
    }
    return answer;
}

query_answer run(const evaluation& work, const show_service_statement& statement) {
    const service* value = work.config->find_service(statement.service);
    if (value == nullptr) {
        return unknown_service(work, statement.service);
    }
    return {.message = "last changed by " + value->change_id + " at revision " + number(value->revision),
            .columns = service_columns(),
            .rows = {service_row(*value, work.source.now())}};
}

query_answer run(const evaluation& work, const show_upstreams_statement& statement) {
    const service* value = work.config->find_service(statement.service);
    return value == nullptr ? unknown_service(work, statement.service) : list_upstreams(work, *value);
}

const char* state_text(member_state state) noexcept {
    switch (state) {
        case member_state::alive:
            return "alive";
        case member_state::suspect:
            return "suspect";
        case member_state::leaving:
            return "leaving";
        case member_state::dead:
            return "dead";
    }
    return "unknown";
}

query_answer run(const evaluation& work, const show_entries_statement&) {
    const config_revision revision = work.config ? work.config->revision() : config_revision{0};
    query_answer answer{.message = "as this entry VM sees them; configuration revision " + number(revision) +
                                   " is in force here",
                        .columns = {"entry", "failure domain", "region", "state", "started", "revision"}};
    for (const auto& item : work.source.entries().members) {
        answer.rows.push_back({to_string(item.address), item.failure_domain, item.region,
                               state_text(item.state),
                               time_or_never(from_unix_ms(static_cast<std::int64_t>(item.incarnation))),
                               number(item.revision)});
    }
    return answer;
}

query_answer run(const evaluation& work, const show_changes_statement& statement) {
    const wall_time since = resolve_time(statement.since, work.source.now(), time_direction::past);
    const auto listing = work.source.changes(since);
    query_answer answer{.message = "changes accepted since " + to_rfc3339(since),
                        .columns = {"revision", "accepted at", "in force here at", "change id", "change"}};
    if (!listing.complete) {
        answer.message += "; earlier changes in this span are no longer known here";
    }
    for (const auto& item : listing.changes) {
        answer.rows.push_back({number(item.change.revision), to_rfc3339(item.change.accepted_at),
                               item.in_force_at ? to_rfc3339(*item.in_force_at) : "unknown",
                               item.change.change_id, item.change.summary});
    }
    return answer;
}

std::string upstream_text(const evaluation& work, upstream_id id) {
    const auto found = work.config->find_upstream(id);
    if (found.host != nullptr) {
        return found.owner->name + "/" + found.host->name;
    }
    return id == no_upstream ? "none" : "upstream " + number(static_cast<std::uint32_t>(id));
}

std::string service_text(const evaluation& work, service_id id) {
    const service* found = work.config->find_service(id);
    return found == nullptr ? "service " + number(static_cast<std::uint32_t>(id)) : found->name;
}

std::vector<std::string> flow_columns() {
    return {"entry",
            "flow",
            "upstream",
            "state",
            "placement",
            "revision",
            "owner",
            "first seen",
            "last from caller",
            "last from upstream",
            "relayed packets",
            "ended at"};
}

std::vector<std::string> flow_row(const evaluation& work, const seen_flow& seen) {
    const auto& record = seen.record;
    return {seen.entry,
            to_string(record.flow),
            upstream_text(work, record.upstream),
            to_string(record.end),
            to_string(record.reason),
            number(record.revision),
            to_string(record.owner),
            time_or_never(record.first_seen),
            time_or_never(record.last_from_caller),
            time_or_never(record.last_from_upstream),
            number(record.relayed_packets),
            record.ended_at ? to_rfc3339(*record.ended_at) : ""};
}

std::string unreached_text(const gathered_flows& gathered) {
    if (gathered.not_reached.empty()) {
        return "";
    }
    return "; no reply from " + join(gathered.not_reached) + ", which may know more";
}

query_answer list_flows(const evaluation& work, const gathered_flows& gathered) {
    query_answer answer{.columns = flow_columns(), .not_reached = gathered.not_reached};
    for (const auto& seen : gathered.flows) {
        answer.rows.push_back(flow_row(work, seen));
    }
    return answer;
}

result<upstream_id> id_of_upstream(const service& value, const std::string& name) {
    std::vector<std::string> names;
    const upstream* found = nullptr;
    for (const auto& host : value.upstreams) {
        names.push_back(host.name);
        // A removed upstream may share its name with its successor, which is meant then.
        if (host.name == name && (found == nullptr || host.state != upstream_state::retired)) {
            found = &host;
        }
    }
    if (found != nullptr) {
        return found->id;
    }
    return fail(error_kind::not_found, "'" + name + "': service " + value.name + " has no such upstream" +
                                           nearest_word_hint(name, names));
}

query_answer run(const evaluation& work, const show_flows_statement& statement) {
    const service* value = work.config->find_service(statement.service);
    if (value == nullptr) {
        return unknown_service(work, statement.service);
    }
    upstream_id wanted = no_upstream;
    if (!statement.upstream.empty()) {
        const auto found = id_of_upstream(*value, statement.upstream);
        if (!found) {
            return failed(work, found.error());
        }
        wanted = *found;
    }
    const auto gathered = work.source.list_flows(value->id, wanted, statement.limit);
    auto answer = list_flows(work, gathered);
    answer.message = number(answer.rows.size()) + " records of " + statement.service + ", at most " +
                     number(statement.limit) + " are listed" + unreached_text(gathered);
    return answer;
}

query_answer run(const evaluation& work, const show_counters_statement& statement) {
    query_answer answer{.message = "of this entry VM since its start", .columns = {"counter", "value"}};
    for (const auto& item : work.source.counters()) {
        if (item.name.find(statement.matching) != std::string::npos) {
            answer.rows.push_back({item.name, number(item.value)});
        }
    }
    return answer;
}

const char* explain(placement_reason reason) noexcept {
    switch (reason) {
        case placement_reason::first_candidate:
            return "chosen as the first candidate in rendezvous order";
        case placement_reason::less_loaded:
            return "chosen as the less loaded of the first two candidates";
        case placement_reason::learned_from_owner:
            return "learned from the flow's owner";
        case placement_reason::learned_from_peer:
            return "learned from a previous owner";
        case placement_reason::learned_from_probe:
            return "learned from the host's answer to a keep-alive probe";
        case placement_reason::handed_over:
            return "received in a planned stop";
    }
    return "for an unknown reason";
}

const char* explain(flow_end end) noexcept {
    switch (end) {
        case flow_end::open:
            return "open";
        case flow_end::closed:
            return "closed by both sides";
        case flow_end::reset_by_caller:
            return "reset by the caller";
        case flow_end::reset_by_upstream:
            return "reset by the upstream";
        case flow_end::lost_at_upstream:
            return "broken: the host answered other flows but not this one";
        case flow_end::host_unreachable:
            return "broken: the host answered nobody";
        case flow_end::not_found:
            return "broken: no host of the service recognised the flow";
        case flow_end::upstream_removed:
            return "broken: the retention of its removed upstream ended";
        case flow_end::expired:
            return "forgotten after its idle limit without a packet";
    }
    return "in an unknown state";
}

/// The record that tells most: an open one, then the newest broken one, then the newest end; among equals one
/// of an entry VM that chose the upstream itself.
bool tells_more(const seen_flow& left, const seen_flow& right) {
    const auto rank = [](const seen_flow& seen) {
        const auto& record = seen.record;
        const bool chosen = record.reason == placement_reason::first_candidate ||
                            record.reason == placement_reason::less_loaded;
        return std::tuple{record.end == flow_end::open, record.ended_at.value_or(wall_time{}),
                          is_broken(record.end), chosen};
    };
    return rank(left) > rank(right);
}

std::string describe_configuration(const evaluation& work, const flow_key& flow) {
    const service* value = work.config->find_service(flow.service, flow.protocol);
    return value == nullptr ? "; no service is declared at " + to_string(flow.service) + " " +
                                  to_string(flow.protocol) + ", so its packets are dropped"
                            : "; the service is " + value->name;
}

std::string describe_reach(const gathered_flows& gathered) {
    if (gathered.replied.empty()) {
        return "";
    }
    wall_time ended{};
    wall_time broken{};
    for (const auto& item : gathered.replied) {
        ended = std::max(ended, item.ended);
        broken = std::max(broken, item.broken);
    }
    return "; records of all that replied reach back to " + to_rfc3339(ended) + ", of broken flows to " +
           to_rfc3339(broken);
}

std::string describe_flow(const evaluation& work, const seen_flow& seen) {
    const auto& record = seen.record;
    std::string text =
        to_string(record.flow) + " of " + service_text(work, record.service) + " is " + explain(record.end);
    text += record.ended_at ? " at " + to_rfc3339(*record.ended_at) : "";
    text += "; upstream " + upstream_text(work, record.upstream) + ", " + explain(record.reason) +
            " at revision " + number(record.revision) + ", according to " + seen.entry;
    return text;
}

/// A sentence about records of one flow that name different upstreams.
std::string describe_disagreement(const evaluation& work, const gathered_flows& gathered) {
    std::set<std::string> names;
    for (const auto& seen : gathered.flows) {
        if (seen.record.end == flow_end::open && seen.record.upstream != no_upstream) {
            names.insert(upstream_text(work, seen.record.upstream));
        }
    }
    if (names.size() < 2) {
        return "";
    }
    return "; entry VMs disagree about the upstream: " + join({names.begin(), names.end()});
}

query_answer run(const evaluation& work, const why_flow_statement& statement) {
    auto gathered = work.source.find_flow(statement.flow);
    std::stable_sort(gathered.flows.begin(), gathered.flows.end(), tells_more);
    auto answer = list_flows(work, gathered);
    if (gathered.flows.empty()) {
        answer.failure = error_kind::not_found;
        answer.message = "none of the " + number(gathered.replied.size()) +
                         " entry VMs that replied knows flow " + to_string(statement.flow) +
                         describe_configuration(work, statement.flow) + describe_reach(gathered) +
                         unreached_text(gathered);
        return answer;
    }
    answer.message = describe_flow(work, gathered.flows.front()) + describe_disagreement(work, gathered) +
                     unreached_text(gathered);
    return answer;
}

/// One record for each end of a flow; several entry VMs record the same one.
std::vector<seen_flow> distinct_ends(std::vector<seen_flow> flows) {
    // Entry VMs notice the end of one flow within seconds of each other; a port is reused after minutes.
    constexpr std::chrono::seconds same_end{10};
    std::stable_sort(flows.begin(), flows.end(), [](const seen_flow& left, const seen_flow& right) {
        return std::tie(left.record.flow, left.record.ended_at) <
               std::tie(right.record.flow, right.record.ended_at);
    });
    const auto same = [&](const seen_flow& left, const seen_flow& right) {
        return left.record.flow == right.record.flow &&
               right.record.ended_at.value_or(wall_time{}) - left.record.ended_at.value_or(wall_time{}) <
                   same_end;
    };
    flows.erase(std::unique(flows.begin(), flows.end(), same), flows.end());
    return flows;
}

std::string group_of(const evaluation& work, const flow_record& record, broken_flows_grouping grouping) {
    switch (grouping) {
        case broken_flows_grouping::cause:
            return to_string(record.end);
        case broken_flows_grouping::upstream:
            return upstream_text(work, record.upstream);
        case broken_flows_grouping::service:
            return service_text(work, record.service);
        case broken_flows_grouping::none:
            break;
    }
    return "";
}

const char* group_column(broken_flows_grouping grouping) noexcept {
    if (grouping == broken_flows_grouping::cause) {
        return "cause";
    }
    return grouping == broken_flows_grouping::upstream ? "upstream" : "service";
}

query_answer run(const evaluation& work, const broken_flows_statement& statement) {
    const wall_time since = resolve_time(statement.last, work.source.now(), time_direction::past);
    auto gathered = work.source.broken_flows(since);
    gathered.flows = distinct_ends(std::move(gathered.flows));
    const bool partial = std::any_of(gathered.replied.begin(), gathered.replied.end(),
                                     [since](const entry_reach& reach) { return reach.broken > since; }) ||
                         !gathered.not_reached.empty();
    const std::string message = (partial ? "at least " : "") + number(gathered.flows.size()) +
                                " broken flows since " + to_rfc3339(since) + describe_reach(gathered) +
                                unreached_text(gathered);
    if (statement.grouping == broken_flows_grouping::none) {
        const std::size_t listed = std::min(gathered.flows.size(), most_broken_listed);
        gathered.flows.resize(listed);
        auto answer = list_flows(work, gathered);
        answer.message = message;
        return answer;
    }
    std::map<std::string, std::uint64_t> counts;
    for (const auto& seen : gathered.flows) {
        ++counts[group_of(work, seen.record, statement.grouping)];
    }
    query_answer answer{.message = message,
                        .columns = {group_column(statement.grouping), "broken flows"},
                        .not_reached = gathered.not_reached};
    for (const auto& [name, count] : counts) {
        answer.rows.push_back({name, number(count)});
    }
    return answer;
}

query_answer run(const evaluation&, const help_statement&) {
    query_answer answer{
        .message = "TIME is a span such as 10m, a time of day in UTC such as 22:00, or RFC 3339",
        .columns = {"command"}};
    for (const auto& line : grammar_lines()) {
        answer.rows.push_back({line});
    }
    return answer;
}

query_answer describe_plan(const planned_change& planned) {
    query_answer answer{.message = "dry run, nothing was changed: '" + planned.summary +
                                   "' would be revision " + number(planned.head.revision),
                        .columns = {"service", "upstream", "state", "weight", "drains at"}};
    for (const auto& value : planned.values) {
        answer.rows.push_back({value.name, "", to_string(value.urgency), "", ""});
        for (const auto& host : value.upstreams) {
            answer.rows.push_back({value.name, host.name, to_string(host.state), number(host.weight),
                                   host.drain_at ? to_rfc3339(*host.drain_at) : ""});
        }
    }
    return answer;
}

query_answer run_change(const evaluation& work, const change_command& command) {
    const auto outcome = work.source.change(command, work.options);
    if (!outcome) {
        return failed(work, outcome.error());
    }
    if (work.options.dry_run) {
        return describe_plan(outcome->planned);
    }
    query_answer answer{.message = "accepted: '" + outcome->committed.summary + "' is revision " +
                                   number(outcome->committed.revision),
                        .columns = {"state", "revision", "change id"},
                        .not_reached = outcome->missing};
    answer.not_reached.insert(answer.not_reached.end(), outcome->unreachable.begin(),
                              outcome->unreachable.end());
    const bool in_force = outcome->waited && outcome->missing.empty();
    if (in_force) {
        answer.message += ", in force at all " + number(outcome->confirmed.size()) + " live entry VMs";
    } else if (outcome->waited) {
        // The change is accepted and will come into force; only the wait has failed.
        answer.failure = error_kind::deadline_exceeded;
        answer.message += ", in force at " + number(outcome->confirmed.size()) +
                          " entry VMs, not reported in time by " + join(outcome->missing);
    }
    if (!outcome->unreachable.empty()) {
        answer.message += "; cannot be reached: " + join(outcome->unreachable);
    }
    answer.rows.push_back({in_force ? "in force" : "accepted", number(outcome->committed.revision),
                           outcome->committed.change_id});
    return answer;
}

query_answer run(const evaluation& work, const drain_statement& statement) {
    drain_change change{.target = statement.target};
    if (statement.at) {
        change.at = resolve_time(*statement.at, work.source.now(), time_direction::future);
    }
    return run_change(work, change);
}

query_answer run(const evaluation& work, const change_statement& statement) {
    return run_change(work, statement.command);
}

bool needs_configuration(const statement& value) noexcept {
    return !is_change(value) && !std::holds_alternative<help_statement>(value) &&
           !std::holds_alternative<show_entries_statement>(value) &&
           !std::holds_alternative<show_changes_statement>(value) &&
           !std::holds_alternative<show_counters_statement>(value);
}

}  // namespace

query_answer evaluate(std::string_view command, const query_source& source, const change_options& options) {
    const auto parsed = parse_statement(command);
    if (!parsed) {
        return {.failure = error_kind::malformed,
                .message = parsed.error().message,
                .position = parsed.error().position,
                .length = parsed.error().length};
    }
    evaluation work{.command = command, .source = source, .options = options, .config = source.config()};
    if (!work.config && needs_configuration(*parsed)) {
        return {.failure = error_kind::unavailable, .message = "this entry VM has no configuration yet"};
    }
    return std::visit([&work](const auto& item) { return run(work, item); }, *parsed);
}

nlohmann::json to_json(const query_answer& answer) {
    nlohmann::json out{{"outcome", answer.failure ? representation_of(*answer.failure).name : "ok"},
                       {"message", answer.message},
                       {"columns", answer.columns},
                       {"rows", answer.rows},
                       {"not_reached", answer.not_reached}};
    if (answer.position) {
        out["position"] = *answer.position;
        out["length"] = answer.length;
    }
    return out;
}

result<query_answer> answer_from_json(const nlohmann::json& json) {
    try {
        query_answer answer{.message = json.at("message").get<std::string>()};
        const auto outcome = json.at("outcome").get<std::string>();
        if (outcome != "ok") {
            answer.failure = error_kind_from_name(outcome);
        }
        answer.columns = json.at("columns").get<std::vector<std::string>>();
        answer.rows = json.at("rows").get<std::vector<std::vector<std::string>>>();
        answer.not_reached = json.at("not_reached").get<std::vector<std::string>>();
        if (json.contains("position")) {
            answer.position = json.at("position").get<std::size_t>();
            answer.length = json.at("length").get<std::size_t>();
        }
        return answer;
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_kind::malformed, failure.what());
    }
}

}  // namespace guavaramp
