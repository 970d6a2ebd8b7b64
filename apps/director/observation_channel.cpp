#include "observation_channel.hpp"

#include <algorithm>

namespace guavaramp {
namespace {

/// Rate limit of messages to other directors: 100 messages of 150 bytes a second take 15 KB/s, below the
/// budget of 19 KB/s for control traffic. One observation thus reaches each of the 132 other directors of a
/// failure domain at the design size less than once a second. The burst covers the observations about a
/// crashed host.
constexpr double messages_per_second = 100;
constexpr double messages_burst = 400;

}  // namespace

result<observation_channel> observation_channel::open(director_context& context) {
    auto socket = peer_socket::open(context, {.local = context.settings.peers,
                                              .purpose = "notes",
                                              .messages_per_second = messages_per_second,
                                              .messages_burst = messages_burst});
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return observation_channel{*std::move(socket),
                               context.settings.mechanisms.is_enabled(mechanism::host_observations)};
}

void observation_channel::send_to_all(std::span<const host_observation> observations, mono_time now) {
    const auto& membership = socket_.membership();
    if (observations.empty() || membership == nullptr || !sends_to_all_) {
        return;
    }
    const auto payload =
        encode_observations(observations.first(std::min(observations.size(), max_observations_per_message)));
    for (const auto& peer : membership->peers) {
        socket_.send(peer.observation_address, payload, now);
    }
    socket_.flush();
}

void observation_channel::send_to(const endpoint& receiver, const host_observation& observation,
                                  mono_time now) {
    socket_.send(receiver, encode_observations(std::span{&observation, 1}), now);
    socket_.flush();
}

void observation_channel::receive(const observation_handler& handle) {
    socket_.receive([this, &handle](const endpoint& sender, std::span<const std::byte> payload) {
        const auto observations = decode_observations(payload);
        if (!observations) {
            socket_.count_rejected(observations.error().kind);
            return;
        }
        for (const auto& observation : *observations) {
            handle(sender, observation);
        }
    });
}

}  // namespace guavaramp
