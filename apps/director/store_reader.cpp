#include "store_reader.hpp"

#include "store_answer.hpp"

#include <guavaramp/platform_adapter/platform_entries.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>

namespace guavaramp {
namespace {

using namespace platform_adapter;

/// How long an upstream that left the list stays known. Flows may be that old.
constexpr auto keep_unlisted = std::chrono::seconds{60};
/// Least time between two readings that packets ask for.
constexpr auto least_reread_period = std::chrono::milliseconds{1000};

/// A watch that has waited this long should have brought every change that a check shows.
constexpr auto least_watched_time = std::chrono::milliseconds{200};

mono_time now() { return std::chrono::steady_clock::now(); }

const char* to_text(store_subject subject) noexcept {
    return subject == store_subject::configuration ? "configuration" : "listing";
}

upstream_news to_upstream_news(const store_news& news) {
    upstream_news changed{.revision = news.store_revision};
    for (const auto& item : news.written) {
        changed.reports.push_back(decode_upstream(item));
    }
    for (const auto& deleted : news.deleted) {
        changed.removed.push_back({.id = upstream_id_of(deleted.key), .revision = deleted.revision});
    }
    return changed;
}

std::size_t count_unreadable(const upstream_directory& directory) {
    return static_cast<std::size_t>(
        std::count_if(directory.by_id.begin(), directory.by_id.end(), [](const auto& item) {
            return item.second.listed && item.second.report.phase == upstream_phase::unusable;
        }));
}

}  // namespace

store_reader::store_reader(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      configuration_{.session = http_session{io, context.settings.store}},
      listing_{.session = http_session{io, context.settings.store}},
      check_timer_(io),
      check_session_(io, context.settings.store),
      whole_reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "whole")),
      watches_(context.counters.get("store_reads_total", "Readings of the platform's store", "watch")),
      checks_(context.counters.get("store_reads_total", "Readings of the platform's store", "check")),
      missed_changes_(context.counters.get("watch_missed_changes_total",
                                           "Changes that a check showed before their watch did")),
      read_times_(
          context.counters.get_latency("store_read_seconds", "Duration of whole readings of the store")),
      read_failures_(context.counters.get("store_read_failures_total", "Readings without a usable answer")),
      unreadable_entries_(context.counters.get(
          "upstream_entries_unreadable", "Upstream entries that cannot be read", "", counter_kind::gauge)),
      unreadable_routes_(
          context.counters.get("routes_unreadable", "Routes that cannot be read", "", counter_kind::gauge)),
      configuration_version_(
          context.counters.get("configuration_version", "Version in force", "", counter_kind::gauge)) {
    view_.own_failure_domain = context.settings.failure_domain;
}

void store_reader::start() {
    read_due();
    check_next();
}

void store_reader::reread_listing() {
    if (now() >= listing_.started + least_reread_period) {
        reread(store_subject::listing);
    }
}

void store_reader::reread(store_subject subject) {
    auto& state = sync_of(sync_, subject);
    if (state.read_whole) {
        return;
    }
    (subject == store_subject::configuration ? configuration_ : listing_).session.cancel();
    state.reading = false;
    want_whole(sync_, subject, now());
    read_due();
}

void store_reader::check_next() {
    check_timer_.expires_after(check_period);
    check_timer_.async_wait([this](const std::error_code& failure) {
        if (failure) {
            return;
        }
        const auto subject = next_check_;
        const bool is_configuration = subject == store_subject::configuration;
        next_check_ = is_configuration ? store_subject::listing : store_subject::configuration;
        // Before the first whole reading there is nothing to check, and after a failure one follows anyway.
        const bool too_early = is_configuration && now() < configuration_check_at_;
        if (sync_of(sync_, subject).read_whole || too_early) {
            check_next();
            return;
        }
        checks_.add();
        const auto target = is_configuration ? item_target(configuration_key, read_mode::cached)
                                             : page_target(upstream_prefix, "", read_mode::cached);
        check_session_.get(target, now() + read_timeout,
                           [this, is_configuration](const result<http_response>& answer) {
                               is_configuration ? check_configuration(answer) : check_listing(answer);
                           });
    });
}

void store_reader::check_configuration(const result<http_response>& answer) {
    const auto item = decode_answer(answer, decode_item);
    configuration_check_at_ = next_check_at(answer ? answer->body.size() : 0, now());
    check_ended(store_subject::configuration, item && item->revision > configuration_revision_);
}

void store_reader::check_listing(const result<http_response>& answer) {
    const auto page = decode_answer(answer, decode_page);
    upstream_listing listing;
    if (page) {
        // A listing of several pages is checked by its first; all of them would be as dear as a whole
        // reading.
        listing.revision = page->has_more ? 0 : page->store_revision;
        for (const auto& item : page->items) {
            listing.reports.push_back(decode_upstream(item));
        }
    }
    check_ended(store_subject::listing, page && shows_missed_change(directory_, listing));
}

void store_reader::check_ended(store_subject subject, bool missed) {
    const auto& reading = subject == store_subject::configuration ? configuration_ : listing_;
    const auto& state = sync_of(sync_, subject);
    const bool watching = state.reading && !state.read_whole && now() >= reading.started + least_watched_time;
    if (missed && watching) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change", {{"reading", to_text(subject)}});
        reread(subject);
    }
    check_next();
}

std::string store_reader::name_of(steering_tag tag) const {
    const auto* known = view_.upstreams == nullptr ? nullptr : find_by_tag(*view_.upstreams, tag);
    return known == nullptr ? "tag:" + std::to_string(static_cast<std::uint32_t>(tag)) : known->report.id;
}

