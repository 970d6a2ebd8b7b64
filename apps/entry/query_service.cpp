#include "query_service.hpp"

#include <guavaramp/auth/fleet_key.hpp>
#include <guavaramp/base/hash.hpp>
#include <guavaramp/base/rendezvous.hpp>
#include <guavaramp/telemetry/log.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <map>
#include <set>

namespace guavaramp {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t command_threads = 4;
constexpr std::size_t most_waiting_commands = 64;
constexpr std::size_t most_waiting_questions = 256;
constexpr std::size_t ended_ring_size = 4096;
// A host that dies breaks its 2,000 connections at once.
constexpr std::size_t broken_ring_size = 16'384;
constexpr std::size_t most_unsent_copies = 16'384;
constexpr std::size_t most_copies_a_batch = 1000;
constexpr std::size_t copy_attempts = 3;
constexpr std::size_t change_history_size = 1024;
constexpr std::size_t most_broken_in_answer = 10'000;
// Up to this fleet size a question about a flow goes to all entry VMs, above it to the flow's candidates.
constexpr std::size_t ask_all_up_to = 32;
constexpr std::size_t candidates_per_domain = 3;
constexpr milliseconds change_deadline{5000};
// Twice the bound of 4 s for a change to come into force everywhere, and some room for slow tests.
constexpr milliseconds in_force_deadline{10'000};
constexpr milliseconds in_force_poll{10};
constexpr milliseconds collect_deadline{1500};
constexpr milliseconds records_period{50};
constexpr int copies_every_periods = 4;
constexpr std::int64_t peer_clock_tolerance_ms = 10'000;

constexpr const char* time_header = "x-fleet-time";
constexpr const char* tag_header = "x-fleet-tag";
constexpr const char* history_path = "/peer/history";

wall_time wall_now() { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); }

std::span<const std::byte> as_bytes(const std::string& text) { return std::as_bytes(std::span{text}); }

std::string to_hex(const authentication_tag& tag) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto value : tag) {
        text += digits[std::to_integer<std::size_t>(value) >> 4U];
        text += digits[std::to_integer<std::size_t>(value) & 15U];
    }
    return text;
}

std::vector<std::byte> from_hex(const std::string& text) {
    std::vector<std::byte> bytes;
    const auto digit = [](char letter) -> unsigned {
        return letter >= 'a' ? static_cast<unsigned>(letter - 'a') + 10U
                             : static_cast<unsigned>(letter - '0');
    };
    for (std::size_t index = 0; index + 1 < text.size(); index += 2) {
        bytes.push_back(static_cast<std::byte>((digit(text[index]) << 4U) | (digit(text[index + 1]) & 15U)));
    }
    return bytes;
}

std::string header(const http_request& request, const char* name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
}

bool is_from_fleet(const http_request& request, const fleet_keys& keys) {
    const std::string time = header(request, time_header);
    std::int64_t sent_ms = 0;
    const auto [end, code] = std::from_chars(time.data(), time.data() + time.size(), sent_ms);
    if (code != std::errc{} || end != time.data() + time.size()) {
        return false;
    }
    const auto age_ms = to_unix_ms(wall_now()) - sent_ms;
    if (age_ms > peer_clock_tolerance_ms || age_ms < -peer_clock_tolerance_ms) {
        return false;
    }
    const auto tag = from_hex(header(request, tag_header));
    return verify_authentication_tag(keys, tag,
                                     {as_bytes(request.path), as_bytes(time), as_bytes(request.body)});
}

