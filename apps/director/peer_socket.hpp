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

/// Local address and limits of a `peer_socket`.
struct peer_socket_options {
    endpoint local;
    std::string purpose;              ///< label of the socket's counters
    double messages_per_second{100};  ///< send limit; a message counts once per receiver
    double messages_burst{400};       ///< messages that may be sent in one burst
};

/// A UDP socket for messages between directors. Each message carries an authentication tag, computed with
/// the fleet key over its sender, its receiver and its contents, and is accepted at most once. No message is
/// sent or accepted before the membership is known, since the membership holds the key. Not thread-safe: one
/// thread owns it.
class peer_socket {
public:
    /// Called for each accepted message.
    using message_handler = std::function<void(const endpoint& sender, std::span<const std::byte> payload)>;
    /// Called for an authentic message that carries a stale incarnation of its sender. `expected` is the
    /// latest incarnation seen from that sender.
    using stale_incarnation_handler = std::function<void(const endpoint& sender, std::uint64_t expected)>;

    /// Binds the socket. `context` must outlive it. Errors: `unavailable`.
    [[nodiscard]] static result<peer_socket> open(director_context& context,
                                                  const peer_socket_options& options);

    [[nodiscard]] int native_handle() const noexcept { return socket_.native_handle(); }

    /// Returns the latest membership; null if none has been published yet.
    [[nodiscard]] const std::shared_ptr<const director_membership>& membership();

    /// Queues `payload` for `receiver`. Messages above the rate limit are dropped and counted.
    void send(const endpoint& receiver, std::span<const std::uint8_t> payload, mono_time now);

    /// Sends the queued messages.
    void flush() { socket_.flush(); }

    /// Receives all datagrams that have arrived and calls `handle` for each accepted message.
    void receive(const message_handler& handle,
                 const stale_incarnation_handler& handle_stale_incarnation = {});

    /// Returns whether a message has failed authentication since the last call.
    [[nodiscard]] bool take_authentication_failure() noexcept {
        return std::exchange(authentication_failed_, false);
    }

    /// Counts a message that was rejected: it is not authentic, or it is authentic but cannot be used.
    void count_rejected(error_kind kind);

private:
    peer_socket(director_context& context, const peer_socket_options& options, udp_socket socket);

    director_context& context_;
    peer_socket_options options_;
    udp_socket socket_;
    std::shared_ptr<const director_membership> membership_;
    std::uint64_t membership_version_{0};
    std::uint64_t sequence_{0};
    bool authentication_failed_{false};
    replay_guard replays_;
    token_bucket send_tokens_;
    counter& sent_;
    counter& received_;
    counter& rate_limited_;
};

}  // namespace guavaramp
