#pragma once

#include "director_context.hpp"
#include "update_exchange.hpp"

#include <guavaramp/director/store_revision.hpp>
#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavaramp {

/// Callbacks through which a `store_synchronizer` tells its owner what it has read. All are called on the
/// thread of the Asio context.
struct store_synchronizer_callbacks {
    /// Called with a delta after each full read of the listing from the newest state and after each watch
    /// that returned changes, and without one after each new configuration.
    std::function<void(const std::optional<listing_delta>&)> announce;
    /// Called after each read that has verified the listing or the configuration, and that is not announced.
    std::function<void()> verified;
    /// Called when the store has answered a read of the listing while this director is no reader and no
    /// reader covers it.
    std::function<void()> own_read_answered;
    /// Called when this director learns that the store was restored from a backup, with the store's new era.
    std::function<void(std::uint64_t)> store_restored;
};

/// Reads the configuration and the listing of upstreams from the platform's store, at the times that
/// `store_sync` determines. Each is read in full once, then followed by watches or by the updates of other
/// directors, and read in full again after any failure. Publishes a `fleet_view` after each read. Must be
/// used on the thread of the Asio context only.
class store_synchronizer {
public:
    store_synchronizer(asio::io_context& io, director_context& context);

    /// Starts the first reads, and goes on until the Asio context ends.
    void start(store_synchronizer_callbacks callbacks);

    /// Returns the report that this director sends as a reader. Returns nothing while the store does not
    /// answer, or before this director has read the listing and either the configuration or that there is
    /// none yet.
    [[nodiscard]] std::optional<reader_report> own_report() const;

    /// Returns the revision and the digest of this director's listing.
    [[nodiscard]] listing_state own_listing() const noexcept;

    /// Returns all changes of the listing after `revision`, for a director that lacks them. Returns nothing
    /// if this director has no report to send, or if there are too many changes.
    [[nodiscard]] std::optional<listing_delta> changes_after(std::uint64_t revision) const;

    /// Applies changes that another director has read, unless earlier changes are missing here or no listing
    /// has been read yet.
    void apply_relayed_delta(const listing_delta& delta);

    /// Sets whether this director reads the store itself or relies on the updates of other directors.
    void set_update_source(const update_source& source);

    /// Applies the evacuated failure domains that another director has reported. Does nothing where
    /// evacuations are not used.
    void apply_reported_evacuations(const evacuation_report& report);

    /// Marks everything that was read or received so far as stale, because the machine was suspended.
    /// `suspended` is the total time that it has been suspended.
    void on_suspension(std::chrono::milliseconds suspended);

    /// Reads the listing in full again, because a packet has a tag of an unknown upstream. Does nothing if
    /// the last read started less than 1 s ago.
    void refresh_listing();

    /// Asks the store whether the configuration has changed, because a packet of an open flow matches no
    /// route. The read starts at most once per `min_watch_period`, and later after a failure.
    void refresh_configuration();

    /// Returns the id of the upstream with `tag` for log lines, or the tag as a number if no such upstream is
    /// known.
    [[nodiscard]] std::string upstream_name(steering_tag tag) const;

private:
    /// The connection that reads one of the two datasets, the configuration or the listing.
    struct dataset_connection {
        http_session session;
        mono_time read_started_at{};
        std::uint64_t watched_revision{0};  ///< a watch returns the changes after this revision
        due_read watch{};                   ///< the latest watch or catch-up read
        /// Era of the revision from which the watch in progress started; none for other reads.
        std::optional<std::uint64_t> watch_era;
    };

    /// A read that has succeeded.
    struct finished_read {
        due_read read;
        std::uint64_t store_revision{0};  ///< the dataset is known up to this revision
        bool is_unchanged{false};         ///< it was a watch, and its answer has no changes
    };

