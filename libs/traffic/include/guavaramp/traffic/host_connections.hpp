#pragma once

#include <guavaramp/base/time.hpp>
#include <guavaramp/packet/ip_packet.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace guavaramp {

/// Separates the host's name from the echoed payload in an answer.
inline constexpr char answer_separator = '|';

struct host_options {
    std::string name;
    std::vector<endpoint> services;  ///< inner destinations that this host accepts
    double speed{1.0};               ///< work takes `work_ms / speed`
    std::size_t slots{2};            ///< pieces of work that run at once
    double work_ms{0.0};             ///< work of one data packet at speed 1
    std::size_t max_connections{2000};
    std::uint64_t seed{1};
};

/// Counters of a stand-in host's packet side.
struct host_counters {
    std::uint64_t packets{0};
    std::uint64_t connections{0};           ///< open now
    std::uint64_t accepted{0};              ///< since the start
    std::uint64_t accepted_after_drain{0};  ///< later than 3 s after the mark
    std::uint64_t refused_full{0};
    std::uint64_t misdelivered{0};
    std::uint64_t unknown_resets{0};   ///< resets sent for unknown connections
    std::uint64_t resets_received{0};  ///< known connections ended by a reset
    std::uint64_t forgotten{0};
    std::uint64_t forgotten_packets{0};
    std::uint64_t probes_answered{0};
    std::uint64_t data_packets{0};
    std::uint64_t busy_us{0};  ///< slot time used or committed
};

/// A segment to send: `header` without payload, plus the payload. It leaves at `due` and goes to
/// `outer_destination`.
struct host_answer {
    endpoint outer_destination;
    mono_time due{};
    ip_packet header;
    std::string payload;
};

/// The connections of a minimal TCP (RFC 9293) and UDP endpoint that echoes data, prefixed by its own name.
/// A segment that has no data and is out of order is answered with an ACK, so keep-alive probes
/// (RFC 1122 section 4.2.3.6) work. Not thread-safe.
class host_connections {
public:
    explicit host_connections(host_options options);

    /// Handles a packet that arrived from `outer_source` and returns the segments to send.
    [[nodiscard]] std::vector<host_answer> receive(const endpoint& outer_source, const ip_packet& packet,
                                                   mono_time now);

    /// Makes up to `count` random open connections silent and returns their flows. Their packets get no
    /// answer any more.
    std::vector<flow_key> forget(std::size_t count);

    /// Takes `now` as the start of a drain. Connections accepted more than 3 s later are counted.
    void mark_drain(mono_time now) noexcept;

    void set_work_ms(double work_ms) noexcept { options_.work_ms = work_ms; }

    [[nodiscard]] const host_counters& counters() const noexcept { return counters_; }
    [[nodiscard]] const host_options& options() const noexcept { return options_; }

private:
    struct connection {
        std::uint32_t initial_receive{0};
        std::uint32_t next_receive{0};  ///< next sequence number expected from the caller
        std::uint32_t initial_send{0};
        std::uint32_t next_send{0};
        std::uint32_t last_receive{0};  ///< sequence number of the last data segment
        std::uint32_t last_send{0};     ///< sequence number of its answer
        mono_time last_due{};
        bool closed{false};
    };

    [[nodiscard]] std::vector<host_answer> receive_udp(const endpoint& outer, const ip_packet& packet,
                                                       mono_time now);
    [[nodiscard]] host_answer accept(const ip_packet& packet, const flow_key& key, mono_time now);
    [[nodiscard]] std::vector<host_answer> receive_known(const ip_packet& packet, const flow_key& key,
                                                         connection& known, mono_time now);
    [[nodiscard]] host_answer receive_data(const ip_packet& packet, connection& known, mono_time now);
    [[nodiscard]] host_answer answer_unknown(const ip_packet& packet, mono_time now);
    [[nodiscard]] mono_time run_work(mono_time now);
    void close(connection& known);

    host_options options_;
    host_counters counters_;
    std::mt19937_64 random_;
    std::map<flow_key, connection> connections_;
    std::set<flow_key> forgotten_;
    std::vector<mono_time> slot_free_at_;
    bool drain_marked_{false};
    mono_time drain_started_{};
};

}  // namespace guavaramp
