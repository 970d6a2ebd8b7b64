#include "packet_side.hpp"

#include <guavaramp/packet/gue.hpp>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <utility>

namespace guavaramp {
namespace {

using nlohmann::json;

constexpr int poll_ms = 5;

mono_time now_mono() { return std::chrono::steady_clock::now(); }

http_response bad_body() {
    return error_response({.kind = error_kind::malformed, .message = "the body is not the expected JSON"});
}

}  // namespace

packet_side::packet_side(udp_socket socket, host_options options)
    : socket_(std::move(socket)), connections_(std::move(options)), thread_([this] { run(); }) {}

packet_side::~packet_side() {
    stopped_ = true;
    thread_.join();
}

void packet_side::run() {
    const std::array<const udp_socket*, 1> sockets{&socket_};
    while (!stopped_) {
        wait_readable(sockets, delayed_.empty() ? poll_ms : 1);
        receive_batch();
        send_due(now_mono());
        socket_.flush();
    }
}

void packet_side::receive_batch() {
    const std::lock_guard lock{mutex_};
    for (const auto& received : socket_.receive()) {
        const auto gue = decode_gue(received.bytes);
        const auto packet =
            gue ? parse_ip_packet(gue->inner) : result<ip_packet>{fail(error_kind::malformed, "")};
        if (!packet) {
            ++malformed_;
            continue;
        }
        const auto now = now_mono();
        for (auto& answer : connections_.receive(received.source, *packet, now)) {
            if (answer.due <= now) {
                send(answer);
            } else {
                delayed_.push({std::move(answer)});
            }
        }
    }
}

void packet_side::send_due(mono_time now) {
    while (!delayed_.empty() && delayed_.top().answer.due <= now) {
        send(delayed_.top().answer);
        delayed_.pop();
    }
}

void packet_side::send(const host_answer& answer) {
    std::array<std::byte, max_datagram_size> inner{};
    std::array<std::byte, max_datagram_size> outer{};
    auto header = answer.header;
    header.payload = std::as_bytes(std::span{answer.payload});
    const auto inner_size = build_ip_packet(header, inner);
    const auto size = encode_gue(
        {.protocol = encapsulated_protocol(header), .inner = std::span{inner}.first(inner_size)}, outer);
    socket_.send(answer.outer_destination, std::span{outer}.first(size));
}

std::string packet_side::counters_json() {
    const std::lock_guard lock{mutex_};
    const auto& value = connections_.counters();
    const auto& options = connections_.options();
    return json{{"name", options.name},
                {"speed", options.speed},
                {"slots", options.slots},
                {"packets", value.packets},
                {"connections", value.connections},
                {"accepted", value.accepted},
                {"accepted_after_drain", value.accepted_after_drain},
                {"refused_full", value.refused_full},
                {"misdelivered", value.misdelivered},
                {"unknown_resets", value.unknown_resets},
                {"resets_received", value.resets_received},
                {"forgotten", value.forgotten},
                {"forgotten_packets", value.forgotten_packets},
                {"probes_answered", value.probes_answered},
                {"data_packets", value.data_packets},
                {"busy_us", value.busy_us},
                {"malformed", malformed_},
                {"send_failures", socket_.send_failures()}}
        .dump();
}

void packet_side::add_routes(http_router& router) {
    router.add("GET", "/packets", [this](const http_request&, const http_responder& respond) {
        respond({.body = counters_json()});
    });
    router.add("POST", "/standin/mark", [this](const http_request&, const http_responder& respond) {
        const std::lock_guard lock{mutex_};
        connections_.mark_drain(now_mono());
        respond({.body = "{}"});
    });
    router.add("POST", "/standin/forget", [this](const http_request& request, const http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.value("count", json{}).is_number_unsigned()) {
            respond(bad_body());
            return;
        }
        json flows = json::array();
        const std::lock_guard lock{mutex_};
        for (const auto& key : connections_.forget(body["count"].get<std::size_t>())) {
            flows.push_back(to_string(key.caller) + " -> " + to_string(key.service));
        }
        respond({.body = json{{"forgotten", flows}}.dump()});
    });
    router.add("POST", "/standin/work", [this](const http_request& request, const http_responder& respond) {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.value("work_ms", json{}).is_number()) {
            respond(bad_body());
            return;
        }
        const std::lock_guard lock{mutex_};
        connections_.set_work_ms(body["work_ms"].get<double>());
        respond({.body = "{}"});
    });
}

}  // namespace guavaramp
