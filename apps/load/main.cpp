#include "load_control.hpp"

#include <guavaramp/net/http.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <string_view>
#include <thread>

namespace guavaramp {
namespace {

constexpr auto stop_poll_period = std::chrono::milliseconds{50};
constexpr int bad_arguments_status = 2;

volatile std::sig_atomic_t stop_signal = 0;

void on_signal(int number) { stop_signal = number; }

void wait_for_signal() {
    while (stop_signal == 0) {
        std::this_thread::sleep_for(stop_poll_period);
    }
}

int report(const error& failure) {
    std::cerr << "guavaramp-load: " << failure.message << '\n';
    return failure.kind == error_kind::unavailable ? representation_of(failure.kind).exit_status
                                                   : bad_arguments_status;
}

result<std::unique_ptr<http_server>> serve(const endpoint& local, const http_router& router) {
    return start_http_server({.local = local},
                             [&router](http_request request, const http_responder& respond) {
                                 router.handle(std::move(request), respond);
                             });
}

template <typename Engine>
int serve_control(Engine& engine, const endpoint& local) {
    http_router router;
    add_control_routes(engine, router);
    const auto server = serve(local, router);
    if (!server) {
        return report(server.error());
    }
    wait_for_signal();
    return 0;
}

int run_flows(int argc, char** argv) {
    TCLAP::CmdLine command{"guavaramp-load flows: callers' flows and the fabric, driven over HTTP", ' ',
                           GUAVARAMP_VERSION};
    TCLAP::ValueArg<std::string> listen{
        "", "listen", "Fabric address", false, "127.30.0.1:6080", "address:port", command};
    TCLAP::ValueArg<std::string> control{
        "", "control", "HTTP control address", false, "127.30.0.1:6090", "address:port", command};
    TCLAP::ValueArg<std::string> entries{
        "", "entries", "JSON file: entry VMs by failure domain", false, "", "file", command};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of random choices", false, 1, "number", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);

    const auto listen_address = parse_endpoint(listen.getValue());
    const auto control_address = parse_endpoint(control.getValue());
    if (!listen_address || !control_address) {
        return report(listen_address ? control_address.error() : listen_address.error());
    }
    auto socket = udp_socket::bind(*listen_address);
    if (!socket) {
        return report(socket.error());
    }
    flow_engine engine{*std::move(socket), seed.getValue()};
    if (!entries.getValue().empty()) {
        if (const auto added = add_entries_from_file(engine, entries.getValue()); !added) {
            return report(added.error());
        }
    }
    return serve_control(engine, *control_address);
}

int run_requests(int argc, char** argv) {
    TCLAP::CmdLine command{"guavaramp-load requests: callers' HTTP requests, driven over HTTP", ' ',
                           GUAVARAMP_VERSION};
    TCLAP::ValueArg<std::string> control{
        "", "control", "HTTP control address", false, "127.30.0.1:6091", "address:port", command};
    TCLAP::ValueArg<std::string> entries{
        "", "entries", "JSON file: entry VMs by failure domain", false, "", "file", command};
    TCLAP::ValueArg<std::uint16_t> port{"",     "http-port", "HTTP port of entry VMs", false, 6083,
                                        "port", command};
    TCLAP::ValueArg<std::size_t> clients{"", "clients", "Client threads", false, 2, "count", command};
    TCLAP::ValueArg<std::size_t> limit{
        "", "max-in-progress", "Requests in progress at most", false, 8000, "count", command};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of random choices", false, 1, "number", command};
    command.setExceptionHandling(false);
    command.parse(argc, argv);

    const auto control_address = parse_endpoint(control.getValue());
    if (!control_address) {
        return report(control_address.error());
    }
    request_engine engine{port.getValue(), seed.getValue(), clients.getValue(), limit.getValue()};
    if (!entries.getValue().empty()) {
        if (const auto added = add_entries_from_file(engine, entries.getValue()); !added) {
            return report(added.error());
        }
    }
    return serve_control(engine, *control_address);
}

int dispatch(int argc, char** argv) {
    const std::string_view subcommand = argc > 1 ? argv[1] : "";
    if (subcommand == "flows") {
        return run_flows(argc - 1, argv + 1);
    }
    if (subcommand == "requests") {
        return run_requests(argc - 1, argv + 1);
    }
    std::cerr << "guavaramp-load: found '" << subcommand << "', allowed: flows, requests\n";
    return bad_arguments_status;
}

}  // namespace
}  // namespace guavaramp

int main(int argc, char** argv) {
    try {
        std::signal(SIGTERM, guavaramp::on_signal);
        std::signal(SIGINT, guavaramp::on_signal);
        return guavaramp::dispatch(argc, argv);
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "guavaramp-load: " << failure.error() << " " << failure.argId() << '\n';
        return guavaramp::bad_arguments_status;
    } catch (const std::exception& failure) {
        std::cerr << "guavaramp-load: " << failure.what() << '\n';
        return 70;
    }
}
