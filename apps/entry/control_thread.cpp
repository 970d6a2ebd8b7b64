#include "control_thread.hpp"

#include "control_json.hpp"

#include <guavaramp/base/hash.hpp>
#include <guavaramp/config/delta.hpp>
#include <guavaramp/telemetry/log.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

constexpr int wait_ms = 20;
constexpr std::size_t pull_ring_capacity = 16;
constexpr auto pull_timeout = milliseconds{2000};
constexpr auto vm_poll_period = milliseconds{10'000};
constexpr auto cleanup_period = std::chrono::seconds{60};
constexpr auto vm_retry_period = milliseconds{1000};
// Only watchers poll the VM list; what another daemon read at its start is used for this long.
constexpr auto vm_list_lifetime = std::chrono::minutes{5};
// Changes of reported revisions alone are published at most this often: each publication makes the packet
// path read the list again.
constexpr auto revision_publish_period = milliseconds{100};
constexpr auto refresh_time = milliseconds{1000};
constexpr std::uint64_t udp_overhead_bytes = 28;    // IPv4 and UDP headers
constexpr std::uint64_t http_overhead_bytes = 250;  // header lines, and TCP and IP headers of the exchange

mono_time clock_now() { return std::chrono::steady_clock::now(); }

member local_member(const entry_context& context) {
    return {.address = context.settings.address,
            .failure_domain = context.settings.failure_domain,
            .region = context.settings.region,
            .incarnation = context.incarnation};
}

/// Whether this daemon has the lowest address of the live ones. That keeps all others from asking for the
/// lease; only the lease makes sure that there is one.
bool leads_cleanup(const membership_state& state) {
    return std::none_of(state.peers.begin(), state.peers.end(), [&state](const auto& entry) {
        return is_live(entry.second.known.state) && entry.first < state.self.address;
    });
}

}  // namespace

result<std::unique_ptr<control_thread>> control_thread::start(entry_context& context) {
    auto socket =
        udp_socket::bind({.address = context.settings.address, .port = context.settings.ports.control});
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return std::unique_ptr<control_thread>{new control_thread{context, *std::move(socket)}};
}

control_thread::control_thread(entry_context& context, udp_socket socket)
    : context_(context),
      store_(context.client, {.base_url = context.settings.platform_url, .seed = context.incarnation}),
      socket_(std::move(socket)),
      random_(mix_hashes(context.incarnation, hash_text(to_string(context.settings.address)))),
      membership_(make_membership(local_member(context), {}, random_(), clock_now())),
      spread_(make_spread(context.settings.address, context.settings.failure_domain, {}, clock_now())),
      pulls_(std::make_shared<spsc_ring<pull_answer>>(pull_ring_capacity)),
      next_vm_poll_(clock_now()),
      vms_known_at_(clock_now()),
      next_cleanup_(clock_now() + cleanup_period) {
    publish_members();
    add_routes();
    advance(vm_list_received{.listed = seeds()});
    platform_ = std::make_unique<platform_duty>(store_, store_, to_string(context_.settings.address),
                                                context_.stopped);
    thread_ = std::thread{[this] {
        name_thread("control");
        run();
    }};
}

control_thread::~control_thread() {
    context_.stopped = true;
    store_.stop();
    thread_.join();
}

counter& control_thread::sent_bytes(const char* kind) {
    return context_.counters.get("control_bytes_total", "Control bytes sent, by kind of message", kind);
}

counter& control_thread::dropped(const char* reason) {
    return context_.counters.get("control_dropped_total", "Control datagrams that were dropped, by reason",
                                 reason);
}

std::vector<member> control_thread::seeds() const {
    std::vector<member> listed;
    for (const auto& text : context_.settings.seeds) {
        if (const auto address = parse_ip_address(text)) {
            listed.push_back({.address = *address});
        }
    }
    return listed;
}

bool control_thread::is_blocked(const ip_address& peer) const {
    return guavaramp::is_blocked(context_, peer);
}

void control_thread::accept(configuration accepted) {
    const std::lock_guard lock{mutex_};
    confirmation_ = std::max(confirmation_.value_or(config_revision{0}), accepted.head.revision);
    if (!accepted_ || accepted_->head.revision < accepted.head.revision) {
        accepted_ = std::move(accepted);
    }
}

