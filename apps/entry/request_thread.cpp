#include "request_thread.hpp"

#include "owned_requests.hpp"

#include <guavaramp/auth/peer_call.hpp>
#include <guavaramp/base/spsc_ring.hpp>
#include <guavaramp/requests/owner_history.hpp>
#include <guavaramp/requests/request.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <mutex>
#include <semaphore>
#include <thread>
#include <unordered_map>

namespace guavaramp {
namespace {

constexpr std::size_t ring_capacity = 16384;
constexpr std::size_t events_per_round = 256;
constexpr auto idle_wait = std::chrono::milliseconds{20};
// Pauses of the limits end at any time while requests are queued.
constexpr auto queued_wait = std::chrono::milliseconds{2};
constexpr std::int64_t refresh_period_ms = 100;
// The fleet suspects a silent daemon after about a second and may then give its ids to others.
constexpr std::int64_t pause_ms = 1000;
// Peers need this long to hear of a membership change; a forwarded request is offered again meanwhile.
constexpr std::int64_t forward_again_ms = 100;
constexpr std::int64_t forward_give_up_ms = 3000;
constexpr std::int64_t answer_travel_ms = 300;
constexpr std::int64_t cancel_timeout_ms = 1000;
// Longest way of a request from the caller's clock reading to its owner that a leaving daemon waits for.
constexpr std::int64_t leave_margin_ms = 500;

constexpr const char* requests_path = "/peer/requests";
constexpr const char* cancel_path = "/peer/requests/cancel";

std::int64_t now_unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

clock_reading read_clocks() { return {.mono = std::chrono::steady_clock::now(), .unix_ms = now_unix_ms()}; }

mono_time mono_at(std::int64_t unix_ms) {
    return std::chrono::steady_clock::now() + std::chrono::milliseconds{unix_ms - now_unix_ms()};
}

enum class event_kind : std::uint8_t {
    caller_request,
    caller_cancel,
    peer_request,
    peer_cancel,
    forward_ended,  ///< the call to the owner ended
    run_ended       ///< the call to the upstream ended
};

struct event {
    event_kind kind{event_kind::caller_request};
    http_request request;
    http_responder respond;
    std::uint64_t number{0};  ///< waiter of a forward, ticket of a sending
    http_outcome outcome{};
};

/// Events for the request thread. It outlives the thread in the callbacks of the HTTP client.
struct event_inbox {
    spsc_ring<event> from_server{ring_capacity};
    spsc_ring<event> from_client{ring_capacity};
    std::mutex server_mutex;  ///< the HTTP server may run handlers on several threads
    std::counting_semaphore<> arrived{0};
    std::atomic<bool> closed{false};

    bool push_from_server(event item) {
        {
            const std::lock_guard lock{server_mutex};
            if (!from_server.push(std::move(item))) {
                return false;
            }
        }
        arrived.release();
        return true;
    }

    /// Waits for room: a lost completion would leave its request without an outcome.
    void push_from_client(const event& item) {
        while (!closed && !from_client.push(item)) {
            std::this_thread::yield();
        }
        arrived.release();
    }
};

http_response to_response(const request_answer& answer) { return {.body = to_json_text(answer)}; }

request_answer unknown_answer(const char* reason) {
    return {.outcome = request_outcome::outcome_unknown, .reason = reason};
}

}  // namespace

struct request_thread::state {
    /// Who waits for an answer here: a caller or the entry VM that it asked.
    struct waiter {
        http_responder respond;
        bool is_peer{false};
        work_class urgency{work_class::normal};
    };

    struct forward {
        client_request request;
        std::int64_t received_ms{0};
        std::int64_t again_at_ms{0};  ///< 0 while a call is in progress
    };

    explicit state(entry_context& given)
        : context(given),
          owners(given.settings.address, given.incarnation),
          requests({.hedge_limit = given.settings.hedge_limit,
                    .admission = {.enabled = given.settings.admission},
                    .seed = given.incarnation},
                   given.counters, make_ports()) {}

    entry_context& context;
    http_client client;  ///< of its own, so that a flood does not delay the calls of other duties
    std::shared_ptr<event_inbox> inbox{std::make_shared<event_inbox>()};
    owner_history owners;
    owned_requests requests;
    replay_guard guard;
    retry_budget forward_retries;
    std::shared_ptr<const config_snapshot> config;
    std::uint64_t config_version{0};
    std::uint64_t members_version{0};
    bool was_leaving{false};
    std::int64_t leaving_since_ms{0};
    std::int64_t refresh_at_ms{0};
    std::uint64_t last_number{0};  ///< of a waiter
    std::uint64_t last_sequence{0};
    std::unordered_map<std::uint64_t, waiter> waiters;
    std::unordered_map<std::uint64_t, forward> forwards;
    std::atomic<bool> stopping{false};
    std::thread thread;

