#pragma once

#include "director_context.hpp"

#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/net/udp_socket.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <utility>

namespace guavaramp {

/// What a `peer_socket` is for.
struct peer_socket_options {
    endpoint local;
    std::string purpose;              ///< label of its counters
    double messages_per_second{100};  ///< limit of what is sent, per receiver counted
    double messages_burst{400};
};

/// A UDP socket for messages between directors. Each message is signed with the fleet's key for its sender
/// and receiver and accepted once. Without a roster nothing is sent or accepted. Not thread-safe: one thread
/// owns it.
class peer_socket {
public:
    /// Runs for each accepted message.
    using handler = std::function<void(const endpoint& sender, std::span<const std::byte> payload)>;
    /// Runs for an authentic message of an incarnation below `expected`, which is above all that its sender
    /// had.
    using outdated_handler = std::function<void(const endpoint& sender, std::uint64_t expected)>;

    /// Binds the socket. `context` outlives it. Errors: `unavailable`.
    [[nodiscard]] static result<peer_socket> open(director_context& context,
                                                  const peer_socket_options& options);

    [[nodiscard]] int native_handle() const noexcept { return socket_.native_handle(); }

    /// The latest roster; null before the first.
    [[nodiscard]] const std::shared_ptr<const fleet_roster>& roster();

    /// Queues `payload` for `receiver`. Messages above the limit are dropped and counted.
    void send(const endpoint& receiver, std::span<const std::uint8_t> payload, mono_time now);

    /// Sends what is queued.
    void flush() { socket_.flush(); }

    /// Handles what has arrived.
    void receive(const handler& handle, const outdated_handler& handle_outdated = {});

    /// Whether a message has come since the last call that the key does not fit.
    [[nodiscard]] bool take_key_doubt() noexcept { return std::exchange(key_doubted_, false); }

    /// Counts a message that is authentic and cannot be used, or not authentic.
    void count_refused(error_kind kind);

private:
    peer_socket(director_context& context, const peer_socket_options& options, udp_socket socket);

    director_context& context_;
    peer_socket_options options_;
    udp_socket socket_;
    std::shared_ptr<const fleet_roster> roster_;
    std::uint64_t roster_version_{0};
    std::uint64_t sequence_{0};
    bool key_doubted_{false};
    replay_guard replays_;
    token_bucket budget_;
    counter& sent_;
    counter& received_;
    counter& unsent_;
};

}  // namespace guavaramp
