#include "packet_side.hpp"
#include "request_side.hpp"

#include <guavaramp/net/http.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

namespace guavaramp {
namespace {

constexpr auto stop_poll_period = std::chrono::milliseconds{50};
constexpr int bad_arguments_status = 2;

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number) { stop_signal = number; }

struct program_options {
    endpoint packet_address;
    endpoint request_address;
    host_options host;
    host_work_options work;
    bool false_health{false};
};

int report(const error& failure) {
    std::cerr << "guavaramp-standin-host: " << failure.message << '\n';
    return representation_of(failure.kind).exit_status;
}

/// One HTTP server for each service, on consecutive ports; all share the host's slots.
result<std::vector<std::unique_ptr<http_server>>> serve(const program_options& options,
                                                        const http_router& router) {
    std::vector<std::unique_ptr<http_server>> servers;
    auto local = options.request_address;
    for (std::size_t index = 0; index < options.host.services.size(); ++index, ++local.port) {
        auto server = start_http_server({.local = local},
                                        [&router](http_request request, const http_responder& respond) {
                                            router.handle(std::move(request), respond);
                                        });
        if (!server) {
            return tl::make_unexpected(server.error());
        }
        servers.push_back(*std::move(server));
    }
    return servers;
}

int run(const program_options& options) {
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    auto socket = udp_socket::bind(options.packet_address);
    if (!socket) {
        return report(socket.error());
    }
    packet_side packets{*std::move(socket), options.host};
    host_work work{options.work};
    http_router router;
    packets.add_routes(router);
    work.add_routes(router, options.false_health);
    const auto servers = serve(options, router);
    if (!servers) {
        return report(servers.error());
    }
    while (stop_signal == 0) {
        std::this_thread::sleep_for(stop_poll_period);
    }
    return 0;
}

/// Accepts "NAME=ADDRESS:PORT" and "ADDRESS:PORT".
result<endpoint> parse_service(const std::string& text) {
    const auto separator = text.find('=');
    return parse_endpoint(separator == std::string::npos ? text : text.substr(separator + 1));
}

result<program_options> parse_arguments(int argc, char** argv) {
    TCLAP::CmdLine command{"guavaramp-standin-host: an upstream for tests and experiments", ' ',
                           GUAVARAMP_VERSION};
    TCLAP::ValueArg<std::string> address{"a", "address", "Address of the host", true, "", "address", command};
    TCLAP::ValueArg<std::uint16_t> packet_port{"", "packet-port", "GUE port", false, 6080, "port", command};
    TCLAP::ValueArg<std::uint16_t> request_port{
        "",     "request-port", "HTTP port of the first service; further ones follow", false, 8080,
        "port", command};
    TCLAP::ValueArg<std::string> name{"n", "name", "Name, prefixed to answers", true, "", "name", command};
    TCLAP::MultiArg<std::string> services{
        "", "service", "A service that this host accepts, NAME=ADDRESS:PORT", true, "service", command};
    TCLAP::ValueArg<double> speed{"", "speed", "Work takes work-ms / speed", false, 1.0, "factor", command};
    TCLAP::ValueArg<std::size_t> slots{"", "slots", "Pieces of work at once", false, 2, "count", command};
    TCLAP::ValueArg<std::size_t> connections{
        "", "max-connections", "Open connections at most", false, 2000, "count", command};
    TCLAP::ValueArg<double> work_ms{"",   "work-ms", "Work of a data packet in ms at speed 1", false, 0.0,
                                    "ms", command};
    TCLAP::ValueArg<double> request_work_ms{
        "", "request-work-ms", "Mean work of a request in ms at speed 1", false, 100.0, "ms", command};
    TCLAP::SwitchArg false_health{"", "false-health", "Report good health and no load always", command};
    TCLAP::ValueArg<double> cold_start{
        "", "cold-start-s", "Seconds of reduced speed after the start", false, 0.0, "s", command};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of random choices", false, 1, "number", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);

    const auto host_address = parse_ip_address(address.getValue());
    if (!host_address) {
        return fail(error_kind::invalid_argument, "--address: " + host_address.error().message);
    }
    if (!(speed.getValue() > 0.0) || work_ms.getValue() < 0.0 || !(request_work_ms.getValue() > 0.0) ||
        slots.getValue() == 0) {
        return fail(error_kind::invalid_argument,
                    "--speed, --slots and --request-work-ms must be above 0, --work-ms must not be negative");
    }
    program_options options{.packet_address = {.address = *host_address, .port = packet_port.getValue()},
                            .request_address = {.address = *host_address, .port = request_port.getValue()},
                            .host = {.name = name.getValue(),
                                     .speed = speed.getValue(),
                                     .slots = slots.getValue(),
                                     .work_ms = work_ms.getValue(),
                                     .max_connections = connections.getValue(),
                                     .seed = seed.getValue()},
                            .work = {.speed = speed.getValue(),
                                     .slots = static_cast<int>(slots.getValue()),
                                     .work_ms = request_work_ms.getValue(),
                                     .cold_start_s = cold_start.getValue(),
                                     .seed = seed.getValue()},
                            .false_health = false_health.getValue()};
    for (const auto& text : services.getValue()) {
        const auto service = parse_service(text);
        if (!service) {
            return fail(error_kind::invalid_argument, "--service " + text + ": " + service.error().message);
        }
        options.host.services.push_back(*service);
    }
    return options;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        const auto options = guavaramp::parse_arguments(argc, argv);
        if (!options) {
            std::cerr << "guavaramp-standin-host: " << options.error().message << '\n';
            return guavaramp::bad_arguments_status;
        }
        return guavaramp::run(*options);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-standin-host: " << failure.error() << " " << failure.argId() << '\n';
        return guavaramp::bad_arguments_status;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-standin-host: " << failure.what() << '\n';
        return 70;
    }
}