    [[nodiscard]] owned_request_ports make_ports();
    void add_routes();
    void add_route(const char* path, event_kind kind);
    void run();
    void refresh(std::int64_t now_ms);
    void refresh_members(std::int64_t now_ms);
    void handle(event& item);
    void handle_request(event& item, bool is_peer);
    void handle_cancel(const event& item, bool is_peer);
    [[nodiscard]] bool check_peer(const event& item);
    std::uint64_t add_waiter(http_responder respond, bool is_peer, work_class urgency);
    void answer(std::uint64_t number, const request_answer& outcome);
    void own(const client_request& request, std::uint64_t number);
    void send_forward(std::uint64_t number, forward& item);
    void end_forward(std::uint64_t number, const http_outcome& outcome);
    void give_up_forward(std::uint64_t number, const forward& item, bool owner_saw_it);
    void forward_again(std::int64_t now_ms);
    void publish_gauges();
    void call_peer(const ip_address& peer, const char* path, const std::string& body,
                   std::int64_t deadline_ms, std::function<void(http_outcome)> done);
    [[nodiscard]] counter& count(const char* name, const char* help, const std::string& reason) {
        return context.counters.get(name, help, reason);
    }
};

owned_request_ports request_thread::state::make_ports() {
    return {
        .start =
            [this](http_call call, std::uint64_t ticket) {
                return client.start(std::move(call), [box = inbox, ticket](http_outcome outcome) {
                    box->push_from_client(
                        {.kind = event_kind::run_ended, .number = ticket, .outcome = std::move(outcome)});
                });
            },
        .stop = [this](std::uint64_t call) { client.cancel(call); },
        .notify = [this](http_call call) { client.start(std::move(call), [](const http_outcome&) {}); },
        .answer = [this](std::uint64_t number, const request_answer& outcome) { answer(number, outcome); }};
}

void request_thread::state::add_route(const char* path, event_kind kind) {
    context.router.add(
        "POST", path, [box = inbox, kind](http_request request, const http_responder& respond) {
            if (!box->push_from_server({.kind = kind, .request = std::move(request), .respond = respond})) {
                respond(error_response({.kind = error_kind::overloaded,
                                        .message = "the request ring of this entry VM is full"}));
            }
        });
}

void request_thread::state::add_routes() {
    add_route("/v1/requests", event_kind::caller_request);
    add_route("/v1/requests/cancel", event_kind::caller_cancel);
    add_route(requests_path, event_kind::peer_request);
    add_route(cancel_path, event_kind::peer_cancel);
}

void request_thread::state::run() {
    std::int64_t last_ms = now_unix_ms();
    while (!stopping) {
        static_cast<void>(inbox->arrived.try_acquire_for(requests.is_waiting() ? queued_wait : idle_wait));
        const std::int64_t now_ms = now_unix_ms();
        if (now_ms - last_ms > pause_ms) {
            owners.record_pause(now_ms);
            requests.discard_measurements(read_clocks());
            count("request_pauses_total", "Times that the request thread did not run for over a second", "")
                .add();
        }
        last_ms = now_ms;
        refresh(now_ms);
        event item;
        for (std::size_t taken = 0; taken < events_per_round && inbox->from_client.pop(item); ++taken) {
            handle(item);
        }
        for (std::size_t taken = 0; taken < events_per_round && inbox->from_server.pop(item); ++taken) {
            handle(item);
        }
        requests.expire(read_clocks());
        forward_again(now_ms);
        requests.send_due(read_clocks());
        publish_gauges();
    }
}

void request_thread::state::refresh(std::int64_t now_ms) {
    refresh_members(now_ms);
    const bool config_changed = context.config.version() != config_version;
    if (config_changed) {
        config_version = context.config.version();
        config = context.config.get();
    }
    // Planned drains begin between configuration changes.
    if (config != nullptr && (config_changed || now_ms >= refresh_at_ms)) {
        refresh_at_ms = now_ms + refresh_period_ms;
        requests.set_config(config, read_clocks());
    }
}

void request_thread::state::refresh_members(std::int64_t now_ms) {
    const bool leaving = context.leaving;
    if (context.members.version() == members_version && leaving == was_leaving) {
        return;
    }
    members_version = context.members.version();
    if (leaving && !was_leaving) {
        leaving_since_ms = now_ms;
    }
    was_leaving = leaving;
    const auto published_list = context.members.get();
    member_list list = published_list ? *published_list : member_list{};
    if (list.members.empty()) {
        return;
    }
    for (auto& item : list.members) {
        if (leaving && item.address == context.settings.address) {
            item.state = member_state::leaving;
        }
    }
    owners.update(list, now_ms);
    requests.set_daemons(owners.live_count());
}

void request_thread::state::handle(event& item) {
    switch (item.kind) {
        case event_kind::caller_request:
            handle_request(item, false);
            return;
        case event_kind::peer_request:
            handle_request(item, true);
            return;
        case event_kind::caller_cancel:
            handle_cancel(item, false);
            return;
        case event_kind::peer_cancel:
            handle_cancel(item, true);
            return;
        case event_kind::forward_ended:
            end_forward(item.number, item.outcome);
            return;
        case event_kind::run_ended:
            requests.end_run(item.number, item.outcome, read_clocks());
            return;
    }
}

bool request_thread::state::check_peer(const event& item) {
    const auto header = item.request.headers.find(peer_call_header);
    const auto checked = verify_peer_call(
        context.settings.keys, guard, header == item.request.headers.end() ? std::string{} : header->second,
        item.request.path, item.request.body);
    if (!checked) {
        count("peer_calls_refused_total", "Calls of other entry VMs that failed authentication",
              std::string{representation_of(checked.error().kind).name})
            .add();
        item.respond(error_response(checked.error()));
    }
    return checked.has_value();
}

void request_thread::state::handle_request(event& item, bool is_peer) {
    if (is_peer && !check_peer(item)) {
        return;
    }
    auto request = parse_client_request(item.request.body, now_unix_ms());
    if (!request) {
        item.respond(error_response(request.error()));
        return;
    }
    const auto owner = owners.route(request->id, request->first_sent_ms).owner;
    const bool owned_here = owner == context.settings.address || requests.can_answer(request->id);
    if (is_peer && !owned_here) {
        item.respond(error_response(
            {.kind = error_kind::conflict, .message = "another entry VM owns the id: " + to_string(owner)}));
        return;
    }
    const auto number = add_waiter(std::move(item.respond), is_peer, requests.urgency_of(*request));
    if (owned_here) {
        own(*request, number);
        return;
    }
    record_first_attempt(forward_retries);
    auto& started = forwards[number];
    started = {.request = *std::move(request), .received_ms = now_unix_ms()};
    send_forward(number, started);
}

void request_thread::state::handle_cancel(const event& item, bool is_peer) {
    if (is_peer && !check_peer(item)) {
        return;
    }
    const auto object = nlohmann::json::parse(item.request.body, nullptr, false);
    const bool valid = object.is_object() && object.contains("id") && object["id"].is_string() &&
                       (!object.contains("first_sent_ms") || object["first_sent_ms"].is_number_integer());
    if (!valid) {
        item.respond(error_response({.kind = error_kind::malformed,
                                     .message = "allowed: id, a text, and first_sent_ms, an integer"}));
        return;
    }
    const auto id = object["id"].get<std::string>();
    const auto first_sent_ms = object.value("first_sent_ms", now_unix_ms());
    const auto owner = owners.route(id, first_sent_ms).owner;
    if (is_peer || owner == context.settings.address) {
        requests.cancel(id, read_clocks());
    } else {
        call_peer(owner, cancel_path, nlohmann::json{{"id", id}}.dump(), now_unix_ms() + cancel_timeout_ms,
                  [](const http_outcome&) {});
    }
    item.respond({.body = R"({"status":"accepted"})"});
}

std::uint64_t request_thread::state::add_waiter(http_responder respond, bool is_peer, work_class urgency) {
    waiters.emplace(++last_number,
                    waiter{.respond = std::move(respond), .is_peer = is_peer, .urgency = urgency});
    return last_number;
}

void request_thread::state::answer(std::uint64_t number, const request_answer& outcome) {
    const auto node = waiters.extract(number);
    if (node.empty()) {
        return;
    }
    const auto& receiver = node.mapped();
    if (!receiver.is_peer) {
        const std::string label = std::string{to_string(receiver.urgency)} + "_" + to_string(outcome.outcome);
        count("requests_total", "Requests of callers by class and outcome", label).add();
        if (outcome.outcome != request_outcome::answered) {
            count("requests_unserved_total", "Requests of callers without an answer, by reason",
                  outcome.reason)
                .add();
        }
    }
    receiver.respond(to_response(outcome));
}

void request_thread::state::own(const client_request& request, std::uint64_t number) {
    requests.own(request, number, owners, read_clocks());
}

void request_thread::state::call_peer(const ip_address& peer, const char* path, const std::string& body,
                                      std::int64_t deadline_ms, std::function<void(http_outcome)> done) {
    const auto& settings = context.settings;
    const endpoint target{.address = peer, .port = settings.ports.http};
    const char* scheme = settings.certificate_file.empty() ? "http://" : "https://";
    client.start(
        {.method = "POST",
         .url = scheme + to_string(target) + path,
         .body = body,
         .headers = {{peer_call_header, sign_peer_call(settings.keys, settings.address, context.incarnation,
                                                       ++last_sequence, path, body)}},
         .deadline = mono_at(deadline_ms)},
        std::move(done));
}

void request_thread::state::send_forward(std::uint64_t number, forward& item) {
    const auto owner = owners.route(item.request.id, item.request.first_sent_ms).owner;
    if (owner == context.settings.address) {
        const auto request = std::move(item.request);
        forwards.erase(number);
        own(request, number);
        return;
    }
    item.again_at_ms = 0;
    count("requests_forwarded_total", "Calls to the owners of ids", "").add();
    call_peer(owner, requests_path, to_json_text(item.request), item.request.deadline_ms + answer_travel_ms,
              [box = inbox, number](http_outcome outcome) {
                  box->push_from_client(
                      {.kind = event_kind::forward_ended, .number = number, .outcome = std::move(outcome)});
              });
}

void request_thread::state::end_forward(std::uint64_t number, const http_outcome& outcome) {
    const auto found = forwards.find(number);
    if (found == forwards.end()) {
        return;
    }
    auto& item = found->second;
    const auto& response = outcome.response;
    if (response && response->status == 200) {
        if (const auto parsed = parse_request_answer(response->body)) {
            forwards.erase(found);
            answer(number, *parsed);
            return;
        }
    }
    // 409: not the owner in its own view; 503: its ring was full. Neither has looked at the request.
    const bool turned_away = response && (response->status == 409 || response->status == 503);
    const bool owner_saw_it = outcome.request_may_have_been_sent && !turned_away;
    const std::int64_t now_ms = now_unix_ms();
    const std::int64_t last_ms = std::min(item.received_ms + forward_give_up_ms, item.request.deadline_ms);
    if (!owner_saw_it && now_ms + forward_again_ms < last_ms) {
        item.again_at_ms = now_ms + forward_again_ms;
        return;
    }
    give_up_forward(number, item, owner_saw_it);
}

void request_thread::state::give_up_forward(std::uint64_t number, const forward& item, bool owner_saw_it) {
    const auto request = item.request;
    forwards.erase(number);
    // An idempotent request may run twice, so the entry VM that received it replaces the lost owner.
    if (request.idempotent && now_unix_ms() < request.deadline_ms && take_retry(forward_retries)) {
        own(request, number);
        return;
    }
    answer(number, unknown_answer(owner_saw_it ? "owner_lost" : "owner_unreachable"));
}

void request_thread::state::forward_again(std::int64_t now_ms) {
    std::vector<std::uint64_t> due;
    for (const auto& [number, item] : forwards) {
        if (item.again_at_ms != 0 && item.again_at_ms <= now_ms) {
            due.push_back(number);
        }
    }
    for (const auto number : due) {
        send_forward(number, forwards.at(number));
    }
}

void request_thread::state::publish_gauges() {
    // A leaving daemon stays the owner of ids that are first sent before all others know that it leaves.
    const bool still_owner =
        was_leaving && now_unix_ms() < leaving_since_ms + ownership_settle_ms + leave_margin_ms;
    context.requests_in_progress = static_cast<std::int64_t>(waiters.size()) + (still_owner ? 1 : 0);
    requests.publish_gauges();
}

request_thread::request_thread(entry_context& context) : state_(std::make_unique<state>(context)) {
    state_->add_routes();
    state_->thread = std::thread{[this] {
        name_thread("requests");
        state_->run();
    }};
}

request_thread::~request_thread() {
    state_->stopping = true;
    state_->inbox->closed = true;
    state_->inbox->arrived.release();
    state_->thread.join();
}

}  // namespace guavaramp
