#include "peer_link.hpp"

namespace guavaramp {
namespace {

/// Messages to other directors. One note of 150 bytes to 132 others, the failure domain at the design size,
/// five times a second stays below the 19 KB/s for control; the burst covers the crash of a host.
constexpr double messages_per_second = 100;
constexpr double messages_burst = 400;
/// Directors whose messages are remembered against replay: twice a failure domain at the design size.
constexpr std::size_t most_senders = 272;
constexpr std::size_t receive_buffer_bytes = 256U << 10U;

std::span<const std::byte> address_bytes(const endpoint& value) {
    return std::as_bytes(std::span{value.address.bytes});
}

}  // namespace

peer_link::peer_link(director_context& context, udp_socket socket)
    : context_(context),
      socket_(std::move(socket)),
      replays_(most_senders),
      budget_(make_token_bucket(messages_per_second, messages_burst, std::chrono::steady_clock::now())),
      sent_(context.counters.get("peer_messages_sent_total", "Messages to other directors")),
      received_(context.counters.get("peer_messages_received_total", "Messages of other directors")),
      unsent_(context.counters.get("peer_messages_unsent_total", "Messages above the rate limit")) {}

result<peer_link> peer_link::open(director_context& context) {
    auto socket = udp_socket::bind(context.settings.peers, receive_buffer_bytes);
    if (!socket) {
        return tl::make_unexpected(socket.error());
    }
    return peer_link{context, *std::move(socket)};
}

void peer_link::refresh_roster() {
    if (const auto version = context_.roster.version(); version != roster_version_) {
        roster_version_ = version;
        roster_ = context_.roster.get();
    }
}

void peer_link::send_to_all(std::span<const host_note> notes, mono_time now) {
    refresh_roster();
    if (notes.empty() || roster_ == nullptr) {
        return;
    }
    const auto limited = notes.first(std::min(notes.size(), most_notes));
    for (const auto& peer : roster_->peers) {
        send_message(peer.address, limited, now);
    }
    socket_.flush();
}

void peer_link::send_to(const endpoint& receiver, const host_note& note, mono_time now) {
    refresh_roster();
    if (roster_ != nullptr) {
        send_message(receiver, std::span{&note, 1}, now);
        socket_.flush();
    }
}

void peer_link::send_message(const endpoint& receiver, std::span<const host_note> notes, mono_time now) {
    if (!take_tokens(budget_, 1.0, now)) {
        unsent_.add();
        return;
    }
    const auto payload = encode_peer_message({.incarnation = roster_->incarnation,
                                              .sequence = ++sequence_,
                                              .notes = {notes.begin(), notes.end()}});
    const auto payload_bytes = std::as_bytes(std::span{payload});
    const auto tag = compute_tag(
        roster_->keys, {address_bytes(context_.settings.peers), address_bytes(receiver), payload_bytes});
    std::vector<std::byte> message{tag.begin(), tag.end()};
    message.insert(message.end(), payload_bytes.begin(), payload_bytes.end());
    socket_.send(receiver, message);
    sent_.add();
}

void peer_link::receive(const note_handler& handle) {
    refresh_roster();
    for (auto batch = socket_.receive(); !batch.empty(); batch = socket_.receive()) {
        for (const auto& received : batch) {
            const auto message = accept(received);
            if (!message) {
                count_refused(message.error().kind);
                continue;
            }
            received_.add();
            for (const auto& note : message->notes) {
                handle(received.source, note);
            }
        }
    }
}

result<peer_message> peer_link::accept(const datagram& received) {
    if (roster_ == nullptr || received.bytes.size() < authentication_tag_size) {
        return fail(error_kind::unauthenticated, "no key or no tag");
    }
    const auto tag = received.bytes.first(authentication_tag_size);
    const auto payload = received.bytes.subspan(authentication_tag_size);
    if (!verify_tag(roster_->keys, tag,
                    {address_bytes(received.source), address_bytes(context_.settings.peers), payload})) {
        return fail(error_kind::unauthenticated, "wrong tag");
    }
    auto message = decode_peer_message(payload);
    if (!message) {
        return message;
    }
    if (auto fresh = replays_.accept(received.source.address, message->incarnation, message->sequence);
        !fresh) {
        return tl::make_unexpected(fresh.error());
    }
    return message;
}

void peer_link::count_refused(error_kind kind) {
    context_.counters
        .get("peer_messages_refused_total", "Datagrams of other directors that were not accepted",
             std::string{answer_for(kind).name})
        .add();
}

}  // namespace guavaramp