void store_reader::read_due() {
    due_reading due{};
    if (start_if_due(sync_, store_subject::configuration, now(), due)) {
        configuration_.started = now();
        if (due.whole) {
            read_configuration();
        } else {
            watch(store_subject::configuration, operator_prefix, &store_reader::configuration_watched);
        }
    }
    if (start_if_due(sync_, store_subject::listing, now(), due)) {
        listing_.started = now();
        if (due.whole) {
            pages_ = {};
            read_page("");
        } else {
            watch(store_subject::listing, upstream_prefix, &store_reader::listing_watched);
        }
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

void store_reader::watch(store_subject subject, std::string_view prefix,
                         void (store_reader::*answered)(const result<http_response>&)) {
    auto& reading = subject == store_subject::configuration ? configuration_ : listing_;
    watches_.add();
    reading.session.get(watch_target(prefix, reading.watched_revision, watch_wait),
                        reading.started + watch_wait + read_timeout,
                        [this, answered](const result<http_response>& answer) { (this->*answered)(answer); });
}

void store_reader::read_configuration() {
    whole_reads_.add();
    configuration_.session.get(
        item_target(configuration_key, read_mode::newest), configuration_.started + read_timeout,
        [this](const result<http_response>& answer) { configuration_answered(answer); });
}

void store_reader::configuration_answered(const result<http_response>& answer) {
    const auto item = decode_answer(answer, decode_item);
    if (!item && item.error().kind == error_kind::not_found) {
        // The operator writes the first configuration some time after the fleet has started.
        note_absent(sync_, store_subject::configuration, now());
        read_due();
        return;
    }
    if (!item) {
        failed(store_subject::configuration, item.error());
        return;
    }
    apply_configuration(*item);
    succeeded({.subject = store_subject::configuration, .whole = true}, item->store_revision);
}

void store_reader::configuration_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_news);
    if (!news) {
        failed(store_subject::configuration, news.error());
        return;
    }
    for (const auto& item : news->written) {
        if (item.key == configuration_key) {
            apply_configuration(item);
        }
    }
    succeeded({.subject = store_subject::configuration, .whole = false}, news->store_revision);
}

void store_reader::apply_configuration(const store_item& item) {
    if (item.revision <= configuration_revision_) {
        return;
    }
    configuration_revision_ = item.revision;
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
    whole_reads_.add();
    listing_.session.get(page_target(upstream_prefix, after_key, read_mode::newest), now() + read_timeout,
                         [this](const result<http_response>& answer) { page_answered(answer); });
}

void store_reader::page_answered(const result<http_response>& answer) {
    const auto page = decode_answer(answer, decode_page);
    if (!page) {
        failed(store_subject::listing, page.error());
        return;
    }
    // Pages are not a snapshot: the watch that follows goes on from the oldest one.
    if (pages_.revision == 0) {
        pages_.revision = page->store_revision;
    }
    for (const auto& item : page->items) {
        pages_.reports.push_back(decode_upstream(item));
    }
    if (page->has_more && !page->items.empty()) {
        read_page(page->items.back().key);
        return;
    }
    const auto time = now();
    apply_changes(apply_listing(directory_, pages_, time, time - keep_unlisted));
    view_.listing_as_of = listing_.started;
    succeeded({.subject = store_subject::listing, .whole = true}, pages_.revision);
}

void store_reader::listing_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_news);
    if (!news) {
        failed(store_subject::listing, news.error());
        return;
    }
    const auto time = now();
    apply_changes(apply_news(directory_, to_upstream_news(*news), time, time - keep_unlisted));
    succeeded({.subject = store_subject::listing, .whole = false}, news->store_revision);
}

void store_reader::apply_changes(const std::vector<upstream_change>& changes) {
    for (const auto& change : changes) {
        log_event(log_level::info, "upstream_changed",
                  {{"upstream", change.id},
                   {"change", std::string{to_string(change.kind)}},
                   {"phase", std::string{to_string(change.phase)}},
                   {"service", change.service},
                   {"revision", std::to_string(change.revision)}});
    }
    unreadable_entries_.set(count_unreadable(directory_));
    view_.upstreams = std::make_shared<const upstream_index>(make_upstream_index(directory_));
}

void store_reader::failed(store_subject subject, const error& failure) {
    read_failures_.add();
    if (note_read_failure(sync_, subject, now())) {
        log_event(log_level::warning, "store_lost",
                  {{"reading", to_text(subject)}, {"message", failure.message}});
    }
    if (subject == store_subject::configuration) {
        view_.routes_trusted_until = now();
    }
    publish();
    read_due();
}

void store_reader::succeeded(const due_reading& reading, std::uint64_t store_revision) {
    auto& subject = reading.subject == store_subject::configuration ? configuration_ : listing_;
    // A whole reading sets the revision anew; the store's history may have started over.
    subject.watched_revision =
        reading.whole ? store_revision : std::max(subject.watched_revision, store_revision);
    if (reading.whole) {
        read_times_.add(now() - subject.started);
    }
    const bool was_steady = sync_.steady_since != mono_time::max();
    note_read(sync_, reading, subject.started, now());
    if (reading.subject == store_subject::configuration) {
        view_.routes_trusted_until = now() + watch_wait + read_timeout;
    }
    if (!was_steady) {
        log_event(log_level::info, "store_regained", {{"reading", to_text(reading.subject)}});
    }
    publish();
    read_due();
}

void store_reader::publish() {
    view_.steady_since = sync_.steady_since;
    context_.view.set(std::make_shared<const fleet_view>(view_));
}

}  // namespace guavaramp
