#pragma once

#include "peer_socket.hpp"

#include <guavaramp/director/peers.hpp>

#include <functional>
#include <span>

namespace guavaramp {

/// Sends and receives notes about upstreams between the directors of a failure domain. Not thread-safe: the
/// packet thread owns it.
class peer_link {
public:
    /// Runs for each note of an accepted message.
    using note_handler = std::function<void(const endpoint& sender, const host_observation& note)>;

    /// Binds the socket. Errors: `unavailable`.
    [[nodiscard]] static result<peer_link> open(director_context& context);

    [[nodiscard]] int native_handle() const noexcept { return socket_.native_handle(); }

    /// Sends `notes` to all other directors of the failure domain. More than a message holds, or more
    /// messages a second than the limit, are dropped and counted.
    void send_to_all(std::span<const host_observation> notes, mono_time now);

    /// Sends `note` to one director.
    void send_to(const endpoint& receiver, const host_observation& note, mono_time now);

    /// Handles what has arrived.
    void receive(const note_handler& handle);

private:
    explicit peer_link(peer_socket socket) : socket_(std::move(socket)) {}

    peer_socket socket_;
};

}  // namespace guavaramp
