#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

struct pollfd;

namespace guavaramp {

/// When a probe without an answer has failed, provided that its reference has connected. Time for three
/// attempts, the last with twenty round trips between failure domains.
inline constexpr auto probe_timeout = std::chrono::milliseconds{150};
/// When a probe without an answer has failed although its reference, or the lack of one, shows nothing:
/// packets may have to wait this long at this machine's own link while it is busy.
inline constexpr auto probe_longest_time = std::chrono::milliseconds{600};
/// When a second connection attempt starts beside the first, so that one lost packet does not fail a probe.
inline constexpr auto probe_second_attempt_after = std::chrono::milliseconds{25};
/// When a third one starts: a host whose queue of new connections is full drops attempts, and the kernel
/// sends a dropped one again only after a second.
inline constexpr auto probe_third_attempt_after = std::chrono::milliseconds{75};

/// The result of a connection attempt.
enum class connect_outcome : std::uint8_t { connected, refused, silent };

struct finished_probe {
    std::uint32_t key{0};
    connect_outcome outcome{connect_outcome::silent};
    mono_time started{};
};

/// TCP connection attempts that show whether something listens at an address. A connection is closed as soon
/// as it stands; no byte is sent. Not thread-safe: one thread owns the set.
class tcp_probes {
public:
    tcp_probes() = default;
    ~tcp_probes();
    tcp_probes(const tcp_probes&) = delete;
    tcp_probes& operator=(const tcp_probes&) = delete;

    /// Starts a probe of `target`; `key` comes back with its result. `reference` is an address that has
    /// answered lately, if there is one.
    void start(std::uint32_t key, const endpoint& target, const std::optional<endpoint>& reference,
               mono_time now);

    /// Appends the sockets to wait for.
    void add_to_poll(std::vector<pollfd>& polled) const;

    /// The earliest time at which `collect` has something to do without a ready socket; `otherwise` when
    /// there is none.
    [[nodiscard]] mono_time next_deadline(mono_time otherwise) const;

    /// Ends the probes that have an outcome, and starts second attempts that are due.
    [[nodiscard]] std::vector<finished_probe> collect(mono_time now);

private:
    struct attempt {
        std::uint32_t key{0};
        endpoint target;
        std::optional<endpoint> reference;
        mono_time started{};
        int first{-1};
        int second{-1};
        int third{-1};
        int reference_socket{-1};
        bool refused{false};
        bool reference_answered{false};
    };

    static void start_second_attempts(attempt& probe);

    /// Time from a probe's start to when it has something to do without a ready socket.
    [[nodiscard]] static std::chrono::milliseconds next_wait(const attempt& probe) noexcept;

    std::vector<attempt> running_;
};

}  // namespace guavaramp