http_response to_response(const query_answer& answer) {
    return {.status = answer.failure ? representation_of(*answer.failure).http_status : 200,
            .body = to_json(answer).dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response failed_answer(error_kind kind, const std::string& message) {
    return to_response({.failure = kind, .message = message});
}

std::vector<member> in_rendezvous_order(const std::vector<member>& members, std::uint64_t item,
                                        std::size_t count) {
    std::vector<rendezvous_node> nodes;
    nodes.reserve(members.size());
    for (const auto& value : members) {
        nodes.push_back({.key = rendezvous_key(value.address)});
    }
    std::vector<member> ordered;
    for (const auto index : rendezvous_order(nodes, item, count)) {
        ordered.push_back(members[index]);
    }
    return ordered;
}

json reply_to_json(const gathered_flows& local) {
    json records = json::array();
    for (const auto& seen : local.flows) {
        records.push_back(to_json(seen.record));
    }
    return {{"records", records},
            {"reaches_back_ms", to_unix_ms(local.replied.front().ended)},
            {"broken_reaches_back_ms", to_unix_ms(local.replied.front().broken)}};
}

/// Adds a peer's reply; false when it cannot be read, which counts as no reply.
bool add_reply(gathered_flows& gathered, const std::string& entry, const std::string& body) {
    const auto reply = json::parse(body, nullptr, false);
    try {
        std::vector<seen_flow> flows;
        for (const auto& item : reply.at("records")) {
            auto record = flow_record_from_json(item);
            if (!record) {
                return false;
            }
            flows.push_back({.entry = entry, .record = *std::move(record)});
        }
        gathered.replied.push_back(
            {.entry = entry,
             .ended = from_unix_ms(reply.at("reaches_back_ms").get<std::int64_t>()),
             .broken = from_unix_ms(reply.at("broken_reaches_back_ms").get<std::int64_t>())});
        gathered.flows.insert(gathered.flows.end(), flows.begin(), flows.end());
        return true;
    } catch (const json::exception&) {
        return false;
    }
}

json flow_question(const flow_key& flow) {
    return {{"question", "flow"},
            {"caller", to_string(flow.caller)},
            {"service", to_string(flow.service)},
            {"protocol", to_string(flow.protocol)}};
}

/// Inverse of `flow_question`; throws json::exception when a key is missing.
std::optional<flow_key> flow_of_question(const json& question) {
    const auto caller = parse_endpoint(question.at("caller").get<std::string>());
    const auto service = parse_endpoint(question.at("service").get<std::string>());
    const auto protocol = parse_transport(question.at("protocol").get<std::string>());
    if (!caller || !service || !protocol) {
        return std::nullopt;
    }
    return flow_key{.caller = *caller, .service = *service, .protocol = *protocol};
}

/// Answers of several peers as they come in.
struct gathering {
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t waiting{0};
    gathered_flows flows;
};

/// Turns an exception into an answer of kind `internal`.
template <typename Answer>
query_answer guarded(Answer answer) {
    try {
        return answer();
    } catch (const std::exception& failure) {
        return {.failure = error_kind::internal, .message = failure.what()};
    }
}

void merge(gathered_flows& into, gathered_flows from) {
    into.flows.insert(into.flows.end(), from.flows.begin(), from.flows.end());
    into.replied.insert(into.replied.end(), from.replied.begin(), from.replied.end());
    into.not_reached.insert(into.not_reached.end(), from.not_reached.begin(), from.not_reached.end());
}

}  // namespace

query_service::query_service(entry_context& context, query_dependencies dependencies)
    : context_(context),
      dependencies_(std::move(dependencies)),
      traces_(mix_hashes(hash_bytes(std::as_bytes(std::span{context.settings.address.bytes})),
                         context.incarnation)),
      self_(to_string(context.settings.address)),
      ended_(ended_ring_size),
      broken_(broken_ring_size),
      history_({}, wall_now()),
      changes_(change_history_size, wall_now()),
      lost_records_(context.counters.get("flow_records_lost_total",
                                         "Records of ended flows dropped because the ring was full")),
      lost_copies_(context.counters.get("flow_record_copies_lost_total",
                                        "Records of broken flows of which no other entry VM took a copy")),
      commands_(context.counters.get("commands_total", "Operators' commands answered")),
      refused_(context.counters.get("unauthenticated_requests_total",
                                    "Commands and questions with a missing or wrong key")),
      peer_tasks_(1, most_waiting_questions),
      command_tasks_(command_threads, most_waiting_commands) {
    add_routes();
    records_thread_ = std::thread{[this] {
        name_thread("records");
        run_records();
    }};
}

query_service::~query_service() {
    stopping_ = true;
    records_thread_.join();
}

void query_service::record_ended(const flow_record& record) {
    const bool kept = is_broken(record.end) ? broken_.push(record) : ended_.push(record);
    if (!kept) {
        lost_records_.add();
    }
}

void query_service::add_routes() {
    context_.router.add("POST", "/v1/query",
                        [this](const http_request& request, const http_responder& respond) {
                            answer_command(request, respond);
                        });
    context_.router.add("POST", history_path,
                        [this](const http_request& request, const http_responder& respond) {
                            answer_peer(request, respond);
                        });
    context_.router.add("GET", "/v1/traces",
                        [this](const http_request& request, const http_responder& respond) {
                            answer_traces(request, respond);
                        });
}

void query_service::answer_command(const http_request& request, const http_responder& respond) {
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("command") || !body["command"].is_string()) {
        respond(failed_answer(error_kind::malformed, R"(expected {"command": "..."})"));
        return;
    }
    const auto flag = [&body](const char* key) {
        return body.contains(key) && body[key].is_boolean() && body[key].get<bool>();
    };
    const auto command = body["command"].get<std::string>();
    const auto key = body.contains("key") && body["key"].is_string() ? body["key"].get<std::string>() : "";
    change_options options{.dry_run = flag("dry_run"), .wait = flag("wait")};
    if (body.contains("if_revision")) {
        if (!body["if_revision"].is_number_unsigned()) {
            respond(failed_answer(error_kind::malformed, "if_revision: expected a number"));
            return;
        }
        options.if_revision = config_revision{body["if_revision"].get<std::uint64_t>()};
    }
    const auto parsed = parse_statement(command);
    const bool needs_key = !context_.settings.open_questions || (parsed && is_change(*parsed));
    if (needs_key && !secrets_equal(key, context_.settings.operator_key)) {
        refused_.add();
        respond(failed_answer(error_kind::unauthenticated, "the operator key is missing or wrong"));
        return;
    }
    const auto parent = parse_trace_context(header(request, trace_header));
    const bool queued = command_tasks_.start(
        [this, command, options, parent, respond] { respond(evaluate_command(command, options, parent)); });
    if (!queued) {
        respond(failed_answer(error_kind::overloaded, "too many commands wait at this entry VM"));
    }
}

