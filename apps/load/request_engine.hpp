#pragma once

#include <guavaramp/net/http.hpp>
#include <guavaramp/traffic/caller_request.hpp>
#include <guavaramp/traffic/fabric.hpp>
#include <guavaramp/traffic/latency_histogram.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace guavaramp {

/// A stream of requests of one kind; arrivals are a Poisson process (open loop).
struct stream_options {
    std::string name;
    std::string service;
    std::string urgency{"normal"};
    double rate{0.0};                ///< new requests a second; 0 stops the stream
    std::int64_t deadline_ms{1000};  ///< allowed time of one request
    bool idempotent{true};
    std::size_t body_bytes{32};
    retry_policy retries;
};

/// Sends requests to random entry VMs with retries. Thread-safe.
class request_engine {
public:
    request_engine(std::uint16_t entry_http_port, std::uint64_t seed, std::size_t clients,
                   std::size_t max_in_progress);
    ~request_engine();
    request_engine(const request_engine&) = delete;
    request_engine& operator=(const request_engine&) = delete;

    void set_stream(const stream_options& options);
    void add_entry(const std::string& domain, const endpoint& entry, std::chrono::milliseconds delay);
    void remove_entry(const endpoint& entry, std::chrono::milliseconds delay);

    /// Per stream: totals by result, attempts, latency quantiles of answered requests.
    [[nodiscard]] nlohmann::json stats();
    /// Per stream and 100 ms interval: requests that arrived, those of them answered in time, answers in time
    /// that came in the interval.
    [[nodiscard]] nlohmann::json timeline();
    /// Ids of the requests with a result.
    [[nodiscard]] nlohmann::json ids(const std::string& result);

private:
    static constexpr std::size_t result_count = 7;

    struct interval_counts {
        std::uint64_t arrived{0};
        std::uint64_t good{0};       ///< of these, answered in time
        std::uint64_t completed{0};  ///< good answers that came in this interval
    };

    struct stream_state {
        stream_options options;
        mono_time next_arrival{};
        std::uint64_t arrivals{0};
        std::uint64_t not_sent{0};  ///< arrivals beyond the limit of requests in progress
        std::uint64_t attempts{0};
        std::uint64_t in_progress{0};
        std::array<std::uint64_t, result_count> results{};
        latency_histogram latency;
        std::vector<interval_counts> intervals;
        std::map<std::string, std::uint64_t> not_run_reasons;
    };

    struct active_request {
        caller_request request;
        std::size_t stream{0};
        mono_time arrived{};
    };

    struct retry {
        std::int64_t at_ms;
        std::uint64_t number;

        friend bool operator<(const retry& left, const retry& right) noexcept {
            return left.at_ms > right.at_ms;
        }
    };

    void run();
    void make_arrivals(mono_time now);
    void arrive(std::size_t stream, mono_time now);
    void send_retries();
    void send(std::uint64_t number, active_request& active);
    void end(std::uint64_t number, const http_outcome& outcome);
    void finish(std::uint64_t number, active_request& active);
    [[nodiscard]] interval_counts& interval_at(stream_state& stream, mono_time when) const;

    std::uint16_t entry_http_port_;
    std::uint64_t seed_;
    std::size_t max_in_progress_;
    std::mutex mutex_;  ///< guards everything below but the clients
    std::mt19937_64 random_;
    fabric fabric_;
    std::vector<stream_state> streams_;
    std::map<std::uint64_t, active_request> active_;
    std::priority_queue<retry> retries_;
    std::map<std::string, request_result> results_;
    std::uint64_t next_number_{0};
    mono_time started_;
    std::int64_t started_unix_ms_;
    std::atomic<bool> stopped_{false};
    std::vector<std::unique_ptr<http_client>> clients_;
    std::thread thread_;
};

}  // namespace guavaramp
