#pragma once

#include "director_context.hpp"

#include <guavaramp/director/domain_membership.hpp>
#include <guavaramp/director/registration.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <random>
#include <string>
#include <vector>

namespace guavaramp {

/// Learns from the platform's store and from introductions who the other directors of the failure domain are,
/// publishes them as a `fleet_roster`, and keeps an entry that names them while this director is a reader. To
/// be used on the thread of the Asio context only.
class roster_keeper {
public:
    roster_keeper(asio::io_context& io, director_context& context);

    /// Starts to read. Goes on until the context's end.
    void start();

    /// Whether this director is a reader.
    void set_reader(bool reads);

    /// A director has introduced itself. One of another failure domain is ignored.
    void add_member(const domain_member& member);

    /// How this director introduces itself.
    [[nodiscard]] domain_member self() const;

    /// Others have seen a later incarnation of this director than its own.
    void raise_incarnation(std::uint64_t expected);

    /// A message of another director does not fit the key.
    void doubt_key();

private:
    void take_step();
    void schedule();
    void read_fleet();
    void fleet_read(const result<http_response>& answer);
    void find_self_in(const reader_entry& entry);
    void start_lease();
    void write_entry();
    void renew_lease();
    void failed(const error& failure);
    void publish();
    [[nodiscard]] std::string make_fleet_key();
    [[nodiscard]] std::vector<domain_member> members() const;

    director_context& context_;
    asio::steady_timer timer_;
    http_session session_;
    registration state_;
    member_table table_;
    fleet_keys keys_;
    std::vector<endpoint> readers_;  ///< with an entry in the store, without this one
    mono_time fleet_read_at_{};
    std::uint64_t incarnation_;
    bool listed_{false};
    std::random_device random_;
    counter& calls_;
    counter& failures_;
    counter& unreadable_;
    counter& peers_known_;
};

}  // namespace guavaramp