http_response query_service::evaluate_command(const std::string& command, const change_options& options,
                                              std::optional<trace_context> parent) {
    trace_span span{traces_, "command", parent};
    commands_.add();
    take_ended();
    // A fault in an answer must not end the daemon, which forwards packets.
    const auto answer = guarded([&] { return evaluate(command, make_source(span.context()), options); });
    span.set_tag("outcome", answer.failure ? std::string{representation_of(*answer.failure).name} : "ok");
    return to_response(answer);
}

query_source query_service::make_source(const trace_context& trace) {
    return {
        .now = wall_now,
        .config = [this] { return context_.config.get(); },
        .entries = [this] { return entries(); },
        .changes =
            [this](wall_time since) {
                const std::lock_guard lock{history_mutex_};
                return change_listing{.changes = changes_.since(since),
                                      .complete = changes_.complete_since(since)};
            },
        .counters =
            [this] {
                const auto all = json::parse(context_.counters.to_json());
                std::vector<counter_value> values;
                for (const auto& [name, value] : all.items()) {
                    values.push_back({.name = name, .value = value.get<std::uint64_t>()});
                }
                return values;
            },
        .find_flow = [this, trace](const flow_key& flow) { return find_flow(flow, trace); },
        .list_flows =
            [this, trace](service_id service, upstream_id upstream, std::size_t limit) {
                const json question{{"question", "service"},
                                    {"service", static_cast<std::uint32_t>(service)},
                                    {"upstream", static_cast<std::uint32_t>(upstream)},
                                    {"limit", limit}};
                auto gathered = gather(question.dump(), others(), trace);
                gathered.flows.resize(std::min(gathered.flows.size(), limit));
                return gathered;
            },
        .broken_flows =
            [this, trace](wall_time since) {
                const json question{{"question", "broken"}, {"since_ms", to_unix_ms(since)}};
                return gather(question.dump(), others(), trace);
            },
        .change = [this](const change_command& command,
                         const change_options& options) { return change(command, options); },
    };
}

void query_service::answer_peer(const http_request& request, const http_responder& respond) {
    if (const auto peer = parse_ip_address(request.peer_address); peer && is_blocked(*peer)) {
        return;  // the peer's call ends at its deadline, as in a partition
    }
    if (!is_from_fleet(request, context_.settings.keys)) {
        refused_.add();
        respond(error_response({.kind = error_kind::unauthenticated, .message = "the fleet key is wrong"}));
        return;
    }
    const auto parent = parse_trace_context(header(request, trace_header));
    const bool queued = peer_tasks_.start([this, body = request.body, parent, respond] {
        trace_span span{traces_, "answer_peer", parent};
        try {
            respond(answer_question(body));
        } catch (const std::exception& failure) {
            respond(error_response({.kind = error_kind::internal, .message = failure.what()}));
        }
    });
    if (!queued) {
        respond(error_response({.kind = error_kind::overloaded, .message = "too many questions wait"}));
    }
}

