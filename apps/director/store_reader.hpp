#pragma once

#include "director_context.hpp"

#include <guavaramp/director/store_sync.hpp>
#include <guavaramp/net/http_session.hpp>
#include <guavaramp/platform_adapter/store_protocol.hpp>

#include <asio.hpp>

#include <string>

namespace guavaramp {

/// Reads configuration and upstreams from the platform's store when `store_sync` says so, and publishes a
/// `fleet_view` after each reading. To be used on the thread of the Asio context only.
class store_reader {
public:
    store_reader(asio::io_context& io, director_context& context);

    /// Starts the first readings. They go on until the context's end.
    void start();

    /// Reads the listing again at once, not from a cache: a packet names an upstream that is not known.
    void want_newest_listing();

    /// The id of the upstream behind `tag` for log lines; the tag as a number when there is none.
    [[nodiscard]] std::string name_of(steering_tag tag) const;

private:
    struct listing_in_progress {
        upstream_listing listing;
        mono_time started{};
        bool newest{false};
    };

    void read_due();
    void read_configuration(bool newest);
    void configuration_answered(const result<http_response>& answer, mono_time started, bool newest);
    void apply_configuration(const platform_adapter::store_item& item);
    void read_page(const std::string& after_key);
    void page_answered(const result<http_response>& answer);
    void apply_listing_read();
    void failed(store_subject subject, const error& failure);
    void succeeded(store_subject subject);
    void publish();

    director_context& context_;
    asio::steady_timer timer_;
    http_session configuration_session_;
    http_session listing_session_;
    store_sync sync_;
    upstream_directory directory_;
    fleet_view view_;
    listing_in_progress reading_;
    std::uint64_t configuration_revision_{0};
    counter& reads_;
    counter& newest_reads_;
    counter& read_failures_;
    counter& unreadable_entries_;
    counter& unreadable_routes_;
    counter& configuration_version_;
};

}  // namespace guavaramp
