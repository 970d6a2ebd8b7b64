#include "control_thread.hpp"
#include "entry_context.hpp"
#include "packet_thread.hpp"
#include "query_service.hpp"
#include "request_thread.hpp"

#include <guavaramp/telemetry/log.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <thread>

namespace guavaramp {
namespace {

constexpr auto stop_poll_period = std::chrono::milliseconds{50};
// The fabric stops sending to a leaving VM within a second; a planned stop never takes longer than the
// deadline.
constexpr std::int64_t quiet_before_stop_ms = 1000;
constexpr auto planned_stop_deadline = std::chrono::seconds{10};

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number) { stop_signal = number; }

std::int64_t now_unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void add_admin_routes(entry_context& context) {
    // The fabric's health check: without a configuration, or during a planned stop, packets belong elsewhere.
    context.router.add("GET", "/healthz", [&context](const http_request&, const http_responder& respond) {
        const bool starting = context.config.get() == nullptr;
        if (starting || context.leaving) {
            const int unavailable = representation_of(error_kind::unavailable).http_status;
            respond({.status = unavailable,
                     .body = starting ? R"({"status":"starting"})" : R"({"status":"leaving"})"});
            return;
        }
        respond({.body = R"({"status":"ok"})"});
    });
    context.router.add("GET", "/metrics", [&context](const http_request&, const http_responder& respond) {
        respond({.content_type = "text/plain; version=0.0.4", .body = context.counters.to_prometheus()});
    });
    context.router.add("GET", "/v1/counters", [&context](const http_request&, const http_responder& respond) {
        respond({.body = context.counters.to_json()});
    });
    context.router.add(
        "POST", "/v1/stop", [&context](const http_request& request, const http_responder& respond) {
            const auto key = request.headers.find("x-operator-key");
            if (key == request.headers.end() || !secrets_equal(key->second, context.settings.operator_key)) {
                respond(error_response(
                    {.kind = error_kind::unauthenticated, .message = "the operator key is wrong"}));
                return;
            }
            context.leaving = true;
            respond({.body = R"({"status":"leaving"})"});
        });
}

/// Waits for a planned stop to be asked for and to finish: announced, no packet for a second, no request in
/// progress.
void wait_for_stop(entry_context& context) {
    while (stop_signal == 0 && !context.leaving) {
        std::this_thread::sleep_for(stop_poll_period);
    }
    context.leaving = true;
    log_event(log_level::info, "planned_stop_started");
    const auto started_ms = now_unix_ms();
    const auto deadline = std::chrono::steady_clock::now() + planned_stop_deadline;
    while (std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(stop_poll_period);
        const auto last_activity_ms = std::max(started_ms, context.last_packet_unix_ms.load());
        const bool quiet = now_unix_ms() - last_activity_ms >= quiet_before_stop_ms;
        if (quiet && context.requests_in_progress == 0) {
            break;
        }
    }
    log_event(log_level::info, "planned_stop_finished");
}

int run(const std::string& settings_path, bool check_only) {
    auto settings = load_entry_settings(settings_path);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return representation_of(error_kind::invalid_argument).exit_status;
    }
    if (check_only) {
        std::cout << settings_path << ": ok\n";
        return 0;
    }
    start_log("guavaramp-entry", parse_log_level(settings->log_level));
    const auto local_address = to_string(settings->address);
    entry_context context{.settings = *std::move(settings),
                          .incarnation = static_cast<std::uint64_t>(now_unix_ms()),
                          .client = http_client{{.local_address = local_address}}};
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    add_admin_routes(context);
    const auto fail_start = [](const error& failure) {
        log_event(log_level::error, "start_failed", {{"message", failure.message}});
        stop_log();
        return representation_of(failure.kind).exit_status;
    };
    auto control = control_thread::start(context);
    if (!control) {
        return fail_start(control.error());
    }
    std::unique_ptr<packet_thread> packets;
    query_service queries{
        context,
        {.store = &(*control)->store(),
         .flows = {.find_flow = [&packets](const flow_key& flow) { return packets->find_flow(flow); }},
         .refresh_now = [&control] { (*control)->refresh_now(); },
         .accept = [&control](configuration accepted) { (*control)->accept(std::move(accepted)); },
         .confirm = [&control](config_revision revision) { (*control)->confirm(revision); },
         .is_blocked = [&context](const ip_address& peer) { return is_blocked(context, peer); }}};
    auto started_packets = packet_thread::start(
        context, {.on_flow_ended = [&queries](const flow_record& record) { queries.record_ended(record); },
                  .on_newer_config = [&control](const ip_address&) { (*control)->refresh_now(); }});
    if (!started_packets) {
        return fail_start(started_packets.error());
    }
    packets = *std::move(started_packets);
    request_thread requests{context};
    // The server starts last: routes are added before it, and its handlers use all duties.
    auto server = start_http_server(
        {.local = {.address = context.settings.address, .port = context.settings.ports.http},
         .certificate_file = context.settings.certificate_file,
         .private_key_file = context.settings.private_key_file},
        [&context](http_request request, const http_responder& respond) {
            context.router.handle(std::move(request), respond);
        });
    if (!server) {
        return fail_start(server.error());
    }
    log_event(log_level::info, "started", {{"address", to_string(context.settings.address)}});
    wait_for_stop(context);
    context.stopped = true;
    server->reset();
    packets.reset();
    stop_log();
    return 0;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command{"guavaramp-entry: load balancer daemon of an entry VM", ' ',
                               GUAVARAMP_VERSION};
        TCLAP::ValueArg<std::string> settings{
            "s", "settings", "Settings file (JSON with comments)", true, "", "file", command};
        TCLAP::SwitchArg check{"", "check-settings", "Check the settings file and exit", command};
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        return guavaramp::run(settings.getValue(), check.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-entry: " << failure.error() << " " << failure.argId() << '\n';
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-entry: " << failure.what() << '\n';
        return 70;
    }
}