void query_service::answer_traces(const http_request& request, const http_responder& respond) {
    if (!secrets_equal(header(request, "x-operator-key"), context_.settings.operator_key)) {
        refused_.add();
        respond(
            error_response({.kind = error_kind::unauthenticated, .message = "the operator key is wrong"}));
        return;
    }
    respond({.body = traces_.to_json()});
}

http_response query_service::answer_question(const std::string& body) {
    const auto question = json::parse(body, nullptr, false);
    if (question.is_object() && question.contains("store") && question["store"].is_array()) {
        const std::lock_guard lock{history_mutex_};
        for (const auto& item : question["store"]) {
            const auto record = flow_record_from_json(item);
            if (record && record->ended_at) {
                history_.add(*record);
            }
        }
        return {.body = R"({"stored":true})"};
    }
    const auto local = local_answer(body);
    if (local.replied.empty()) {
        return error_response({.kind = error_kind::malformed, .message = "the question cannot be read"});
    }
    return {.body = reply_to_json(local).dump()};
}

std::vector<flow_record> query_service::records_of_flow(const flow_key& flow) {
    std::vector<flow_record> records;
    const auto open = dependencies_.flows.find_flow ? dependencies_.flows.find_flow(flow) : std::nullopt;
    if (open) {
        records.push_back(*open);
    }
    // After the table, so that a flow that ends between the two is found in the history.
    take_ended();
    const std::lock_guard lock{history_mutex_};
    const auto ended = history_.find(flow);
    records.insert(records.end(), ended.begin(), ended.end());
    return records;
}

std::vector<flow_record> query_service::records_of_service(service_id service, upstream_id upstream,
                                                           std::size_t limit) {
    std::vector<flow_record> records;
    if (dependencies_.flows.list_flows) {
        records = dependencies_.flows.list_flows(service, upstream, limit);
    }
    take_ended();
    const std::size_t left = limit - std::min(limit, records.size());
    const std::lock_guard lock{history_mutex_};
    const auto ended = history_.of_service(service, upstream, left);
    records.insert(records.end(), ended.begin(), ended.end());
    return records;
}

