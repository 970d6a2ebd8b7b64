#pragma once

#include "peer_socket.hpp"

#include <guavaramp/director/peers.hpp>

#include <functional>
#include <span>

namespace guavaramp {

/// Sends and receives observations about upstreams between the directors of a failure domain. Not
/// thread-safe: the packet thread owns it.
class observation_channel {
public:
    /// Called for each observation in an accepted message.
    using observation_handler =
        std::function<void(const endpoint& sender, const host_observation& observation)>;

    /// Binds the socket. Errors: `unavailable`.
    [[nodiscard]] static result<observation_channel> open(director_context& context);

    [[nodiscard]] int native_handle() const noexcept { return socket_.native_handle(); }

    /// Sends `observations` to all other directors of the failure domain. Observations beyond
    /// `max_observations_per_message` are dropped; messages above the rate limit are dropped and counted.
    void send_to_all(std::span<const host_observation> observations, mono_time now);

    /// Sends `observation` to the director at `receiver`.
    void send_to(const endpoint& receiver, const host_observation& observation, mono_time now);

    /// Receives all messages that have arrived and calls `handle` for each observation in them.
    void receive(const observation_handler& handle);

private:
    observation_channel(peer_socket socket, bool sends_to_all)
        : socket_(std::move(socket)), sends_to_all_(sends_to_all) {}

    peer_socket socket_;
    bool sends_to_all_;  ///< off only in experiments
};

}  // namespace guavaramp
