#include "peer_socket.hpp"

#include <guavaramp/auth/peer_datagram.hpp>

#include <chrono>

namespace guavaramp {
namespace {

/// Directors whose messages are remembered against replay: twice a failure domain at the design size.
constexpr std::size_t most_senders = 272;
constexpr std::size_t receive_buffer_bytes = 256U << 10U;

}  // namespace

peer_socket::peer_socket(director_context& context, const peer_socket_options& options, udp_socket socket)
    : context_(context),
      options_(options),
      socket_(std::move(socket)),
      replays_(most_senders),
      budget_(make_token_bucket(options.messages_per_second, options.messages_burst,
                                std::chrono::steady_clock::now())),
      sent_(context.counters.get("peer_messages_sent_total", "Messages to other directors", options.purpose)),
      received_(context.counters.get("peer_messages_received_total", "Messages of other directors",
                                     options.purpose)),
      unsent_(context.counters.get("peer_messages_unsent_total", "Messages above the rate limit",
                                   options.purpose)) {}

result<peer_socket> peer_socket::open(director_context& context, const peer_socket_options& options) {
    auto socket = udp_socket::bind(options.local, receive_buffer_bytes);
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return peer_socket{context, options, *std::move(socket)};
}

const std::shared_ptr<const fleet_roster>& peer_socket::roster() {
    if (auto newer = context_.roster.get_if_changed(roster_version_)) {
        roster_ = std::move(newer);
    }
    return roster_;
}

void peer_socket::send(const endpoint& receiver, std::span<const std::uint8_t> payload, mono_time now) {
    if (roster() == nullptr) {
        return;
    }
    if (!take_tokens(budget_, 1.0, now)) {
        unsent_.add();
        return;
    }
    const datagram_origin origin{
        .sender = options_.local, .incarnation = roster_->incarnation, .sequence = ++sequence_};
    socket_.send(receiver, sign_datagram(roster_->keys, origin, receiver, std::as_bytes(payload)));
    sent_.add();
}

void peer_socket::receive(const handler& handle, const outdated_handler& handle_outdated) {
    for (auto batch = socket_.receive(); !batch.empty(); batch = socket_.receive()) {
        for (const auto& received : batch) {
            if (roster() == nullptr) {
                count_refused(error_kind::unauthenticated);
                continue;
            }
            const auto payload =
                verify_datagram(roster_->keys, replays_, received.source, options_.local, received.bytes);
            if (!payload) {
                key_doubted_ = key_doubted_ || payload.error().kind == error_kind::unauthenticated;
                count_refused(payload.error().kind);
                const auto latest = replays_.latest_incarnation(received.source.address);
                const bool outdated = payload.error().kind == error_kind::replayed &&
                                      unverified_incarnation(received.bytes) < latest;
                if (outdated && handle_outdated) {
                    handle_outdated(received.source, latest);
                }
                continue;
            }
            received_.add();
            handle(received.source, *payload);
        }
    }
}

void peer_socket::count_refused(error_kind kind) {
    context_.counters
        .get("peer_messages_refused_total", "Datagrams of other directors that were not accepted",
             std::string{representation_of(kind).name})
        .add();
}

}  // namespace guavaramp