std::optional<std::vector<flow_record>> query_service::records_for(const std::string& question_text) {
    const auto question = json::parse(question_text, nullptr, false);
    try {
        const auto kind = question.at("question").get<std::string>();
        if (kind == "flow") {
            const auto flow = flow_of_question(question);
            return flow ? std::optional{records_of_flow(*flow)} : std::nullopt;
        }
        if (kind == "service") {
            const auto limit = std::min(question.at("limit").get<std::size_t>(), most_listed_flows);
            return records_of_service(service_id{question.at("service").get<std::uint32_t>()},
                                      upstream_id{question.at("upstream").get<std::uint32_t>()}, limit);
        }
        if (kind == "broken") {
            const auto since = from_unix_ms(question.at("since_ms").get<std::int64_t>());
            const std::lock_guard lock{history_mutex_};
            return history_.broken_since(since, most_broken_in_answer);
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

gathered_flows query_service::local_answer(const std::string& question) {
    take_ended();
    const auto records = records_for(question);
    if (!records) {
        return {};
    }
    gathered_flows out;
    for (const auto& record : *records) {
        out.flows.push_back({.entry = self_, .record = record});
    }
    const std::lock_guard lock{history_mutex_};
    out.replied.push_back(
        {.entry = self_, .ended = history_.reaches_back_to(), .broken = history_.broken_reaches_back_to()});
    if (records->size() >= most_broken_in_answer) {
        // Older broken flows may not have fitted into the answer.
        out.replied.front().broken = records->back().ended_at.value_or(wall_time{});
    }
    return out;
}

member_list query_service::entries() const {
    const auto known = context_.members.get();
    const auto config = context_.config.get();
    member_list out = known ? *known : member_list{};
    const auto own = std::find_if(out.members.begin(), out.members.end(), [this](const member& value) {
        return value.address == context_.settings.address;
    });
    member self{.address = context_.settings.address,
                .failure_domain = context_.settings.failure_domain,
                .region = context_.settings.region,
                .incarnation = context_.incarnation,
                .state = context_.leaving ? member_state::leaving : member_state::alive,
                .revision = config ? config->revision() : config_revision{0}};
    if (own == out.members.end()) {
        out.members.push_back(std::move(self));
    } else {
        own->revision = self.revision;
    }
    return out;
}

std::vector<member> query_service::others() const {
    auto all = entries().members;
    std::erase_if(all, [this](const member& value) { return value.address == context_.settings.address; });
    return all;
}

std::vector<member> query_service::candidates_of(const flow_key& flow) const {
    auto all = others();
    if (all.size() <= ask_all_up_to) {
        return all;
    }
    std::map<std::string, std::vector<member>> by_domain;
    for (const auto& value : all) {
        by_domain[value.failure_domain].push_back(value);
    }
    std::vector<member> candidates;
    for (const auto& [unused, members] : by_domain) {
        const auto first = in_rendezvous_order(members, hash_flow(flow), candidates_per_domain);
        candidates.insert(candidates.end(), first.begin(), first.end());
    }
    return candidates;
}

http_call query_service::peer_call(const member& peer, const std::string& body,
                                   const trace_context* trace) const {
    const bool secure = !context_.settings.certificate_file.empty();
    const endpoint target{.address = peer.address, .port = context_.settings.ports.http};
    const std::string time = std::to_string(to_unix_ms(wall_now()));
    const std::string path = history_path;
    const auto tag =
        compute_authentication_tag(context_.settings.keys, {as_bytes(path), as_bytes(time), as_bytes(body)});
    http_call call{.method = "POST",
                   .url = (secure ? "https://" : "http://") + to_string(target) + path,
                   .body = body,
                   .headers = {{time_header, time}, {tag_header, to_hex(tag)}},
                   .deadline = std::chrono::steady_clock::now() + dependencies_.peer_timeout,
                   .ca_file = context_.settings.certificate_file};
    if (trace != nullptr) {
        call.headers.emplace(trace_header, to_string(*trace));
    }
    return call;
}

gathered_flows query_service::gather(const std::string& question, const std::vector<member>& peers,
                                     const trace_context& trace) {
    const auto state = std::make_shared<gathering>();
    for (const auto& peer : peers) {
        const std::string name = to_string(peer.address);
        if (peer.state == member_state::dead || is_blocked(peer.address)) {
            // It may be alive behind a partition and know more.
            const std::lock_guard lock{state->mutex};
            state->flows.not_reached.push_back(name);
            continue;
        }
        auto span = std::make_shared<trace_span>(traces_, "ask_peer", trace);
        span->set_tag("peer", name);
        {
            const std::lock_guard lock{state->mutex};
            ++state->waiting;
        }
        context_.client.start(peer_call(peer, question, &span->context()),
                              [state, name, span](const http_outcome& outcome) mutable {
                                  const bool ok = outcome.response && outcome.response->status == 200;
                                  span->set_tag("outcome", ok ? "ok" : "no reply");
                                  span.reset();  // the tracer may be gone once the waiter goes on
                                  const std::lock_guard lock{state->mutex};
                                  if (!ok || !add_reply(state->flows, name, outcome.response->body)) {
                                      state->flows.not_reached.push_back(name);
                                  }
                                  --state->waiting;
                                  state->changed.notify_all();
                              });
    }
    auto local = local_answer(question);
    std::unique_lock lock{state->mutex};
    state->changed.wait(lock, [&state] { return state->waiting == 0; });
    merge(local, std::move(state->flows));
    std::sort(local.not_reached.begin(), local.not_reached.end());
    return local;
}

gathered_flows query_service::find_flow(const flow_key& flow, const trace_context& trace) {
    const std::string question = flow_question(flow).dump();
    const auto candidates = candidates_of(flow);
    auto gathered = gather(question, candidates, trace);
    // Records name the owner, which may be an entry VM that is no candidate by the current list.
    std::set<ip_address> asked{context_.settings.address};
    for (const auto& peer : candidates) {
        asked.insert(peer.address);
    }
    std::vector<member> owners;
    for (const auto& seen : gathered.flows) {
        const bool known = seen.record.owner != ip_address{};
        if (known && asked.insert(seen.record.owner).second) {
            owners.push_back({.address = seen.record.owner});
        }
    }
    if (!owners.empty()) {
        auto more = gather(question, owners, trace);
        std::erase_if(more.flows, [this](const seen_flow& seen) { return seen.entry == self_; });
        std::erase_if(more.replied, [this](const entry_reach& reach) { return reach.entry == self_; });
        merge(gathered, std::move(more));
    }
    return gathered;
}

result<change_facts> query_service::facts_for(const change_command& command, mono_time deadline) {
    change_facts facts{.now = wall_now()};
    facts.change_id =
        self_ + "-" + std::to_string(context_.incarnation) + "-" + std::to_string(next_change_++);
    if (!needs_entries(command)) {
        return facts;
    }
    const auto listed = dependencies_.store->vms(deadline);
    if (!listed) {
        return tl::make_unexpected(listed.error());
    }
    collect_revisions(*listed);
    std::map<std::string, config_revision> reported;
    for (const auto& value : entries().members) {
        reported[to_string(value.address)] = value.revision;
    }
    for (const auto& vm : *listed) {
        const auto found = reported.find(vm.address);
        facts.entries.push_back(
            {.entry = vm.address, .revision = found == reported.end() ? config_revision{0} : found->second});
    }
    return facts;
}

result<change_outcome> query_service::change(const change_command& command, const change_options& options) {
    if (dependencies_.store == nullptr) {
        return fail(error_kind::unavailable, "this entry VM has no connection to the platform");
    }
    const auto deadline = std::chrono::steady_clock::now() + change_deadline;
    const auto snapshot = context_.config.get();
    const configuration known = snapshot ? snapshot->value() : configuration{};
    auto facts = facts_for(command, deadline);
    if (!facts) {
        return tl::make_unexpected(facts.error());
    }
    facts->if_revision = options.if_revision;
    change_outcome outcome;
    if (options.dry_run) {
        const auto base = read_configuration(*dependencies_.store, known, deadline);
        if (!base) {
            return tl::make_unexpected(base.error());
        }
        auto planned = plan_change(base->value, command, *facts);
        if (!planned) {
            return tl::make_unexpected(planned.error());
        }
        outcome.planned = *std::move(planned);
        return outcome;
    }
    const commit_clock clock{.now = [] { return std::chrono::steady_clock::now(); },
                             .pause = [](milliseconds span) { std::this_thread::sleep_for(span); }};
    auto committed = commit_change(*dependencies_.store, known, command, *facts, deadline, clock);
    if (!committed) {
        return tl::make_unexpected(committed.error());
    }
    outcome.committed = *std::move(committed);
    log_event(log_level::info, "change_accepted",
              {{"change", outcome.committed.summary}, {"change_id", outcome.committed.change_id}});
    announce(outcome.committed);
    if (options.wait) {
        const auto listed = dependencies_.store->vms(deadline);
        wait_in_force(outcome, listed ? *listed : std::vector<listed_vm>{});
    }
    return outcome;
}

/// Makes the control thread apply and spread an accepted change.
void query_service::announce(committed_change& committed) const {
    if (dependencies_.accept && committed.accepted) {
        dependencies_.accept(*std::move(committed.accepted));
    } else if (dependencies_.refresh_now) {
        dependencies_.refresh_now();
    }
    if (dependencies_.confirm) {
        dependencies_.confirm(committed.revision);
    }
}

/// Waits for a short time until the live entry VMs of the VM list have reported the revision in force here.
/// Revisions are collected on demand; without this, a change accepted elsewhere would never count as
/// reported.
void query_service::collect_revisions(const std::vector<listed_vm>& listed) const {
    const auto config = context_.config.get();
    if (!dependencies_.confirm || !config) {
        return;
    }
    dependencies_.confirm(config->revision());
    const auto deadline = std::chrono::steady_clock::now() + collect_deadline;
    const auto is_awaited = [&](const member& value) {
        const bool named = std::any_of(listed.begin(), listed.end(), [&](const listed_vm& vm) {
            return vm.address == to_string(value.address);
        });
        return named && value.state != member_state::dead && value.revision < config->revision();
    };
    while (!stopping_ && std::chrono::steady_clock::now() < deadline) {
        const auto known = entries().members;
        if (std::none_of(known.begin(), known.end(), is_awaited)) {
            return;
        }
        std::this_thread::sleep_for(in_force_poll);
    }
}

bool query_service::is_blocked(const ip_address& address) const {
    return dependencies_.is_blocked && dependencies_.is_blocked(address);
}

void query_service::wait_in_force(change_outcome& outcome, const std::vector<listed_vm>& listed) const {
    const auto deadline = std::chrono::steady_clock::now() + in_force_deadline;
    outcome.waited = true;
    while (true) {
        outcome.confirmed.clear();
        outcome.missing.clear();
        outcome.unreachable.clear();
        const auto members = entries().members;
        for (const auto& value : members) {
            if (value.revision >= outcome.committed.revision) {
                outcome.confirmed.push_back(to_string(value.address));
            } else if (value.state == member_state::dead) {
                outcome.unreachable.push_back(to_string(value.address));
            } else if (value.state != member_state::leaving) {
                outcome.missing.push_back(to_string(value.address));
            }
        }
        // An entry VM of the VM list that membership has not met yet is named like one that cannot be
        // reached.
        for (const auto& vm : listed) {
            const bool known = std::any_of(members.begin(), members.end(), [&vm](const member& value) {
                return to_string(value.address) == vm.address;
            });
            if (!known && !vm.leaving) {
                outcome.unreachable.push_back(vm.address);
            }
        }
        if (outcome.missing.empty() || stopping_ || std::chrono::steady_clock::now() >= deadline) {
            return;
        }
        std::this_thread::sleep_for(in_force_poll);
    }
}

void query_service::run_records() {
    std::uint64_t config_version = 0;
    for (int period = 0; !stopping_; ++period) {
        std::this_thread::sleep_for(records_period);
        take_ended();
        if (context_.config.version() != config_version) {
            config_version = context_.config.version();
            const auto snapshot = context_.config.get();
            const std::lock_guard lock{history_mutex_};
            changes_.observe(snapshot->value().head, wall_now());
        }
        if (period % copies_every_periods == 0) {
            send_broken();
        }
    }
}

void query_service::take_ended() {
    const std::lock_guard lock{history_mutex_};
    flow_record record;
    while (ended_.pop(record)) {
        history_.add(record);
    }
    while (broken_.pop(record)) {
        history_.add(record);
        const std::lock_guard copies{broken_mutex_};
        if (unsent_.size() < most_unsent_copies) {
            unsent_.push_back({.record = record});
        } else {
            lost_copies_.add();
        }
    }
}

std::optional<member> query_service::keeper_of(const broken_copy& copy) const {
    auto peers = others();
    std::erase_if(peers, [this](const member& value) {
        return value.state == member_state::dead || value.state == member_state::leaving ||
               is_blocked(value.address);
    });
    auto elsewhere = peers;
    std::erase_if(elsewhere, [this](const member& value) {
        return value.failure_domain == context_.settings.failure_domain;
    });
    const auto& allowed = elsewhere.empty() ? peers : elsewhere;
    const auto ordered = in_rendezvous_order(allowed, hash_flow(copy.record.flow), copy_attempts);
    if (ordered.empty()) {
        return std::nullopt;
    }
    return ordered[copy.attempt % ordered.size()];
}

void query_service::send_broken() {
    std::vector<broken_copy> copies;
    {
        const std::lock_guard lock{broken_mutex_};
        copies.swap(unsent_);
    }
    std::map<ip_address, std::pair<member, std::vector<broken_copy>>> batches;
    for (const auto& copy : copies) {
        const auto keeper = keeper_of(copy);
        if (!keeper) {
            lost_copies_.add();
            continue;
        }
        auto& batch = batches[keeper->address];
        batch.first = *keeper;
        batch.second.push_back(copy);
        if (batch.second.size() == most_copies_a_batch) {
            send_batch(batch.first, std::move(batch.second));
            batch.second.clear();
        }
    }
    for (auto& [unused, batch] : batches) {
        if (!batch.second.empty()) {
            send_batch(batch.first, std::move(batch.second));
        }
    }
}

void query_service::send_batch(const member& peer, std::vector<broken_copy> batch) {
    json records = json::array();
    for (const auto& copy : batch) {
        records.push_back(to_json(copy.record));
    }
    const auto outcome = context_.client.run(peer_call(peer, json{{"store", records}}.dump(), nullptr));
    if (outcome.response && outcome.response->status == 200) {
        return;
    }
    const std::lock_guard lock{broken_mutex_};
    for (auto& copy : batch) {
        if (++copy.attempt < copy_attempts) {
            unsent_.push_back(copy);
        } else {
            lost_copies_.add();
        }
    }
}

}  // namespace guavaramp