void control_thread::confirm(config_revision revision) {
    const std::lock_guard lock{mutex_};
    confirmation_ = std::max(confirmation_.value_or(config_revision{0}), revision);
}

void control_thread::add_routes() {
    auto& router = context_.router;
    router.add("GET", "/peer/config", [this](const http_request& request, const http_responder& respond) {
        const auto peer = parse_ip_address(request.peer_address);
        // Without an answer, the peer's call ends at its deadline, as in a partition.
        if (!peer || !is_blocked(*peer)) {
            respond(answer_pull(request));
        }
    });
    router.add("GET", "/v1/members", [this](const http_request&, const http_responder& respond) {
        respond({.body = members_to_json(context_.settings.address, *context_.members.get()).dump()});
    });
    router.add("GET", "/v1/config", [this](const http_request&, const http_responder& respond) {
        const auto config = context_.config.get();
        respond({.body = to_json(config ? config->value() : configuration{}).dump()});
    });
    router.add("POST", "/v1/faults", [this](const http_request& request, const http_responder& respond) {
        respond(set_faults(request));
    });
}

http_response control_thread::answer_pull(const http_request& request) const {
    const auto config = context_.config.get();
    if (!config) {
        return error_response({.kind = error_kind::unavailable, .message = "no configuration yet"});
    }
    const auto since = parse_since(request);
    if (!since) {
        return error_response(since.error());
    }
    auto body = sign_pull(context_.settings.keys, to_json(make_delta(config->value(), *since)).dump());
    context_.counters.get("control_bytes_total", "Control bytes sent, by kind of message", "pull_answer")
        .add(body.size() + http_overhead_bytes);
    return {.content_type = "text/plain", .body = std::move(body)};
}

http_response control_thread::set_faults(const http_request& request) {
    const auto key = request.headers.find("x-operator-key");
    if (key == request.headers.end() || !secrets_equal(key->second, context_.settings.operator_key)) {
        return error_response({.kind = error_kind::unauthenticated, .message = "the operator key is wrong"});
    }
    auto faults = parse_entry_faults(request.body);
    if (!faults) {
        return error_response(faults.error());
    }
    if (faults->blocked_peers) {
        context_.blocked_peers.set(std::make_shared<std::set<ip_address>>(*std::move(faults->blocked_peers)));
    }
    pause_ms_ = faults->pause_ms;
    return {.body = R"({"status":"ok"})"};
}

void control_thread::run() {
    while (!context_.stopped) {
        const std::array sockets{static_cast<const udp_socket*>(&socket_)};
        wait_readable(sockets, wait_ms);
        if (const auto pause = pause_ms_.exchange(0); pause > 0) {
            std::this_thread::sleep_for(milliseconds{pause});
        }
        step_once();
    }
    platform_.reset();
}

void control_thread::step_once() {
    // The tick comes first: after a pause, it must be noticed before old datagrams are read.
    advance(membership_tick{});
    receive();
    take_requests();
    take_answers();
    poll_platform();
    advance_spread(spread_tick{});
    if (refresh_deadline_ && clock_now() >= *refresh_deadline_) {
        end_refresh();
    }
    if (members_dirty_ && clock_now() - members_published_ >= revision_publish_period) {
        publish_members();
    }
    socket_.flush();
    count_platform_calls();
}

void control_thread::receive() {
    while (true) {
        const auto batch = socket_.receive();
        if (batch.empty()) {
            return;
        }
        for (const auto& received : batch) {
            handle_datagram(received);
        }
    }
}

void control_thread::handle_datagram(const datagram& received) {
    const auto& from = received.source.address;
    if (is_blocked(from)) {
        dropped("blocked").add();
        return;
    }
    const auto payload =
        open_datagram(context_.settings.keys, replays_, from, context_.settings.address, received.bytes);
    if (!payload) {
        dropped(representation_of(payload.error().kind).name.data()).add();
        return;
    }
    auto message = decode_message(*payload);
    if (!message || message->sender.address != from) {
        dropped("malformed").add();
        return;
    }
    advance(message_received{.message = *std::move(message)});
}

