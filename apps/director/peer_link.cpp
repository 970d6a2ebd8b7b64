#include "peer_link.hpp"

#include <algorithm>

namespace guavaramp {
namespace {

/// Messages to other directors. One note of 150 bytes to 132 others, the failure domain at the design size,
/// less than once a second stays below the 19 KB/s for control; the burst covers the crash of a host.
constexpr double messages_per_second = 100;
constexpr double messages_burst = 400;

}  // namespace

result<peer_link> peer_link::open(director_context& context) {
    auto socket = peer_socket::open(context, {.local = context.settings.peers,
                                              .purpose = "notes",
                                              .messages_per_second = messages_per_second,
                                              .messages_burst = messages_burst});
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return peer_link{*std::move(socket)};
}

void peer_link::send_to_all(std::span<const host_observation> notes, mono_time now) {
    const auto& roster = socket_.roster();
    if (notes.empty() || roster == nullptr) {
        return;
    }
    const auto payload =
        encode_observations(notes.first(std::min(notes.size(), max_observations_per_message)));
    for (const auto& peer : roster->peers) {
        socket_.send(peer.observation_address, payload, now);
    }
    socket_.flush();
}

void peer_link::send_to(const endpoint& receiver, const host_observation& note, mono_time now) {
    socket_.send(receiver, encode_observations(std::span{&note, 1}), now);
    socket_.flush();
}

void peer_link::receive(const note_handler& handle) {
    socket_.receive([this, &handle](const endpoint& sender, std::span<const std::byte> payload) {
        const auto notes = decode_observations(payload);
        if (!notes) {
            socket_.count_refused(notes.error().kind);
            return;
        }
        for (const auto& note : *notes) {
            handle(sender, note);
        }
    });
}

}  // namespace guavaramp
