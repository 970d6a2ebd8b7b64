#include "platform_server.hpp"

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

namespace guavaramp {
namespace {

constexpr auto stop_poll_period = std::chrono::milliseconds{20};
// A value of 1 MB grows when it is escaped inside the JSON body.
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr std::size_t server_threads = 2;

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number) { stop_signal = number; }

struct options {
    std::string listen;
    std::string config_file;
    std::string vms_file;
    std::uint64_t seed{1};
};

/// Parses a file and passes it to `load`; an empty name is skipped.
template <typename Load>
result<void> load_file(const std::string& path, Load load) {
    if (path.empty()) {
        return {};
    }
    std::ifstream file{path};
    if (!file) {
        return fail(error_kind::not_found, path + ": cannot be opened");
    }
    const auto parsed = nlohmann::json::parse(file, nullptr, false);
    if (parsed.is_discarded()) {
        return fail(error_kind::malformed, path + ": not JSON");
    }
    return load(parsed);
}

int exit_with(const error& failure) {
    std::cerr << "guavaramp-standin-platform: " << failure.message << '\n';
    return representation_of(failure.kind).exit_status;
}

int run(const options& chosen) {
    const auto local = parse_endpoint(chosen.listen);
    if (!local) {
        return exit_with(local.error());
    }
    platform_server platform{chosen.seed};
    const auto loaded = load_file(chosen.config_file, [&](const nlohmann::json& json) {
                            return platform.load_configuration(json);
                        }).and_then([&] {
        return load_file(chosen.vms_file,
                         [&](const nlohmann::json& json) { return platform.load_vms(json); });
    });
    if (!loaded) {
        return exit_with(loaded.error());
    }
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    auto server =
        start_http_server({.local = *local, .threads = server_threads, .max_body_bytes = max_body_bytes},
                          [&platform](http_request request, const http_responder& respond) {
                              platform.handle(std::move(request), respond);
                          });
    if (!server) {
        return exit_with(server.error());
    }
    while (stop_signal == 0) {
        std::this_thread::sleep_for(stop_poll_period);
    }
    return 0;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine command{"guavaramp-standin-platform: key-value service and VM list in memory", ' ',
                               GUAVARAMP_VERSION};
        TCLAP::ValueArg<std::string> listen{
            "l", "listen", "Address and port to serve on", false, "127.40.0.1:6090", "address:port", command};
        TCLAP::ValueArg<std::string> config{
            "c", "config", "Configuration (JSON) to store at start", false, "", "file", command};
        TCLAP::ValueArg<std::string> vms{"", "vms", "VM list (JSON) at start", false, "", "file", command};
        TCLAP::ValueArg<std::uint64_t> seed{"",       "seed", "Seed of the answers' delays", false, 1,
                                            "number", command};
        command.setExceptionHandling(false);
        command.parse(argc, argv);
        return guavaramp::run({.listen = listen.getValue(),
                               .config_file = config.getValue(),
                               .vms_file = vms.getValue(),
                               .seed = seed.getValue()});
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-standin-platform: " << failure.error() << " " << failure.argId() << '\n';
        return 2;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-standin-platform: " << failure.what() << '\n';
        return 70;
    }
}
