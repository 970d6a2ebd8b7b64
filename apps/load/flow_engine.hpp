#pragma once

#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/net/udp_socket.hpp>
#include <guavaramp/traffic/caller_flow.hpp>
#include <guavaramp/traffic/fabric.hpp>
#include <guavaramp/traffic/latency_histogram.hpp>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace guavaramp {

/// What callers of one group do. All of it can be changed while the group runs.
struct group_options {
    std::string name;
    endpoint service;
    std::size_t target{0};         ///< flows to keep open
    double open_rate{1000.0};      ///< new flows a second at most
    double message_interval_ms{};  ///< 0: the flow is silent after it opened
    double lifetime_ms{};          ///< 0: the flow stays open
    std::uint16_t payload_bytes{64};
    std::chrono::milliseconds answer_limit{default_answer_limit};
};

/// Plays callers and the packet-spraying fabric on one UDP socket with a thread of its own. Thread-safe.
class flow_engine {
public:
    flow_engine(udp_socket socket, std::uint64_t seed);
    ~flow_engine();
    flow_engine(const flow_engine&) = delete;
    flow_engine& operator=(const flow_engine&) = delete;

    void set_group(const group_options& options);

    /// Ends all flows of a group with FIN and opens no more. Returns false when the group is unknown.
    bool close_group(const std::string& name);

    void add_entry(const std::string& domain, const endpoint& entry, std::chrono::milliseconds delay);
    void remove_entry(const endpoint& entry, std::chrono::milliseconds delay);

    /// Totals, per group, per host.
    [[nodiscard]] nlohmann::json stats();
    /// Broken flows with cause and time.
    [[nodiscard]] nlohmann::json broken();
    /// Messages by the 100 ms interval in which they were first sent.
    [[nodiscard]] nlohmann::json timeline();

private:
    struct group_state {
        group_options options;
        token_bucket openings;
        bool closing{false};
        std::vector<std::uint64_t> members;
        std::size_t open{0};
        std::size_t opening{0};
        std::uint64_t opened{0};
        std::uint64_t ended{0};
        std::uint64_t broken{0};
        std::uint64_t messages{0};
        std::uint64_t answers{0};
        latency_histogram latency;
    };

    struct flow_slot {
        caller_flow flow;
        std::uint32_t group{0};
        std::uint32_t domain{0};
        mono_time due{};
        mono_time next_message{};
        mono_time ends{mono_time::max()};
        endpoint last_entry;
    };

    struct timer {
        mono_time when;
        std::uint64_t number;

        friend bool operator<(const timer& left, const timer& right) noexcept {
            return left.when > right.when;
        }
    };

    struct interval_counts {
        std::uint64_t sent{0};
        std::uint64_t answered{0};
        std::uint64_t retransmitted{0};
        std::uint64_t broken{0};
        double longest_wait_ms{0.0};
    };

    struct broken_flow {
        std::uint64_t number{0};
        mono_time when;
    };

    void run();
    void step();
    void receive_all();
    void receive_packet(const ip_packet& packet, mono_time now);
    void react(flow_slot& slot, answer_verdict verdict, mono_time answered_first_sent, mono_time now);
    void open_flows(mono_time now);
    void open_flow(std::uint32_t group, mono_time now);
    void run_timers(mono_time now);
    void run_timer(flow_slot& slot, mono_time now);
    void schedule(flow_slot& slot, mono_time when);
    void schedule_next(flow_slot& slot, mono_time now);
    void transmit_waiting(flow_slot& slot, mono_time now);
    void transmit(flow_slot& slot, const ip_packet& packet);
    void note_broken(flow_slot& slot, mono_time now);
    void note_ended(flow_slot& slot);
    [[nodiscard]] mono_time first_message_time(const group_state& group, mono_time now);
    [[nodiscard]] interval_counts& interval_at(mono_time when);
    [[nodiscard]] std::int64_t unix_ms(mono_time when) const;

    udp_socket socket_;
    std::mutex mutex_;  ///< guards everything below
    std::mt19937_64 random_;
    fabric fabric_;
    std::vector<std::string> domains_;
    std::vector<group_state> groups_;
    std::deque<flow_slot> flows_;
    std::priority_queue<timer> timers_;
    std::vector<broken_flow> broken_;
    std::vector<interval_counts> intervals_;
    mono_time started_;
    std::int64_t started_unix_ms_;
    std::uint64_t packets_sent_{0};
    std::uint64_t packets_received_{0};
    std::uint64_t retransmissions_{0};
    std::uint64_t strays_{0};  ///< packets that belong to no flow
    std::uint64_t no_entry_{0};
    std::atomic<bool> stopped_{false};
    std::thread thread_;
};

}  // namespace guavaramp
