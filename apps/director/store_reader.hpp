#pragma once

#include "director_context.hpp"

#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <string>
#include <vector>

namespace guavaramp {

/// Reads configuration and upstreams from the platform's store when `store_sync` says so: each once in whole,
/// then by watches; in whole again after any failure. Publishes a `fleet_view` after each reading. To be used
/// on the thread of the Asio context only.
class store_reader {
public:
    store_reader(asio::io_context& io, director_context& context);

    /// Starts the first readings. They go on until the context's end.
    void start();

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

    void read_due();
    void reread(store_subject subject);
    void check_next();
    void check_configuration(const result<http_response>& answer);
    void check_listing(const result<http_response>& answer);
    void check_ended(store_subject subject, bool missed);
    void read_configuration();
    void configuration_answered(const result<http_response>& answer);
    void configuration_watched(const result<http_response>& answer);
    void apply_configuration(const platform_adapter::store_item& item);
    void read_page(const std::string& after_key);
    void page_answered(const result<http_response>& answer);
    void listing_watched(const result<http_response>& answer);
    void apply_changes(const std::vector<upstream_change>& changes);
    void watch(store_subject subject, std::string_view prefix,
               void (store_reader::*answered)(const result<http_response>&));
    void failed(store_subject subject, const error& failure);
    void succeeded(const due_reading& reading, std::uint64_t store_revision);
    void publish();

    director_context& context_;
    asio::steady_timer timer_;
    subject_reading configuration_;
    subject_reading listing_;
    asio::steady_timer check_timer_;
    http_session check_session_;
    store_subject next_check_{store_subject::configuration};
    mono_time configuration_check_at_{};  ///< not before; large ones are checked less often
    store_sync sync_;
    upstream_directory directory_;
    upstream_listing pages_;  ///< of the whole reading in progress
    fleet_view view_;
    std::uint64_t configuration_revision_{0};  ///< of the version in force
    counter& whole_reads_;
    counter& watches_;
    counter& checks_;
    counter& missed_changes_;
    latency_histogram& read_times_;
    counter& read_failures_;
    counter& unreadable_entries_;
    counter& unreadable_routes_;
    counter& configuration_version_;
};

}  // namespace guavaramp
