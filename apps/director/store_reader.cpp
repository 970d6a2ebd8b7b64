#include "store_reader.hpp"

#include <guavaramp/platform_adapter/platform_entries.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <chrono>

namespace guavaramp {
namespace {

using namespace platform_adapter;

/// How long an upstream that left the list stays known. Flows may be that old.
constexpr auto keep_unlisted = std::chrono::seconds{60};
/// Least time between two readings that packets ask for.
constexpr auto least_wanted_period = std::chrono::milliseconds{200};

mono_time now() { return std::chrono::steady_clock::now(); }

const char* name_of(store_subject subject) noexcept {
    return subject == store_subject::configuration ? "configuration" : "listing";
}

/// The answer's body, or the error that the call ended with.
result<std::string_view> body_of(const result<http_response>& answer) {
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    if (answer->status != 200) {
        return tl::make_unexpected(store_error(answer->status));
    }
    return std::string_view{answer->body};
}

}  // namespace

store_reader::store_reader(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      configuration_session_(io, context.settings.store),
      listing_session_(io, context.settings.store),
      reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "cached")),
      newest_reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "newest")),
      read_failures_(context.counters.get("store_read_failures_total", "Readings without a usable answer")),
      unreadable_entries_(
          context.counters.get("upstream_entries_unreadable", "Upstream entries that cannot be read", "",
                               counter_kind::gauge)),
      unreadable_routes_(context.counters.get("routes_unreadable", "Routes that cannot be read", "",
                                              counter_kind::gauge)),
      configuration_version_(context.counters.get("configuration_version", "Version in force", "",
                                                  counter_kind::gauge)) {
    view_.own_failure_domain = context.settings.failure_domain;
}

void store_reader::start() { read_due(); }

void store_reader::want_newest_listing() {
    auto& listing = sync_of(sync_, store_subject::listing);
    if (listing.want_newest || listing.reading || now() < reading_.started + least_wanted_period) {
        return;
    }
    want_newest(sync_, store_subject::listing);
    listing.next_at = now();
    read_due();
}

std::string store_reader::name_of(steering_tag tag) const {
    const auto* known = view_.upstreams == nullptr ? nullptr : find_by_tag(*view_.upstreams, tag);
    return known == nullptr ? "tag:" + std::to_string(static_cast<std::uint32_t>(tag)) : known->report.id;
}

void store_reader::read_due() {
    due_reading due{};
    if (start_if_due(sync_, store_subject::configuration, now(), due)) {
        read_configuration(due.newest);
    }
    if (start_if_due(sync_, store_subject::listing, now(), due)) {
        reading_ = {.listing = {}, .started = now(), .newest = due.newest};
        read_page("");
    }
    const auto next = next_reading_at(sync_);
    if (next == mono_time::max()) {
        return;
    }
    timer_.expires_at(next);
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            read_due();
        }
    });
}

void store_reader::read_configuration(bool newest) {
    const auto started = now();
    (newest ? newest_reads_ : reads_).add();
    configuration_session_.get(
        item_target(configuration_key, newest ? read_mode::newest : read_mode::cached),
        started + read_timeout, [this, started, newest](const result<http_response>& answer) {
            configuration_answered(answer, started, newest);
        });
}

void store_reader::configuration_answered(const result<http_response>& answer, mono_time started,
                                          bool newest) {
    (void)newest;
    const auto body = body_of(answer);
    const auto item = body ? decode_item(*body) : tl::make_unexpected(body.error());
    if (!item) {
        failed(store_subject::configuration, item.error());
        return;
    }
    if (item->revision > configuration_revision_) {
        configuration_revision_ = item->revision;
        apply_configuration(*item);
    }
    view_.routes_trusted_until = started + configuration_validity;
    succeeded(store_subject::configuration);
}

void store_reader::apply_configuration(const store_item& item) {
    const auto decoded = decode_configuration(item.value);
    if (!decoded) {
        log_event(log_level::error, "configuration_unreadable",
                  {{"revision", std::to_string(item.revision)}, {"message", decoded.error().message}});
        return;
    }
    const auto version = decoded->configuration.version;
    const auto earlier = view_.routes == nullptr ? 0 : view_.routes->version;
    if (version <= earlier) {
        log_event(log_level::warning, "configuration_not_newer",
                  {{"version", std::to_string(version)}, {"in_force", std::to_string(earlier)}});
        return;
    }
    view_.routes = std::make_shared<const route_table>(make_route_table(decoded->configuration));
    unreadable_routes_.set(decoded->unreadable_routes);
    configuration_version_.set(version);
    log_event(log_level::info, "configuration_in_force",
              {{"version", std::to_string(version)},
               {"earlier", std::to_string(earlier)},
               {"revision", std::to_string(item.revision)},
               {"routes", std::to_string(decoded->configuration.routes.size())},
               {"unreadable_routes", std::to_string(decoded->unreadable_routes)}});
}

void store_reader::read_page(const std::string& after_key) {
    (reading_.newest ? newest_reads_ : reads_).add();
    listing_session_.get(
        page_target(upstream_prefix, after_key, reading_.newest ? read_mode::newest : read_mode::cached),
        now() + read_timeout, [this](const result<http_response>& answer) { page_answered(answer); });
}

void store_reader::page_answered(const result<http_response>& answer) {
    const auto body = body_of(answer);
    const auto page = body ? decode_page(*body) : tl::make_unexpected(body.error());
    if (!page) {
        failed(store_subject::listing, page.error());
        return;
    }
    auto& listing = reading_.listing;
    if (listing.revision == 0) {
        listing.revision = page->store_revision;
    }
    for (const auto& item : page->items) {
        listing.reports.push_back(decode_upstream(item));
    }
    if (page->has_more && !page->items.empty()) {
        read_page(page->items.back().key);
        return;
    }
    apply_listing_read();
    succeeded(store_subject::listing);
}

void store_reader::apply_listing_read() {
    const auto time = now();
    std::uint64_t unreadable = 0;
    for (const auto& report : reading_.listing.reports) {
        unreadable += report.phase == upstream_phase::unusable ? 1 : 0;
    }
    unreadable_entries_.set(unreadable);
    for (const auto& change : apply_listing(directory_, reading_.listing, time, time - keep_unlisted)) {
        log_event(log_level::info, "upstream_changed",
                  {{"upstream", change.id},
                   {"change", std::string{to_string(change.kind)}},
                   {"phase", std::string{to_string(change.phase)}},
                   {"service", change.service},
                   {"revision", std::to_string(change.revision)}});
    }
    view_.listing_as_of = std::max(view_.listing_as_of, includes_changes_until(reading_.started, reading_.newest));
    view_.upstreams = std::make_shared<const upstream_index>(make_upstream_index(directory_));
}

void store_reader::failed(store_subject subject, const error& failure) {
    read_failures_.add();
    if (note_read_failure(sync_, subject, now())) {
        log_event(log_level::warning, "store_lost",
                  {{"reading", guavaramp::name_of(subject)}, {"message", failure.message}});
    }
    publish();
    read_due();
}

void store_reader::succeeded(store_subject subject) {
    const bool was_steady = sync_.steady_since != mono_time::max();
    note_read(sync_, subject, now());
    if (!was_steady) {
        log_event(log_level::info, "store_regained", {{"reading", guavaramp::name_of(subject)}});
    }
    publish();
    read_due();
}

void store_reader::publish() {
    view_.absence_counts_from = absence_counts_from(sync_);
    context_.view.set(std::make_shared<const fleet_view>(view_));
}

}  // namespace guavaramp