void control_thread::take_requests() {
    std::optional<configuration> accepted;
    std::optional<config_revision> confirmation;
    {
        const std::lock_guard lock{mutex_};
        accepted.swap(accepted_);
        confirmation.swap(confirmation_);
    }
    if (accepted) {
        advance_spread(change_accepted{.accepted = *std::move(accepted)});
    }
    if (confirmation) {
        advance(confirmation_wanted{.revision = *confirmation});
    }
    if (refresh_wanted_.exchange(false)) {
        advance_spread(refresh_requested{});
    }
    if (context_.leaving && !announced_leaving_) {
        announced_leaving_ = true;
        advance(leaving_started{});
    }
}

void control_thread::take_answers() {
    platform_answer answer;
    while (platform_->pop(answer)) {
        if (const auto* vms = std::get_if<vm_list_loaded>(&answer)) {
            take_vms(*vms);
        } else if (const auto* loaded = std::get_if<load_finished>(&answer)) {
            advance_spread(*loaded);
        } else if (const auto* watched = std::get_if<watch_finished>(&answer)) {
            advance_spread(*watched);
        } else {
            context_.counters
                .get("config_values_removed_total", "Old service values that this daemon deleted")
                .add(std::get<cleanup_finished>(answer).removed);
        }
    }
    pull_answer pulled;
    while (pulls_->pop(pulled)) {
        auto delta = is_blocked(pulled.from) ? fail(error_kind::unavailable, "blocked")
                                             : open_pull(context_.settings.keys, pulled.outcome);
        advance_spread(pull_finished{.from = pulled.from, .delta = std::move(delta)});
        end_refresh();
    }
}

void control_thread::take_vms(const vm_list_loaded& answer) {
    if (answer.vms.has_value() != platform_reachable_) {
        platform_reachable_ = answer.vms.has_value();
        log_event(platform_reachable_ ? log_level::info : log_level::warning,
                  platform_reachable_ ? "platform_reachable" : "platform_unreachable",
                  {{"message", answer.vms ? "" : answer.vms.error().message}});
    }
    if (!answer.vms) {
        next_vm_poll_ = std::min(next_vm_poll_, clock_now() + vm_retry_period);
        return;
    }
    auto listed = seeds();
    for (const auto& vm : *answer.vms) {
        if (const auto address = parse_ip_address(vm.address)) {
            listed.push_back({.address = *address, .failure_domain = vm.failure_domain, .region = vm.region});
        }
    }
    vms_known_at_ = clock_now();
    advance(vm_list_received{.listed = std::move(listed)});
}

/// The watchers poll the VM list, and one daemon deletes old service values.
void control_thread::poll_platform() {
    const auto now = clock_now();
    const bool watcher = is_watcher(spread_);
    if (!watcher && now - vms_known_at_ >= vm_list_lifetime) {
        vms_known_at_ = now;
        advance(vm_list_received{.listed = seeds()});
    }
    if (now >= next_cleanup_) {
        next_cleanup_ = now + cleanup_period;
        if (leads_cleanup(membership_)) {
            platform_->clean_up();
        }
    }
    if (watcher && now >= next_vm_poll_) {
        next_vm_poll_ = now + vm_poll_period;
        platform_->load_vms();
    }
}

void control_thread::report_changes(const membership_effects& effects) {
    constexpr std::array names{"alive", "suspect", "leaving", "dead"};
    for (const auto& change : effects.changes) {
        context_.counters
            .get("member_changes_total", "Changes of members' states, by new state",
                 names[static_cast<std::size_t>(change.after)])
            .add();
        // A suspicion is often refuted, and under load there are many; the counter shows them.
        if (change.after != member_state::suspect && change.before != change.after) {
            log_event(log_level::info, "member_changed",
                      {{"address", to_string(change.address)},
                       {"state", names[static_cast<std::size_t>(change.after)]}});
        }
    }
}

void control_thread::advance(const membership_event& event) {
    const auto effects = apply(membership_, event, clock_now(), random_);
    for (const auto& message : effects.messages) {
        send(message);
    }
    report_changes(effects);
    members_dirty_ = members_dirty_ || effects.members_changed;
    if (!effects.changes.empty()) {
        publish_members();
    }
    if (effects.resumed) {
        log_event(log_level::warning, "resumed_after_pause");
        context_.refreshing = true;
        refresh_deadline_ = clock_now() + refresh_time;
        advance_spread(spread_resumed{});
    }
    for (const auto& heard : effects.heard) {
        advance_spread(revision_heard{.from = heard.from, .revision = heard.revision});
    }
}

