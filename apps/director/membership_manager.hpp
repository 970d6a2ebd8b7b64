#pragma once

#include "director_context.hpp"

#include <guavaramp/director/domain_membership.hpp>
#include <guavaramp/director/fleet_key_choice.hpp>
#include <guavaramp/director/registration.hpp>
#include <guavaramp/director/store_revision.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace guavaramp {

/// Learns the other directors of the failure domain from the readers' entries in the platform's store and
/// from introductions, and publishes them as a `director_membership`. While this director is a reader, also
/// maintains its own entry in the store, which names them. Must be used on the thread of the Asio context
/// only.
class membership_manager {
public:
    membership_manager(asio::io_context& io, director_context& context);

    /// Starts to read the readers' entries, and goes on until the Asio context ends.
    void start();

    /// Sets whether this director is a reader.
    void set_reader(bool reads_store);

    /// Adds a director that has introduced itself. Ignores this director and those of other failure domains.
    void add_member(const domain_member& member);

    /// Returns the member data with which this director introduces itself.
    [[nodiscard]] domain_member own_member() const;

    /// Raises this director's incarnation above those that other directors have seen of it, the latest of
    /// which is `expected`.
    void raise_incarnation(std::uint64_t expected);

    /// Makes this director, if it is a reader, write its entry and the fleet key again at once, because the
    /// store was restored from a backup and has the era `era` now.
    void on_store_restored(std::uint64_t era);

    /// Makes the fleet key be read again, because a message of another director failed authentication with
    /// it.
    void on_authentication_failure();

private:
    void run_due_step();
    void schedule_next_step();
    void read_entries();
    void on_entries_read(const result<http_response>& response);
    void record_if_named_in(const reader_entry& entry);
    [[nodiscard]] bool takes_answer(const result<http_response>& response);
    void rejoin();
    void start_lease();
    void write_entry();
    void renew_lease();
    void on_call_failure(const error& failure);
    void publish();
    [[nodiscard]] std::string generate_fleet_key();
    [[nodiscard]] std::vector<domain_member> members() const;

    director_context& context_;
    asio::steady_timer timer_;
    http_session session_;
    registration registration_;
    member_table member_table_;
    fleet_keys keys_;
    known_fleet_key own_key_;
    std::optional<std::uint64_t> replaced_key_revision_;  ///< of the store's key that the own one replaces
    bool writes_own_key_back_{false};
    store_era era_;
    std::vector<endpoint> registered_readers_;  ///< readers with an entry in the store, except this director
    mono_time entries_read_at_{};
    std::uint64_t incarnation_;
    bool named_by_reader_{false};  ///< a reader's entry names this director
    std::random_device random_;
    counter& calls_;
    counter& failures_;
    counter& rejoins_;
    counter& keys_written_back_;
    counter& unreadable_entries_;
    counter& peers_known_;
};

}  // namespace guavaramp
