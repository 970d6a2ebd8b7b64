#include "control_thread.hpp"
#include "packet_thread.hpp"

#include <guavaramp/telemetry/log.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

namespace guavaramp {
namespace {

constexpr auto signal_poll_period = std::chrono::milliseconds{100};
/// Minimum duration of a planned stop. Routers check readiness twice a second and stop sending packets after
/// two failed checks; one more period covers packets in flight.
constexpr auto min_stop_time = std::chrono::milliseconds{1600};
/// A planned stop ends once no packet has arrived for this long.
constexpr auto quiet_time_before_exit = std::chrono::milliseconds{300};
/// Maximum duration of a planned stop: the platform kills a process 6 s after it has requested the stop.
constexpr auto max_stop_time = std::chrono::milliseconds{4500};

volatile std::sig_atomic_t stop_signal = 0;
volatile std::sig_atomic_t reload_signal = 0;

void on_stop_signal(int number) { stop_signal = number; }
void on_reload_signal(int number) { reload_signal = number; }

mono_time now() { return std::chrono::steady_clock::now(); }

/// Returns the arrival time of the last packet.
mono_time last_packet_time(const director_context& context) {
    return mono_time{std::chrono::milliseconds{context.last_packet_ms}};
}

/// Where the settings come from: the file and the texts KEY=VALUE of the command line that go before it.
struct settings_source {
    std::string path;
    std::vector<std::string> overrides;
};

/// Validates the settings file and logs the result. The settings take effect only at the next start:
/// addresses cannot change under open sockets, and the director learns what the platform changes from the
/// store.
void check_settings_on_reload(const settings_source& source) {
    const auto& settings_path = source.path;
    const auto settings = load_director_settings(settings_path, source.overrides);
    if (settings) {
        log_event(log_level::info, "settings_checked",
                  {{"file", settings_path}, {"effect", "at the next start"}});
    } else {
        log_event(log_level::warning, "settings_refused", {{"message", settings.error().message}});
    }
}

void wait_for_stop_signal(const settings_source& source) {
    while (stop_signal == 0) {
        std::this_thread::sleep_for(signal_poll_period);
        if (reload_signal != 0) {
            reload_signal = 0;
            check_settings_on_reload(source);
        }
    }
}

/// Fails readiness checks, and goes on forwarding packets until the routers have stopped sending them here.
void stop_gracefully(director_context& context) {
    const auto started = now();
    context.planned_stop_started = true;
    log_event(log_level::info, "planned_stop_started", {{"signal", std::to_string(stop_signal)}});
    while (now() < started + max_stop_time) {
        std::this_thread::sleep_for(signal_poll_period);
        if (now() >= started + min_stop_time && now() >= last_packet_time(context) + quiet_time_before_exit) {
            break;
        }
    }
    log_event(log_level::info, "planned_stop_finished");
}

int run(const settings_source& source, bool check_only) {
    auto settings = load_director_settings(source.path, source.overrides);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return representation_of(settings.error().kind).exit_status;
    }
    if (check_only) {
        std::cout << source.path << ": ok\n";
        return 0;
    }
    std::signal(SIGTERM, on_stop_signal);
    std::signal(SIGINT, on_stop_signal);
    std::signal(SIGHUP, on_reload_signal);
    std::signal(SIGPIPE, SIG_IGN);
    start_log("guavaramp-director", parse_log_level(settings->log_level));
    director_context context{.settings = *std::move(settings)};
    log_event(log_level::info, "starting",
              {{"vm", context.settings.vm}, {"failure_domain", context.settings.failure_domain}});
    const auto fail_start = [&context](const error& failure) {
        context.threads_must_exit = true;
        log_event(log_level::error, "start_failed", {{"message", failure.message}});
        return representation_of(failure.kind).exit_status;
    };
    auto control = control_thread::start(context);
    if (!control) {
        const int status = fail_start(control.error());
        stop_log();
        return status;
    }
    auto packets = packet_thread::start(context);
    if (!packets) {
        const int status = fail_start(packets.error());
        control->reset();
        stop_log();
        return status;
    }
    wait_for_stop_signal(source);
    stop_gracefully(context);
    context.threads_must_exit = true;
    packets->reset();
    control->reset();
    stop_log();
    return 0;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command{"guavaramp-director: forwards callers' packets to upstreams", ' ',
                               GUAVARAMP_VERSION};
        const char* default_path = std::getenv("GUAVARAMP_CONFIG");
        TCLAP::ValueArg<std::string> settings{
            "s",
            "settings",
            "Settings file (JSON with comments); GUAVARAMP_CONFIG when not given",
            false,
            default_path == nullptr ? "" : default_path,
            "file",
            command};
        TCLAP::MultiArg<std::string> overrides{
            "",    "set",       "Setting that goes before the file's; an empty VALUE changes nothing",
            false, "KEY=VALUE", command};
        TCLAP::SwitchArg check{"", "check-settings", "Check the settings file and exit", command};
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        return guavaramp::run({.path = settings.getValue(), .overrides = overrides.getValue()},
                              check.getValue());
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-director: " << failure.error() << " " << failure.argId() << '\n';
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-director: " << failure.what() << '\n';
        return 70;
    }
}