void control_thread::advance_spread(const spread_event& event) {
    const auto effects = apply(spread_, event, clock_now(), random_);
    if (effects.applied) {
        publish_config();
    }
    if (effects.store_regressed) {
        context_.counters.get("config_store_regressions_total", "Returns of the store to an earlier revision")
            .add();
        log_event(log_level::error, "store_returned_to_earlier_revision",
                  {{"stored", std::to_string(static_cast<std::uint64_t>(*effects.store_regressed))},
                   {"in_force", std::to_string(static_cast<std::uint64_t>(spread_.current.head.revision))}});
    }
    if (effects.pull) {
        pull(*effects.pull);
    }
    if (effects.load) {
        platform_->load_configuration(context_.config.get());
    }
    if (effects.watch) {
        platform_->watch(effects.watch->after);
    }
}

void control_thread::send(const outgoing_message& message) {
    if (is_blocked(message.to)) {
        return;
    }
    const seal_header header{.sender = context_.settings.address,
                             .receiver = message.to,
                             .incarnation = context_.incarnation,
                             .sequence = ++sequence_};
    auto sealed = seal_datagram(context_.settings.keys, header, encode_message(message.message));
    if (sealed.size() > max_control_datagram) {
        // Long names make a full message too large; a smaller one goes out, and the next ones carry the rest.
        auto trimmed = message.message;
        trimmed.updates.resize(trimmed.updates.size() / 4);
        sealed = seal_datagram(context_.settings.keys, header, encode_message(trimmed));
    }
    sent_bytes(to_string(message.message.kind)).add(sealed.size() + udp_overhead_bytes);
    socket_.send({.address = message.to, .port = context_.settings.ports.control}, sealed);
}

void control_thread::pull(const start_pull& wanted) {
    const auto address = is_ipv4(wanted.from) ? to_string(wanted.from) : "[" + to_string(wanted.from) + "]";
    const auto scheme = context_.settings.certificate_file.empty() ? "http://" : "https://";
    const auto url = scheme + address + ":" + std::to_string(context_.settings.ports.http) +
                     "/peer/config?since=" + std::to_string(static_cast<std::uint64_t>(wanted.since));
    sent_bytes("pull_request").add(http_overhead_bytes);
    context_.client.start({.url = url, .deadline = clock_now() + pull_timeout},
                          [ring = pulls_, from = wanted.from](http_outcome outcome) {
                              static_cast<void>(ring->push({.from = from, .outcome = std::move(outcome)}));
                          });
}

void control_thread::publish_members() {
    auto list = list_members(membership_);
    members_dirty_ = false;
    members_published_ = clock_now();
    const auto live = std::count_if(list.members.begin(), list.members.end(),
                                    [](const member& item) { return is_live(item.state); });
    context_.counters.get("members_live", "Live entry VMs, this one included", "", counter_kind::gauge)
        .set(static_cast<std::uint64_t>(live));
    spread_.members = list;
    context_.members.set(std::make_shared<member_list>(std::move(list)));
}

void control_thread::publish_config() {
    const auto revision = spread_.current.head.revision;
    context_.config.set(std::make_shared<config_snapshot>(spread_.current));
    context_.counters.get("config_revision", "Configuration revision in force", "", counter_kind::gauge)
        .set(static_cast<std::uint64_t>(revision));
    log_event(log_level::info, "configuration_applied",
              {{"revision", std::to_string(static_cast<std::uint64_t>(revision))}});
    advance(revision_applied{.revision = revision});
    advance(membership_tick{});  // the push goes out now
}

void control_thread::end_refresh() {
    refresh_deadline_.reset();
    context_.refreshing = false;
}

void control_thread::count_platform_calls() {
    for (std::size_t index = 0; index < platform_call_kinds; ++index) {
        const auto kind = static_cast<platform_call>(index);
        context_.counters.get("platform_calls_total", "Calls to the platform, by kind", to_string(kind))
            .set(store_.calls(kind));
    }
    sent_bytes("platform").set(store_.bytes_sent());
}

}  // namespace guavaramp
