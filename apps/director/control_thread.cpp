#include "control_thread.hpp"

#include "membership_manager.hpp"
#include "neighbour_finder.hpp"
#include "store_synchronizer.hpp"
#include "update_exchange.hpp"

#include <guavaramp/base/suspension.hpp>
#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/net/attached_http_server.hpp>
#include <guavaramp/net/http_router.hpp>
#include <guavaramp/telemetry/log.hpp>
#include <guavaramp/telemetry/thread_name.hpp>

#include <asio.hpp>

#include <chrono>
#include <thread>

namespace guavaramp {
namespace {

/// Period at which decisions are logged and the requests of the packet thread are handled.
constexpr auto tick_period = std::chrono::milliseconds{100};
/// Rate limit of log lines about decisions: a little more than the 170 new flows and requests per second of a
/// director at the design size, plus a burst.
constexpr double decision_lines_per_second = 200;
constexpr double decision_lines_burst = 400;
/// Maximum number of connections of each HTTP server: readiness checks of the routers, metrics collectors,
/// other directors and operators.
constexpr std::size_t max_http_connections = 64;

mono_time now() { return std::chrono::steady_clock::now(); }

class running_control_thread final : public control_thread {
public:
    running_control_thread(director_context& context, peer_socket update_socket)
        : context_(context),
          store_(io_, context),
          membership_(io_, context),
          update_exchange_(
              io_, context, std::move(update_socket),
              {.own_reader_report = [this] { return store_.own_report(); },
               .own_listing = [this] { return store_.own_listing(); },
               .apply_delta = [this](const listing_delta& delta) { store_.apply_relayed_delta(delta); },
               .apply_evacuations =
                   [this](const evacuation_report& report) { store_.apply_reported_evacuations(report); },
               .changes_after = [this](std::uint64_t revision) { return store_.changes_after(revision); },
               .source_changed =
                   [this](const update_source& source) {
                       store_.set_update_source(source);
                       membership_.set_reader(source.is_reader);
                   },
               .own_member = [this] { return membership_.own_member(); },
               .member_introduced = [this](const domain_member& member) { membership_.add_member(member); },
               .stale_incarnation_reported =
                   [this](std::uint64_t expected) { membership_.raise_incarnation(expected); },
               .authentication_failed = [this] { membership_.on_authentication_failure(); }}),
          neighbour_finder_(io_, context, [this] { return is_ready(); }),
          tick_timer_(io_) {}
    running_control_thread(const running_control_thread&) = delete;
    running_control_thread& operator=(const running_control_thread&) = delete;

