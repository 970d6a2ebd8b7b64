#pragma once

#include <guavaramp/base/address.hpp>
#include <guavaramp/base/time.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

struct pollfd;

namespace guavaramp {

/// Time after which a probe without an answer has failed, provided that its reference address has answered.
/// Long enough for three connection attempts, the last of them with time for twenty round trips between
/// failure domains.
inline constexpr auto probe_timeout_with_reference = std::chrono::milliseconds{150};
/// Time after which a probe without an answer has failed if it has no reference address or the reference has
/// not answered either: packets may wait this long at this machine's own link while the link is busy.
inline constexpr auto probe_timeout_without_reference = std::chrono::milliseconds{600};
/// Time after which a second connection attempt starts in parallel with the first, so that one lost packet
/// does not fail a probe.
inline constexpr auto probe_second_attempt_delay = std::chrono::milliseconds{25};
/// Time after which a third connection attempt starts: a host whose accept queue is full drops SYN packets,
/// and the kernel retransmits a SYN only after a second.
inline constexpr auto probe_third_attempt_delay = std::chrono::milliseconds{75};
inline constexpr std::size_t max_probe_attempts = 3;

/// The outcome of a connection attempt.
enum class connect_outcome : std::uint8_t {
    connected,  ///< a process listens, even if it reset the established connection at once
    refused,    ///< nothing listens at the target's port
    no_answer   ///< the attempt timed out or failed with another error
};

/// The result of a probe.
struct finished_probe {
    std::uint32_t key{0};  ///< the key that the probe was started with
    connect_outcome outcome{connect_outcome::no_answer};
    mono_time started{};
};

/// Probes addresses by TCP connection attempts, which show whether a process listens there. Closes a
/// connection as soon as it is established and sends no data. Not thread-safe: one thread owns the prober.
class tcp_prober {
public:
    tcp_prober() = default;
    ~tcp_prober();
    tcp_prober(const tcp_prober&) = delete;
    tcp_prober& operator=(const tcp_prober&) = delete;

    /// Starts a probe of `target`; its result carries `key`. `reference` is an address that has answered
    /// recently, or `std::nullopt` if there is none.
    void start(std::uint32_t key, const endpoint& target, const std::optional<endpoint>& reference,
               mono_time now);

    /// Appends the sockets of all running probes to `polled`, to wait until one of them is ready.
    void add_to_poll(std::vector<pollfd>& polled) const;

    /// Returns the earliest time at which `collect_finished` has to be called although no socket is ready, or
    /// `fallback` if that is earlier or no probe is running.
    [[nodiscard]] mono_time next_deadline(mono_time fallback) const;

    /// Ends the probes that have an outcome and returns their results. Starts the second and third connection
    /// attempts that are due at `now`.
    [[nodiscard]] std::vector<finished_probe> collect_finished(mono_time now);

private:
    struct running_probe {
        std::uint32_t key{0};
        endpoint target;
        std::optional<endpoint> reference;
        mono_time started{};
        std::size_t attempts_started{0};
        /// Sockets of the attempts to connect to the target; -1 for one that could not be created.
        std::array<int, max_probe_attempts> sockets{-1, -1, -1};
        int reference_socket{-1};  ///< -1 while there is none
        bool is_refused{false};
        bool has_reference_answered{false};
    };

    /// Starts the next attempt to connect to the target, and with the second one an attempt to connect to the
    /// reference address, if there is one.
    static void start_attempt(running_probe& probe);
    static void close_sockets(running_probe& probe) noexcept;

    /// Returns the time from the start of `probe` until it needs attention although no socket is ready.
    [[nodiscard]] static std::chrono::milliseconds next_wait(const running_probe& probe) noexcept;

    std::vector<running_probe> running_;
};

}  // namespace guavaramp