    [[nodiscard]] dataset_connection& connection_of(store_dataset dataset) noexcept;
    void start_due_reads();
    void start_full_read(store_dataset dataset);
    [[nodiscard]] bool takes_answer(store_dataset dataset, bool cached,
                                    const result<http_response>& response);
    [[nodiscard]] bool takes_check_answer(const result<http_response>& response);
    void record_reported_era(std::uint64_t revision);
    void on_restored(std::uint64_t earlier_era, const char* source);
    [[nodiscard]] read_kind kind_in_latest_era(const due_read& due);
    void restart_full_read(store_dataset dataset);
    void end_grace_after_restore();
    void cancel_redundant_watch(store_dataset dataset);
    void schedule_check(mono_time at);
    void run_check(store_dataset dataset);
    void run_dataset_check(store_dataset dataset);
    void check_configuration(const result<http_response>& response);
    void check_listing(const result<http_response>& response);
    void finish_check(store_dataset dataset, bool answered, bool has_missed_change);
    void read_configuration(read_kind kind);
    void on_configuration_read(read_kind kind, const result<http_response>& response);
    void on_configuration_watch(const result<http_response>& response);
    void finish_configuration_read(read_kind kind, const std::optional<platform_adapter::store_item>& item);
    void apply_configuration(const platform_adapter::store_item& item);
    [[nodiscard]] bool uses_evacuations() const noexcept;
    void read_evacuation_page(read_kind kind, const std::string& after_key,
                              const std::optional<platform_adapter::store_item>& configuration);
    void on_evacuation_page(read_kind kind, const std::optional<platform_adapter::store_item>& configuration,
                            const result<http_response>& response);
    void run_evacuation_check();
    void check_evacuations(platform_adapter::read_consistency consistency, mono_time started,
                           const result<http_response>& response);
    void apply_evacuation_check(const platform_adapter::store_page& page, mono_time started);
    void apply_evacuation_changes(const platform_adapter::store_changes& changes);
    void use_evacuations(const evacuation_change& change, std::size_t unreadable, std::string_view source);
    void read_listing_page(const std::string& after_key);
    void on_listing_page(const result<http_response>& response);
    void apply_full_listing();
    void apply_cached_listing();
    void on_listing_watch(const result<http_response>& response);
    void apply_changes(const std::vector<upstream_change>& changes, std::string_view source);
    /// Returns whether this director is not a reader and the reports of reliable readers cover it.
    [[nodiscard]] bool relies_on_readers() const noexcept;
    void start_watch(const due_read& due, std::string_view prefix,
                     void (store_synchronizer::*handle_response)(const result<http_response>&));
    void on_watch_failure(store_dataset dataset, const error& failure);
    void on_read_failure(store_dataset dataset, const error& failure);
    void finish_watch(const dataset_connection& connection, const platform_adapter::store_changes& changes);
    void record_configuration_verification();
    [[nodiscard]] mono_time listing_verified_at() const noexcept;
    [[nodiscard]] std::chrono::milliseconds evacuation_slack() const noexcept;
    void on_read_success(const finished_read& finished);
    void rebuild_index();
    void log_cold_services(const upstream_index& index);
    void schedule_rebuild(mono_time at);
    void publish_view();

    director_context& context_;
    asio::steady_timer timer_;
    dataset_connection configuration_;
    dataset_connection listing_;
    asio::steady_timer check_timer_;
    asio::steady_timer warm_timer_;        ///< ends the first cold period
    cold_rules cold_rules_;                ///< of the routes in force
    std::set<std::string> services_cold_;  ///< services that have cold hosts and no others
    http_session check_session_;
    mono_time check_started_at_{};
    store_dataset next_check_{store_dataset::configuration};
    mono_time next_configuration_check_at_{};  ///< earliest time; a large configuration is checked less often
    store_sync sync_;
    upstream_directory directory_;
    upstream_listing pages_;    ///< pages of the full read in progress
    bool pages_cached_{false};  ///< the pages come from cached responses, which may be stale
    fleet_view view_;
    store_synchronizer_callbacks callbacks_;
    update_source source_;
    std::uint64_t configuration_revision_{0};  ///< revision of the configuration read last
    std::uint64_t listing_revision_{0};        ///< revision of the last known change of the listing
    std::uint64_t listing_digest_{0};
    /// Deadline until which this director's own reads prove that `view_.routes` is the newest version.
    mono_time routes_current_until_{};
    evacuation_state evacuations_;
    held_evacuations held_evacuations_;
    /// The set was complete at its revision: it was read from the newest state or reported by a reader.
    bool evacuations_confirmed_{false};
    mono_time evacuations_verified_at_{};            ///< when the store last showed that the set is complete
    evacuation_report lacking_report_;               ///< the last report whose names are missing here
    platform_adapter::store_page evacuation_pages_;  ///< pages of the read of the evacuations in progress
    store_era era_;
    asio::steady_timer restore_grace_timer_;
    mono_time restore_grace_until_{};  ///< until then upstreams that a restored store lacks take new flows
    bool newest_configuration_unreadable_{false};  ///< the routes in force are of an older one
    /// The version in force is higher than that of the store's newest configuration, as after a restore.
    bool newest_configuration_refused_{false};
    counter& full_reads_;
    counter& cached_reads_;
    counter& own_reads_;
    counter& watches_;
    std::array<counter*, store_dataset_count> watch_time_ms_;  ///< by dataset
    counter& checks_;
    counter& missed_changes_;
    counter& lost_histories_;
    counter& upstreams_cold_;
    counter& evacuated_domains_;
    counter& evacuation_changes_;
    counter& evacuations_ignored_;
    counter& restores_;
    counter& earlier_answers_;
    counter& current_era_;
    counter& drains_kept_;
    counter& relayed_deltas_;
    counter& relayed_gaps_;
    latency_histogram& read_times_;
    counter& read_failures_;
    counter& unreadable_entries_;
    counter& unreadable_routes_;
    counter& configuration_version_;
};

}  // namespace guavaramp
