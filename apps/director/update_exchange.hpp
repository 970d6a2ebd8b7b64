#pragma once

#include "peer_socket.hpp"

#include <guavaramp/director/update_relay.hpp>

#include <asio.hpp>

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace guavaramp {

/// Tells whether a director reads the store itself or relies on the updates of the readers of its failure
/// domain.
struct update_source {
    bool is_reader{false};  ///< this director reads the store for its failure domain
    /// Deadline until which the updates of other directors replace this director's own watches.
    mono_time relies_on_readers_until{};
    /// What the reports of the reliable readers confirm; nothing if there is no reliable reader.
    std::optional<relay_coverage> coverage;
};

/// Callbacks through which an `update_exchange` queries and notifies its owner. All are called on the thread
/// of the Asio context.
struct update_exchange_callbacks {
    /// Returns this director's report as a reader; nothing while the store does not answer or before the
    /// first reads have succeeded.
    std::function<std::optional<reader_report>()> own_reader_report;
    /// Returns the revision and the digest of this director's listing.
    std::function<listing_state()> own_listing;
    /// Applies changes of the listing that another director has sent.
    std::function<void(const listing_delta&)> apply_delta;
    /// Applies the evacuated failure domains that another director has reported.
    std::function<void(const evacuation_report&)> apply_evacuations;
    /// Returns all changes of the listing after a revision; nothing if there are too many, or if this
    /// director has no report to send.
    std::function<std::optional<listing_delta>(std::uint64_t)> changes_after;
    /// Called each time the source has been determined again, also if it is the same.
    std::function<void(const update_source&)> source_changed;
    /// Returns the member data with which this director introduces itself.
    std::function<domain_member()> own_member;
    /// Called when another director has introduced itself.
    std::function<void(const domain_member&)> member_introduced;
    /// Called when another director has seen a later incarnation of this director than it has now.
    std::function<void(std::uint64_t)> stale_incarnation_reported;
    /// Called when a message has failed authentication with the fleet key.
    std::function<void()> authentication_failed;
};

/// Exchanges store updates, that is, readers' reports and changes of the listing, with the other directors of
/// the failure domain. Must be used on the thread of the Asio context only.
class update_exchange {
public:
    /// `context` and `io` must outlive the exchange.
    update_exchange(asio::io_context& io, director_context& context, peer_socket socket,
                    update_exchange_callbacks callbacks);

    /// Binds the socket that the constructor takes. Errors: `unavailable`.
    [[nodiscard]] static result<peer_socket> open_socket(director_context& context);

    /// Starts to receive and send messages until the Asio context ends.
    void start();

    /// If this director is a reader, sends `delta` to the other directors of the failure domain, or a report
    /// alone if `delta` is empty. Repeats the report after `report_repeat_wait`.
    void broadcast(const std::optional<listing_delta>& delta);

    /// If this director is a reader, reports to the other directors that it has verified its listing or its
    /// configuration, unless a later report does.
    void report_verification();

    /// Records that the store has answered a read that this director made because it hears no reader. The
    /// director becomes a reader if it was time for such a read.
    void report_own_read();

    /// Discards the readers' reports, which are stale after the machine was suspended.
    void discard_reports();

private:
    void wait_for_messages();
    void handle_message(const endpoint& sender, std::span<const std::byte> payload);
    void on_timer();
    void schedule_timer(mono_time next_role_update_at);
    void introduce_if_due();
    void send_introduction(std::span<const endpoint> receivers);
    void introduce_to_unheard_readers(std::span<const endpoint> readers);
    void answer_introduction(const endpoint& sender);
    void answer_change_request(const endpoint& sender, std::uint64_t after_revision);
    void send_change_request_if_due();
    void report_stale_incarnation(const endpoint& sender, std::uint64_t expected_incarnation);
    [[nodiscard]] reader_report own_report() const;
    [[nodiscard]] std::vector<endpoint> named_readers() const;
    [[nodiscard]] std::vector<endpoint> readers_to_announce();
    /// Determines the source again. Returns when to do so next if no message arrives before.
    mono_time refresh_source();
    void log_lost_coverage(mono_time time) const;
    void send_to(std::span<const endpoint> receivers, const relay_message& message);
    /// Queues `message` for `receivers` without sending it, so that many messages are sent in few system
    /// calls.
    void queue(std::span<const endpoint> receivers, const relay_message& message);
    [[nodiscard]] std::vector<endpoint> peer_update_addresses();

    director_context& context_;
    peer_socket socket_;
    asio::posix::stream_descriptor readable_;
    asio::steady_timer timer_;
    update_exchange_callbacks callbacks_;
    update_relay relay_;
    update_source source_;
    reader_role role_;
    change_request change_request_;
    report_schedule reports_;
    mono_time next_role_update_at_{};
    mono_time next_introduction_at_{};
    bool has_introduced_itself_{false};
    std::vector<endpoint> announced_readers_;     ///< readers that the latest reports name
    std::uint32_t reports_with_readers_left_{0};  ///< reports that will still name these readers
    counter& oversized_;
};

}  // namespace guavaramp
