#include "peer_socket.hpp"

#include <guavaramp/auth/peer_datagram.hpp>

#include <chrono>

namespace guavaramp {
namespace {

/// Number of senders that replay protection tracks: a little more than twice the 133 directors of a failure
/// domain at the design size.
constexpr std::size_t max_tracked_senders = 272;
constexpr std::size_t receive_buffer_bytes = 256U << 10U;

}  // namespace

peer_socket::peer_socket(director_context& context, const peer_socket_options& options, udp_socket socket)
    : context_(context),
      options_(options),
      socket_(std::move(socket)),
      replays_(max_tracked_senders),
      send_tokens_(make_token_bucket(options.messages_per_second, options.messages_burst,
                                     std::chrono::steady_clock::now())),
      sent_(context.counters.get("peer_messages_sent_total", "Messages to other directors", options.purpose)),
      received_(context.counters.get("peer_messages_received_total", "Messages of other directors",
                                     options.purpose)),
      rate_limited_(context.counters.get("peer_messages_unsent_total", "Messages above the rate limit",
                                         options.purpose)) {}

result<peer_socket> peer_socket::open(director_context& context, const peer_socket_options& options) {
    auto socket = udp_socket::bind(options.local, receive_buffer_bytes);
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return peer_socket{context, options, *std::move(socket)};
}

const std::shared_ptr<const director_membership>& peer_socket::membership() {
    if (auto newer = context_.membership.get_if_changed(membership_version_)) {
        membership_ = std::move(newer);
    }
    return membership_;
}

void peer_socket::send(const endpoint& receiver, std::span<const std::uint8_t> payload, mono_time now) {
    if (membership() == nullptr) {
        return;
    }
    if (!take_tokens(send_tokens_, 1.0, now)) {
        rate_limited_.add();
        return;
    }
    const datagram_origin origin{
        .sender = options_.local, .incarnation = membership_->incarnation, .sequence = ++sequence_};
    socket_.send(receiver, sign_datagram(membership_->keys, origin, receiver, std::as_bytes(payload)));
    sent_.add();
}

void peer_socket::receive(const message_handler& handle,
                          const stale_incarnation_handler& handle_stale_incarnation) {
    for (auto batch = socket_.receive(); !batch.empty(); batch = socket_.receive()) {
        for (const auto& received : batch) {
            if (membership() == nullptr) {
                count_rejected(error_kind::unauthenticated);
                continue;
            }
            const auto payload =
                verify_datagram(membership_->keys, replays_, received.source, options_.local, received.bytes);
            if (!payload) {
                authentication_failed_ =
                    authentication_failed_ || payload.error().kind == error_kind::unauthenticated;
                count_rejected(payload.error().kind);
                const auto latest = replays_.latest_incarnation(received.source.address);
                const bool is_stale_incarnation = payload.error().kind == error_kind::replayed &&
                                                  unverified_incarnation(received.bytes) < latest;
                if (is_stale_incarnation && handle_stale_incarnation) {
                    handle_stale_incarnation(received.source, latest);
                }
                continue;
            }
            received_.add();
            handle(received.source, *payload);
        }
    }
}

void peer_socket::count_rejected(error_kind kind) {
    context_.counters
        .get("peer_messages_refused_total", "Datagrams of other directors that were not accepted",
             std::string{representation_of(kind).name})
        .add();
}

}  // namespace guavaramp
