#include "control_duty.hpp"

#include "neighbour_finder.hpp"
#include "news_exchange.hpp"
#include "roster_keeper.hpp"
#include "store_reader.hpp"

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

/// Period of writing decisions to the log and of looking at what the packet thread wants.
constexpr auto tick_period = std::chrono::milliseconds{100};
/// Log lines about decisions: twice the new flows and requests a second of a daemon at the design size, and
/// what a burst adds.
constexpr double decision_lines_per_second = 200;
constexpr double decision_lines_burst = 400;
/// Connections of the routers' and the operators' health and metrics readers.
constexpr std::size_t most_http_connections = 64;

mono_time now() { return std::chrono::steady_clock::now(); }

class running_control_duty final : public control_duty {
public:
    running_control_duty(director_context& context, peer_socket news_socket)
        : context_(context),
          reader_(io_, context),
          roster_(io_, context),
          news_(io_, context, std::move(news_socket),
                {.report = [this] { return reader_.report(); },
                 .listing = [this] { return reader_.listing(); },
                 .apply = [this](const listing_delta& delta) { reader_.apply_relayed(delta); },
                 .changes_after = [this](std::uint64_t revision) { return reader_.changes_after(revision); },
                 .source_changed =
                     [this](const news_source& source) {
                         reader_.follow(source);
                         roster_.set_reader(source.reads);
                     },
                 .self = [this] { return roster_.self(); },
                 .introduced = [this](const domain_member& member) { roster_.add_member(member); },
                 .outdated = [this](std::uint64_t expected) { roster_.raise_incarnation(expected); },
                 .key_doubted = [this] { roster_.doubt_key(); }}),
          neighbours_(io_, context, [this] { return is_ready(); }),
          tick_(io_) {}
    running_control_duty(const running_control_duty&) = delete;
    running_control_duty& operator=(const running_control_duty&) = delete;

    ~running_control_duty() override {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    [[nodiscard]] result<void> start() {
        add_routes();
        for (const auto& local :
             {context_.settings.status, context_.settings.metrics, context_.settings.admin}) {
            auto server = attach_http_server(io_, {.local = local, .max_connections = most_http_connections},
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
        reader_.start([this](const std::optional<listing_delta>& delta) { news_.announce(delta); });
        roster_.start();
        news_.start();
        neighbours_.start();
        tick();
        run_handlers();
        write_decisions();
    }

    /// An error that no handler expects must not end the process: the others' work goes on. Periodic work is
    /// scheduled again before it is done, so that it goes on too.
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
            respond(is_ready() ? http_response{.body = R"({"status":"ready"})"} : not_ready());
        });
        router_.add("GET", "/v1/neighbour", [this](const http_request&, const http_responder& respond) {
            respond(is_ready() ? http_response{.body = describe_neighbourhood()} : not_ready());
        });
        router_.add("GET", "/metrics", [this](const http_request&, const http_responder& respond) {
            respond({.content_type = "text/plain; version=0.0.4", .body = context_.counters.to_prometheus()});
        });
    }

    [[nodiscard]] static http_response not_ready() {
        return {.status = representation_of(error_kind::unavailable).http_status,
                .body = R"({"status":"not ready"})"};
    }

    [[nodiscard]] bool is_ready() const {
        const auto view = context_.view.get();
        return !context_.leaving && view != nullptr && view->routes != nullptr && view->upstreams != nullptr;
    }

    [[nodiscard]] std::string describe_neighbourhood() const {
        neighbour_answer answer{.packet_address = context_.settings.packets,
                                .failure_domain = context_.settings.failure_domain,
                                .domain_admin_addresses = {}};
        if (const auto roster = context_.roster.get()) {
            for (const auto& peer : roster->peers) {
                if (answer.domain_admin_addresses.size() < max_neighbours) {
                    answer.domain_admin_addresses.push_back(peer.admin_address);
                }
            }
        }
        return encode_neighbour_answer(answer);
    }

    void tick() {
        if (context_.stopped) {
            io_.stop();
            return;
        }
        tick_.expires_after(tick_period);
        tick_.async_wait([this](const std::error_code& failure) {
            if (!failure) {
                tick();
            }
        });
        if (context_.wants_listing.exchange(false)) {
            reader_.reread_listing();
        }
        notice_suspension();
        write_decisions();
    }

    void notice_suspension() {
        const auto suspended = suspended_time();
        if (was_suspended(suspended_, suspended)) {
            log_event(log_level::warning, "machine_was_suspended",
                      {{"for_ms", std::to_string((suspended - suspended_).count())}});
            reader_.note_suspension(suspended);
            news_.forget_reports();
        }
        suspended_ = suspended;
    }

    void write_decisions() {
        const auto time = now();
        decision_record decided;
        while (context_.decisions.pop(decided)) {
            if (take_tokens(line_budget_, 1.0, time)) {
                write_line(decided, time);
            } else {
                lines_suppressed_.add();
            }
        }
        probe_record probe;
        while (context_.probes.pop(probe)) {
            write_line(probe);
        }
    }

    void write_line(const decision_record& decided, mono_time time) {
        log_event(log_level::info, "packet_decided",
                  {{"flow", to_string(decided.flow)},
                   {"request", decided.request_id.data()},
                   {"outcome", std::string{to_string(decided.outcome)}},
                   {"reason", std::string{to_string(decided.reason)}},
                   {"upstream", reader_.name_of(steering_tag{decided.tag})},
                   {"configuration", std::to_string(decided.configuration_version)},
                   {"listing_age_ms", std::to_string(age_ms(decided.listing_as_of, decided.decided_at))},
                   {"logged_after_ms", std::to_string(age_ms(decided.decided_at, time))}});
    }

    void write_line(const probe_record& probe) {
        const char* outcome = probe.outcome == probe_outcome::connected ? "connected"
                              : probe.outcome == probe_outcome::refused ? "refused"
                                                                        : "silent";
        log_event(log_level::info, probe.changed ? "upstream_reachability_changed" : "upstream_probed",
                  {{"upstream", reader_.name_of(steering_tag{probe.tag})}, {"probe", outcome}});
    }

    director_context& context_;
    asio::io_context io_{1};
    store_reader reader_;
    roster_keeper roster_;
    news_exchange news_;
    neighbour_finder neighbours_;
    asio::steady_timer tick_;
    std::chrono::milliseconds suspended_{suspended_time()};
    http_router router_;
    std::vector<std::unique_ptr<http_server>> servers_;
    token_bucket line_budget_{make_token_bucket(decision_lines_per_second, decision_lines_burst, now())};
    counter& lines_suppressed_{
        context_.counters.get("log_lines_suppressed_total", "Decisions above the log's rate limit")};
    counter& unexpected_errors_{
        context_.counters.get("unexpected_errors_total", "Errors that no handler expected", "control")};
    std::thread thread_;
};

}  // namespace

result<std::unique_ptr<control_duty>> control_duty::start(director_context& context) {
    auto news_socket = news_exchange::open_socket(context);
    if (!news_socket) {
        return tl::make_unexpected(news_socket.error());
    }
    auto duty = std::make_unique<running_control_duty>(context, *std::move(news_socket));
    if (auto started = duty->start(); !started) {
        return tl::make_unexpected(started.error());
    }
    return duty;
}

}  // namespace guavaramp
