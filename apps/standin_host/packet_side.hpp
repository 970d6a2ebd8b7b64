#pragma once

#include <guavaramp/net/http_router.hpp>
#include <guavaramp/net/udp_socket.hpp>
#include <guavaramp/traffic/host_connections.hpp>

#include <atomic>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace guavaramp {

/// The host's GUE endpoint on a thread of its own; stops when destroyed. Thread-safe.
class packet_side {
public:
    packet_side(udp_socket socket, host_options options);
    ~packet_side();
    packet_side(const packet_side&) = delete;
    packet_side& operator=(const packet_side&) = delete;

    /// Adds `GET /packets`, `POST /standin/forget {"count"}`, `POST /standin/mark` and
    /// `POST /standin/work {"work_ms"}`.
    void add_routes(http_router& router);

private:
    struct delayed_answer {
        host_answer answer;

        friend bool operator<(const delayed_answer& left, const delayed_answer& right) noexcept {
            return left.answer.due > right.answer.due;
        }
    };

    void run();
    void receive_batch();
    void send_due(mono_time now);
    void send(const host_answer& answer);
    [[nodiscard]] std::string counters_json();

    udp_socket socket_;
    std::mutex mutex_;  ///< guards `connections_`
    host_connections connections_;
    std::priority_queue<delayed_answer> delayed_;
    std::uint64_t malformed_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

}  // namespace guavaramp