    ~running_control_thread() override {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    [[nodiscard]] result<void> start() {
        add_routes();
        for (const auto& local :
             {context_.settings.status, context_.settings.metrics, context_.settings.admin}) {
            auto server = attach_http_server(io_, {.local = local, .max_connections = max_http_connections},
                                             [this](http_request request, const http_responder& respond) {
                                                 router_.handle(std::move(request), respond);
                                             });
            if (!server) {
                return tl::make_unexpected(server.error());
            }
            servers_.push_back(*std::move(server));
        }
        thread_ = std::thread{[this] { run(); }};
        return {};
    }

private:
    void run() {
        name_thread("control");
        store_.start(
            {.announce =
                 [this](const std::optional<listing_delta>& delta) { update_exchange_.broadcast(delta); },
             .verified = [this] { update_exchange_.report_verification(); },
             .own_read_answered = [this] { update_exchange_.report_own_read(); },
             .store_restored = [this](std::uint64_t era) { membership_.on_store_restored(era); }});
        membership_.start();
        update_exchange_.start();
        neighbour_finder_.start();
        tick_timer_.expires_at(now());
        tick();
        run_handlers();
        write_log_records();
    }

    /// Runs the handlers of the Asio context. An error that a handler does not expect must not end the
    /// process: the other handlers go on. `tick` schedules itself again before it does its work, so that it
    /// goes on after an error too.
    void run_handlers() {
        while (true) {
            try {
                io_.run();
                return;
            } catch (const std::exception& failure) {
                unexpected_errors_.add();
                log_event(log_level::error, "unexpected_error",
                          {{"thread", "control"}, {"message", failure.what()}});
            }
        }
    }

    void add_routes() {
        router_.add("GET", "/v1/ready", [this](const http_request&, const http_responder& respond) {
            respond(is_ready() ? http_response{.body = R"({"status":"ready"})"} : not_ready_response());
        });
        router_.add("GET", "/v1/neighbour", [this](const http_request&, const http_responder& respond) {
            respond(is_ready() ? http_response{.body = encode_own_neighbour_answer()} : not_ready_response());
        });
        router_.add("GET", "/metrics", [this](const http_request&, const http_responder& respond) {
            respond({.content_type = "text/plain; version=0.0.4", .body = context_.counters.to_prometheus()});
        });
    }

    [[nodiscard]] static http_response not_ready_response() {
        return {.status = representation_of(error_kind::unavailable).http_status,
                .body = R"({"status":"not ready"})"};
    }

    [[nodiscard]] bool is_ready() const {
        const auto view = context_.view.get();
        return !context_.planned_stop_started && view != nullptr && view->routes != nullptr &&
               view->upstreams != nullptr;
    }

    [[nodiscard]] std::string encode_own_neighbour_answer() const {
        neighbour_answer answer{.packet_address = context_.settings.packets,
                                .failure_domain = context_.settings.failure_domain,
                                .domain_admin_addresses = {}};
        if (const auto membership = context_.membership.get()) {
            for (const auto& peer : membership->peers) {
                if (answer.domain_admin_addresses.size() < max_neighbours) {
                    answer.domain_admin_addresses.push_back(peer.admin_address);
                }
            }
        }
        return encode_neighbour_answer(answer);
    }

    void tick() {
        if (context_.threads_must_exit) {
            io_.stop();
            return;
        }
        const auto time = now();
        wake_up_delays_.add(time - tick_timer_.expiry());
        tick_timer_.expires_at(time + tick_period);
        tick_timer_.async_wait([this](const std::error_code& failure) {
            if (!failure) {
                tick();
            }
        });
        if (context_.listing_refresh_requested.exchange(false)) {
            store_.refresh_listing();
        }
        if (context_.routes_refresh_requested.exchange(false)) {
            store_.refresh_configuration();
        }
        check_for_suspension();
        write_log_records();
    }

    void check_for_suspension() {
        const auto suspended = suspended_time();
        if (was_suspended(suspended_, suspended)) {
            log_event(log_level::warning, "machine_was_suspended",
                      {{"for_ms", std::to_string((suspended - suspended_).count())}});
            store_.on_suspension(suspended);
            update_exchange_.discard_reports();
        }
        suspended_ = suspended;
    }

    void write_log_records() {
        const auto time = now();
        decision_record decided;
        while (context_.decision_records.pop(decided)) {
            if (take_tokens(log_line_tokens_, 1.0, time)) {
                log_record(decided, time);
            } else {
                suppressed_lines_.add();
            }
        }
        probe_record probe;
        while (context_.probe_records.pop(probe)) {
            log_record(probe);
        }
        stall_record stall;
        while (context_.stall_records.pop(stall)) {
            log_record(stall);
        }
    }

    void log_record(const decision_record& decided, mono_time time) {
        log_event(log_level::info, "packet_decided",
                  {{"flow", to_string(decided.flow)},
                   {"request", decided.request_id.data()},
                   {"outcome", std::string{to_string(decided.outcome)}},
                   {"reason", std::string{to_string(decided.reason)}},
                   {"upstream", store_.upstream_name(steering_tag{decided.tag})},
                   {"configuration", std::to_string(decided.configuration_version)},
                   {"configuration_age_ms", std::to_string(age_ms(decided.routes_as_of, decided.decided_at))},
                   {"listing_age_ms", std::to_string(age_ms(decided.listing_as_of, decided.decided_at))},
                   {"logged_after_ms", std::to_string(age_ms(decided.decided_at, time))}});
    }

    void log_record(const probe_record& probe) {
        const char* outcome = probe.outcome == probe_outcome::connected ? "connected"
                              : probe.outcome == probe_outcome::refused ? "refused"
                                                                        : "silent";
        log_event(log_level::info,
                  probe.reachability_changed ? "upstream_reachability_changed" : "upstream_probed",
                  {{"upstream", store_.upstream_name(steering_tag{probe.tag})}, {"probe", outcome}});
    }

    void log_record(const stall_record& stall) {
        const auto upstream = store_.upstream_name(steering_tag{stall.tag});
        if (stall.event == stall_event::ended) {
            log_event(log_level::info, "upstream_stall_ended",
                      {{"upstream", upstream}, {"stalled_for_ms", std::to_string(stall.stalled_for_ms)}});
            return;
        }
        log_event(log_level::warning, "upstream_stalled",
                  {{"upstream", upstream},
                   {"action", stall.event == stall_event::avoided ? "avoided" : "flows_reset"},
                   {"overdue_requests", std::to_string(stall.overdue_requests)},
                   {"unanswered_ms", std::to_string(stall.unanswered_ms)},
                   {"last_answer_age_ms",
                    stall.last_answer_age_ms ? std::to_string(*stall.last_answer_age_ms) : "none"},
                   {"mean_answer_ms", std::to_string(stall.mean_answer_ms)}});
    }

    director_context& context_;
    asio::io_context io_{1};
    store_synchronizer store_;
    membership_manager membership_;
    update_exchange update_exchange_;
    neighbour_finder neighbour_finder_;
    asio::steady_timer tick_timer_;
    std::chrono::milliseconds suspended_{suspended_time()};
    http_router router_;
    std::vector<std::unique_ptr<http_server>> servers_;
    token_bucket log_line_tokens_{make_token_bucket(decision_lines_per_second, decision_lines_burst, now())};
    counter& suppressed_lines_{
        context_.counters.get("log_lines_suppressed_total", "Decisions above the log's rate limit")};
    latency_histogram& wake_up_delays_{context_.counters.get_latency_histogram(
        "control_wake_up_delay_seconds", "How late the control thread runs a timer")};
    counter& unexpected_errors_{
        context_.counters.get("unexpected_errors_total", "Errors that no handler expected", "control")};
    std::thread thread_;
};

}  // namespace

result<std::unique_ptr<control_thread>> control_thread::start(director_context& context) {
    auto update_socket = update_exchange::open_socket(context);
    if (!update_socket) {
        return tl::make_unexpected(update_socket.error());
    }
    auto control = std::make_unique<running_control_thread>(context, *std::move(update_socket));
    if (auto started = control->start(); !started) {
        return tl::make_unexpected(started.error());
    }
    return control;
}

}  // namespace guavaramp
