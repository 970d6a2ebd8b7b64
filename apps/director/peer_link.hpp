#pragma once

#include "director_context.hpp"

#include <guavaramp/base/token_bucket.hpp>
#include <guavaramp/net/udp_socket.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace guavaramp {

/// Sends and receives notes between directors: CBOR over UDP, signed with the fleet's key for its sender and
/// receiver, each message accepted once. Without a roster nothing is sent or accepted. Not thread-safe: the
/// packet thread owns it.
class peer_link {
public:
    /// Runs for each note of an accepted message.
    using note_handler = std::function<void(const endpoint& sender, const host_note& note)>;

    /// Binds the socket. Errors: `unavailable`.
    [[nodiscard]] static result<peer_link> open(director_context& context);

    [[nodiscard]] int native_handle() const noexcept { return socket_.native_handle(); }

    /// Sends `notes` to all other directors of the failure domain. More than a message holds, or more
    /// messages a second than the limit, are dropped and counted.
    void send_to_all(std::span<const host_note> notes, mono_time now);

    /// Sends `note` to one director.
    void send_to(const endpoint& receiver, const host_note& note, mono_time now);

    /// Handles what has arrived.
    void receive(const note_handler& handle);

private:
    peer_link(director_context& context, udp_socket socket);

    void refresh_roster();
    void send_message(const endpoint& receiver, std::span<const host_note> notes, mono_time now);
    [[nodiscard]] result<peer_message> accept(const datagram& received);
    void count_refused(error_kind kind);

    director_context& context_;
    udp_socket socket_;
    std::shared_ptr<const fleet_roster> roster_;
    std::uint64_t roster_version_{0};
    std::uint64_t sequence_{0};
    replay_guard replays_;
    token_bucket budget_;
    counter& sent_;
    counter& received_;
    counter& unsent_;
};

}  // namespace guavaramp
