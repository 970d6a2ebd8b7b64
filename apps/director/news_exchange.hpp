#pragma once

#include "peer_socket.hpp"

#include <guavaramp/director/update_relay.hpp>

#include <asio.hpp>

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// From where a director takes news of the store.
struct news_source {
    bool reads{false};          ///< it is a reader
    mono_time follows_until{};  ///< deadline until which others' news take the place of its own watches
    std::optional<relay_coverage> coverage;
};

/// What the exchange asks of its owner, and tells it. All run on the Asio context's thread.
struct news_hooks {
    /// The own report; nothing while the store does not answer.
    std::function<std::optional<reader_report>()> report;
    std::function<listing_state()> listing;
    std::function<void(const listing_delta&)> apply;
    /// All changes of the listing after a revision.
    std::function<std::optional<listing_delta>(std::uint64_t)> changes_after;
    std::function<void(const news_source&)> source_changed;
    /// How this director introduces itself, and what it does when another one has.
    std::function<domain_member()> self;
    std::function<void(const domain_member&)> introduced;
    /// Others have seen a later incarnation of this director.
    std::function<void(std::uint64_t)> outdated;
    /// A message has come that the key does not fit.
    std::function<void()> key_doubted;
};

/// Passes news of the store on to the directors of the own failure domain, and takes theirs. To be used on
/// the thread of the Asio context only.
class news_exchange {
public:
    /// `context` and `io` outlive the exchange.
    news_exchange(asio::io_context& io, director_context& context, peer_socket socket, news_hooks hooks);

    /// Binds the socket for it. Errors: `unavailable`.
    [[nodiscard]] static result<peer_socket> open_socket(director_context& context);

    /// Starts to listen. Goes on until the context's end.
    void start();

    /// Tells the others what has changed, if this director is a reader.
    void announce(const std::optional<listing_delta>& delta);

    /// The machine has been suspended: reports that were heard before no longer stand.
    void forget_reports();

private:
    void wait_for_messages();
    void handle(const endpoint& sender, std::span<const std::byte> payload);
    void wake();
    void wait_until(mono_time reconsider_at);
    void greet_due();
    void greet(std::span<const endpoint> receivers);
    void greet_unheard(std::span<const endpoint> named);
    void answer(const endpoint& sender);
    void answer_question(const endpoint& sender, std::uint64_t after_revision);
    void ask_due();
    void refuse(const endpoint& sender, std::uint64_t expected_incarnation);
    [[nodiscard]] reader_report own_report() const;
    [[nodiscard]] std::vector<endpoint> readers_heard() const;
    [[nodiscard]] std::vector<endpoint> readers_to_name();
    /// Returns when to look again if no message comes.
    mono_time update_source();
    void send_to(std::span<const endpoint> receivers, const relay_message& message);
    /// The same without sending yet: many messages then leave in few system calls.
    void queue(std::span<const endpoint> receivers, const relay_message& message);
    [[nodiscard]] std::vector<endpoint> listed_peers();

    director_context& context_;
    peer_socket socket_;
    asio::posix::stream_descriptor readable_;
    asio::steady_timer timer_;
    news_hooks hooks_;
    update_relay relay_;
    news_source source_;
    reader_role role_;
    change_request question_;
    mono_time report_at_{};
    mono_time greet_at_{};
    bool has_greeted_{false};
    std::vector<endpoint> named_readers_;  ///< last heard; named to others when they change
    std::uint32_t naming_reports_left_{0};
    counter& oversized_;
};

}  // namespace guavaramp
