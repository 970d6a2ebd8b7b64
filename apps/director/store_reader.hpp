#pragma once

#include "director_context.hpp"
#include "news_exchange.hpp"

#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace guavaramp {

/// Reads configuration and upstreams from the platform's store when `store_sync` says so: each once in whole,
/// then by watches or by the news of other directors; in whole again after any failure. Publishes a
/// `fleet_view` after each reading. To be used on the thread of the Asio context only.
class store_reader {
public:
    store_reader(asio::io_context& io, director_context& context);

    /// Starts the first readings. They go on until the context's end. `announce` runs after each change of
    /// the listing that the store has shown, and after each new configuration (then without a delta).
    void start(std::function<void(const std::optional<listing_delta>&)> announce);

    /// What this director can tell others of the store; nothing while the store does not answer it.
    [[nodiscard]] std::optional<reader_report> report() const;

    /// What this director knows of the listing.
    [[nodiscard]] listing_state listing() const noexcept;

    /// All changes of the listing after `revision`, for a director that lacks them; nothing while this one is
    /// not sure of its own listing, or when they are too many.
    [[nodiscard]] std::optional<listing_delta> changes_after(std::uint64_t revision) const;

    /// Applies what another director has read, unless something before it is missing here.
    void apply_relayed(const listing_delta& delta);

    /// Reads the store itself or relies on others, as `source` says.
    void follow(const news_source& source);

    /// The machine has been suspended for `suspended` in all: what was read or heard before proves nothing
    /// now.
    void note_suspension(std::chrono::milliseconds suspended);

    /// Reads the listing in whole again: a packet names an upstream that is not known.
    void reread_listing();

    /// The id of the upstream behind `tag` for log lines; the tag as a number when there is none.
    [[nodiscard]] std::string name_of(steering_tag tag) const;

private:
    /// A subject's connection, and the revision from which it is watched.
    struct subject_reading {
        http_session session;
        mono_time started{};
        std::uint64_t watched_revision{0};
    };

    [[nodiscard]] subject_reading& reading_of(store_dataset dataset) noexcept;
    void read_due();
    void reread(store_dataset dataset);
    void give_up_watch(store_dataset dataset);
    void check_next();
    void check(store_dataset dataset);
    void check_configuration(const result<http_response>& answer);
    void check_listing(const result<http_response>& answer);
    void check_ended(store_dataset dataset, bool answered, bool missed);
    void read_configuration(read_kind kind);
    void configuration_answered(read_kind kind, const result<http_response>& answer);
    void configuration_watched(const result<http_response>& answer);
    void apply_configuration(const platform_adapter::store_item& item);
    void read_page(const std::string& after_key);
    void page_answered(const result<http_response>& answer);
    void apply_whole_listing();
    void apply_cached_listing();
    void listing_watched(const result<http_response>& answer);
    void apply_changes(const std::vector<upstream_change>& changes, std::string_view source);
    [[nodiscard]] bool follows() const noexcept;
    void watch(const due_read& due, std::string_view prefix,
               void (store_reader::*answered)(const result<http_response>&));
    void watch_failed(store_dataset dataset, const error& failure);
    void failed(store_dataset dataset, const error& failure);
    void succeeded(const due_read& reading, std::uint64_t store_revision);
    void publish();

    director_context& context_;
    asio::steady_timer timer_;
    subject_reading configuration_;
    subject_reading listing_;
    asio::steady_timer check_timer_;
    http_session check_session_;
    mono_time check_started_{};
    store_dataset next_check_{store_dataset::configuration};
    mono_time configuration_check_at_{};  ///< not before; large ones are checked less often
    store_sync sync_;
    upstream_directory directory_;
    upstream_listing pages_;    ///< of the whole reading in progress
    bool pages_cached_{false};  ///< and whether its answers may be older
    fleet_view view_;
    std::function<void(const std::optional<listing_delta>&)> announce_;
    news_source source_;
    std::uint64_t configuration_revision_{0};  ///< of the version in force
    std::uint64_t listing_revision_{0};        ///< of the last change of the listing that is known
    std::uint64_t listing_digest_{0};
    mono_time listing_verified_at_{};  ///< when the store last showed the listing to be complete
    /// Deadline until which this director's own readings show `view_.routes` to be the newest.
    mono_time routes_read_until_{};
    counter& whole_reads_;
    counter& cached_reads_;
    counter& watches_;
    counter& checks_;
    counter& missed_changes_;
    counter& histories_lost_;
    counter& relayed_changes_;
    counter& relay_gaps_;
    latency_histogram& read_times_;
    counter& read_failures_;
    counter& unreadable_entries_;
    counter& unreadable_routes_;
    counter& configuration_version_;
};

}  // namespace guavaramp
