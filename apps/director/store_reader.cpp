#include "store_reader.hpp"

#include "store_answer.hpp"

#include <guavaramp/base/suspension.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/platform_adapter/store_records.hpp>
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

const char* to_text(store_dataset dataset) noexcept {
    return dataset == store_dataset::configuration ? "configuration" : "listing";
}

upstream_update to_upstream_news(const store_changes& news) {
    upstream_update changed{.revision = news.store_revision};
    for (const auto& item : news.written) {
        changed.reports.push_back(decode_upstream(item));
    }
    for (const auto& deleted : news.deleted) {
        changed.removed.push_back({.id = upstream_id_from_key(deleted.key), .revision = deleted.revision});
    }
    return changed;
}

void log_changes(const std::vector<upstream_change>& changes, std::string_view source) {
    for (const auto& change : changes) {
        log_event(log_level::info, "upstream_changed",
                  {{"upstream", change.id},
                   {"change", std::string{to_string(change.kind)}},
                   {"phase", std::string{to_string(change.phase)}},
                   {"service", change.service},
                   {"revision", std::to_string(change.revision)},
                   {"source", std::string{source}}});
    }
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
      cached_reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "cached")),
      watches_(context.counters.get("store_reads_total", "Readings of the platform's store", "watch")),
      checks_(context.counters.get("store_reads_total", "Readings of the platform's store", "check")),
      missed_changes_(context.counters.get("watch_missed_changes_total",
                                           "Changes that a check showed before their watch did")),
      histories_lost_(context.counters.get("store_histories_lost_total",
                                           "Watches whose history the store had discarded")),
      relayed_changes_(
          context.counters.get("news_applied_total", "News of other directors that were applied")),
      relay_gaps_(context.counters.get("news_gaps_total", "News that follow something unknown here")),
      read_times_(context.counters.get_latency_histogram("store_read_seconds",
                                                         "Duration of whole readings of the store")),
      read_failures_(context.counters.get("store_read_failures_total", "Readings without a usable answer")),
      unreadable_entries_(context.counters.get(
          "upstream_entries_unreadable", "Upstream entries that cannot be read", "", counter_kind::gauge)),
      unreadable_routes_(
          context.counters.get("routes_unreadable", "Routes that cannot be read", "", counter_kind::gauge)),
      configuration_version_(
          context.counters.get("configuration_version", "Version in force", "", counter_kind::gauge)) {
    view_.own_failure_domain = context.settings.failure_domain;
    view_.suspended_time_at_refresh = suspended_time();
    record_reader_role(sync_, false, now());
}

void store_reader::start(std::function<void(const std::optional<listing_delta>&)> announce) {
    announce_ = std::move(announce);
    read_due();
    check_next();
}

std::optional<reader_report> store_reader::report() const {
    const bool awaits_first = sync_of(sync_, store_dataset::configuration).absent;
    const bool complete = (configuration_revision_ != 0 || awaits_first) && listing_revision_ != 0;
    if (!complete || sync_.store_available_since == mono_time::max()) {
        return std::nullopt;
    }
    const auto time = now();
    return reader_report{.listing = listing(),
                         .configuration_revision = configuration_revision_,
                         .verified_age_ms = age_ms(listing_verified_at_, time),
                         .store_available_age_ms = age_ms(sync_.store_available_since, time)};
}

listing_state store_reader::listing() const noexcept {
    return {.revision = listing_.watched_revision, .digest = listing_digest_};
}

std::optional<listing_delta> store_reader::changes_after(std::uint64_t revision) const {
    return report() ? delta_since(directory_, listing().revision, revision) : std::nullopt;
}

void store_reader::apply_relayed(const listing_delta& delta) {
    if (listing_revision_ == 0) {
        return;
    }
    switch (delta_status_of(delta, listing_.watched_revision)) {
        case delta_status::already_known:
            return;
        case delta_status::gap:
            relay_gaps_.add();
            return;
        case delta_status::applies:
            break;
    }
    relayed_changes_.add();
    listing_.watched_revision = std::max(listing_.watched_revision, delta.update.revision);
    listing_revision_ = std::max(listing_revision_, delta.update.revision);
    const auto time = now();
    apply_changes(apply_update(directory_, delta.update, time, time - keep_unlisted), "director");
    publish();
}

bool store_reader::follows() const noexcept { return !source_.reads && source_.coverage.has_value(); }

void store_reader::follow(const news_source& source) {
    const bool takes_over = source.reads && !source_.reads;
    source_ = source;
    set_coverage_deadline(sync_, source.follows_until);
    record_reader_role(sync_, source.reads, now());
    const auto coverage = source.coverage.value_or(relay_coverage{});
    if (listing_revision_ != 0 && coverage.confirmed_revision != 0) {
        listing_.watched_revision = std::max(listing_.watched_revision, coverage.confirmed_revision);
        record_confirmation(sync_, store_dataset::listing);
    }
    set_behind(sync_, store_dataset::listing, coverage.listing_differs, now());
    set_behind(sync_, store_dataset::configuration, coverage.configuration_revision > configuration_revision_,
               now());
    if (follows()) {
        routes_read_until_ = mono_time{};
        give_up_watch(store_dataset::configuration);
        give_up_watch(store_dataset::listing);
    }
    publish();
    read_due();
    if (takes_over && !check_session_.is_busy()) {
        // Others rely on a reader whose listing was lately shown to be complete.
        check_timer_.cancel();
        check(store_dataset::listing);
    }
}

void store_reader::note_suspension(std::chrono::milliseconds suspended) {
    view_.suspended_time_at_refresh = suspended;
    view_.listing_as_of = mono_time{};
    source_.coverage.reset();
    routes_read_until_ = mono_time{};
    listing_verified_at_ = mono_time{};
    if (sync_.store_available_since != mono_time::max()) {
        sync_.store_available_since = now();
    }
    publish();
}

store_reader::subject_reading& store_reader::reading_of(store_dataset dataset) noexcept {
    return dataset == store_dataset::configuration ? configuration_ : listing_;
}

void store_reader::give_up_watch(store_dataset dataset) {
    if (is_redundant_watch(sync_, dataset)) {
        reading_of(dataset).session.cancel();
        record_cancelled_read(sync_, dataset, now());
    }
}

void store_reader::reread_listing() {
    if (now() >= listing_.started + least_reread_period) {
        reread(store_dataset::listing);
    }
}

void store_reader::reread(store_dataset dataset) {
    auto& state = sync_of(sync_, dataset);
    if (state.needs_full_read) {
        return;
    }
    reading_of(dataset).session.cancel();
    state.read_in_progress = false;
    request_full_read(sync_, dataset, now());
    read_due();
}

void store_reader::check_next() {
    check_timer_.expires_after(check_period);
    check_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            check(next_check_);
        }
    });
}

void store_reader::check(store_dataset dataset) {
    const bool is_configuration = dataset == store_dataset::configuration;
    next_check_ = is_configuration ? store_dataset::listing : store_dataset::configuration;
    // Before the first whole reading there is nothing to check, and after a failure one follows anyway.
    // Nobody relies on a director that is no reader, and the readers' reports check its listing.
    const bool too_early = is_configuration && now() < configuration_check_at_;
    if (sync_of(sync_, dataset).needs_full_read || too_early || !source_.reads) {
        check_next();
        return;
    }
    checks_.add();
    check_started_ = now();
    const auto target = is_configuration ? item_target(configuration_key, read_consistency::cached)
                                         : page_target(upstream_prefix, "", read_consistency::cached);
    check_session_.get(target, limits_of(read_kind::full_cached, check_started_),
                       [this, is_configuration](const result<http_response>& answer) {
                           is_configuration ? check_configuration(answer) : check_listing(answer);
                       });
}

void store_reader::check_configuration(const result<http_response>& answer) {
    const auto item = decode_answer(answer, decode_item);
    configuration_check_at_ = next_check_at(answer ? answer->body.size() : 0, now());
    check_ended(store_dataset::configuration, item.has_value(),
                item && item->revision > configuration_revision_);
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
    check_ended(store_dataset::listing, page.has_value(), page && shows_missed_change(directory_, listing));
}

void store_reader::check_ended(store_dataset dataset, bool answered, bool missed) {
    const auto& reading = reading_of(dataset);
    const auto& state = sync_of(sync_, dataset);
    const bool watching =
        state.read_in_progress && !state.needs_full_read && now() >= reading.started + least_watched_time;
    if (missed && watching) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change", {{"reading", to_text(dataset)}});
        reread(dataset);
    } else if (answered && dataset == store_dataset::listing) {
        const bool was_long_ago = check_started_ - listing_verified_at_ > max_verified_age;
        listing_verified_at_ = std::max(listing_verified_at_, check_started_);
        if (was_long_ago) {
            announce_(std::nullopt);
        }
    } else if (answered && watching) {
        routes_read_until_ = now() + watch_hold_limit + read_stall_timeout;
        publish();
    }
    check_next();
}

std::string store_reader::name_of(steering_tag tag) const {
    const auto* known = view_.upstreams == nullptr ? nullptr : find_by_tag(*view_.upstreams, tag);
    return known == nullptr ? "tag:" + std::to_string(static_cast<std::uint32_t>(tag)) : known->report.id;
}

void store_reader::read_due() {
    due_read due{};
    if (start_read_if_due(sync_, store_dataset::listing, now(), due)) {
        listing_.started = now();
        if (due.kind == read_kind::watch || due.kind == read_kind::catch_up) {
            watch(due, upstream_prefix, &store_reader::listing_watched);
        } else {
            pages_ = {};
            pages_cached_ = due.kind == read_kind::full_cached;
            read_page("");
        }
    }
    if (start_read_if_due(sync_, store_dataset::configuration, now(), due)) {
        configuration_.started = now();
        if (due.kind == read_kind::watch) {
            watch(due, operator_prefix, &store_reader::configuration_watched);
        } else {
            read_configuration(due.kind);
        }
    }
    const auto next = earliest_read_at(sync_);
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

void store_reader::watch(const due_read& due, std::string_view prefix,
                         void (store_reader::*answered)(const result<http_response>&)) {
    auto& reading = reading_of(due.dataset);
    const auto wait = due.kind == read_kind::catch_up ? catch_up_hold_limit : watch_hold_limit;
    watches_.add();
    reading.session.get(watch_target(prefix, reading.watched_revision, wait),
                        limits_of(due.kind, reading.started),
                        [this, answered](const result<http_response>& answer) { (this->*answered)(answer); });
}

void store_reader::read_configuration(read_kind kind) {
    const bool cached = kind == read_kind::full_cached;
    (cached ? cached_reads_ : whole_reads_).add();
    configuration_.session.get(
        item_target(configuration_key, cached ? read_consistency::cached : read_consistency::newest),
        limits_of(kind, configuration_.started),
        [this, kind](const result<http_response>& answer) { configuration_answered(kind, answer); });
}

void store_reader::configuration_answered(read_kind kind, const result<http_response>& answer) {
    const auto item = decode_answer(answer, decode_item);
    if (!item && item.error().kind == error_kind::not_found) {
        // The operator writes the first configuration some time after the fleet has started.
        record_absence(sync_, store_dataset::configuration, now());
        read_due();
        return;
    }
    if (!item) {
        failed(store_dataset::configuration, item.error());
        return;
    }
    apply_configuration(*item);
    const auto named = source_.coverage ? source_.coverage->configuration_revision : 0;
    if (kind == read_kind::full_cached && item->revision < named) {
        record_stale_read(sync_, store_dataset::configuration, now());
        read_due();
        return;
    }
    // The store's revision in a cached answer may be newer than the item.
    succeeded({.dataset = store_dataset::configuration, .kind = kind},
              kind == read_kind::full_cached ? item->revision : item->store_revision);
}

void store_reader::configuration_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_changes);
    if (!news) {
        watch_failed(store_dataset::configuration, news.error());
        return;
    }
    for (const auto& item : news->written) {
        if (item.key == configuration_key) {
            apply_configuration(item);
        }
    }
    succeeded({.dataset = store_dataset::configuration, .kind = read_kind::watch}, news->store_revision);
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
    announce_(std::nullopt);
}

void store_reader::read_page(const std::string& after_key) {
    (pages_cached_ ? cached_reads_ : whole_reads_).add();
    const auto mode = pages_cached_ ? read_consistency::cached : read_consistency::newest;
    listing_.session.get(page_target(upstream_prefix, after_key, mode), limits_of(read_kind::full, now()),
                         [this](const result<http_response>& answer) { page_answered(answer); });
}

void store_reader::page_answered(const result<http_response>& answer) {
    const auto page = decode_answer(answer, decode_page);
    if (!page) {
        failed(store_dataset::listing, page.error());
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
    pages_cached_ ? apply_cached_listing() : apply_whole_listing();
}

void store_reader::apply_whole_listing() {
    const auto time = now();
    const auto changes = apply_listing(directory_, pages_, time, time - keep_unlisted);
    const auto delta = delta_between(listing_revision_, pages_, changes);
    apply_changes(changes, "store");
    view_.listing_as_of = listing_.started;
    listing_verified_at_ = listing_.started;
    listing_revision_ = pages_.revision;
    succeeded({.dataset = store_dataset::listing, .kind = read_kind::full}, pages_.revision);
    announce_(delta);
}

/// What a cached listing does not show may have left or may not be there yet, so it removes nothing, and news
/// are taken from its newest entry on.
void store_reader::apply_cached_listing() {
    const auto time = now();
    upstream_update news{.revision = 1};
    for (auto& report : pages_.reports) {
        news.revision = std::max(news.revision, report.revision);
        news.reports.push_back(std::move(report));
    }
    apply_changes(apply_update(directory_, news, time, time - keep_unlisted), "store");
    listing_revision_ = std::max(listing_revision_, news.revision);
    succeeded({.dataset = store_dataset::listing, .kind = read_kind::full_cached}, news.revision);
}

void store_reader::listing_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_changes);
    if (!news) {
        watch_failed(store_dataset::listing, news.error());
        return;
    }
    const auto time = now();
    const listing_delta delta{.after_revision = listing_revision_, .update = to_upstream_news(*news)};
    apply_changes(apply_update(directory_, delta.update, time, time - keep_unlisted), "store");
    listing_verified_at_ = time;
    const bool changed = !news->written.empty() || !news->deleted.empty();
    if (changed) {
        listing_revision_ = std::max(listing_revision_, news->store_revision);
    }
    succeeded({.dataset = store_dataset::listing, .kind = read_kind::watch}, news->store_revision);
    if (changed) {
        announce_(delta);
    }
}

void store_reader::apply_changes(const std::vector<upstream_change>& changes, std::string_view source) {
    if (view_.upstreams == nullptr) {
        // Hundreds of lines about hosts that have long been there would hold a starting director up.
        log_event(log_level::info, "listing_read",
                  {{"upstreams", std::to_string(directory_.by_id.size())}, {"source", std::string{source}}});
    } else {
        log_changes(changes, source);
    }
    listing_digest_ = digest_of(directory_);
    unreadable_entries_.set(count_unreadable(directory_));
    view_.upstreams = std::make_shared<const upstream_index>(make_upstream_index(directory_));
}

void store_reader::watch_failed(store_dataset dataset, const error& failure) {
    if (failure.kind != error_kind::not_found) {
        failed(dataset, failure);
        return;
    }
    // The store answers; only what happened since the last reading is no longer to be had from it.
    histories_lost_.add();
    log_event(log_level::info, "watch_history_discarded",
              {{"reading", to_text(dataset)}, {"message", failure.message}});
    record_discarded_history(sync_, dataset, now());
    read_due();
}

void store_reader::failed(store_dataset dataset, const error& failure) {
    read_failures_.add();
    if (record_read_failure(sync_, dataset, source_.coverage.has_value(), now())) {
        log_event(log_level::warning, "store_lost",
                  {{"reading", to_text(dataset)}, {"message", failure.message}});
    }
    if (dataset == store_dataset::configuration) {
        routes_read_until_ = mono_time{};
    }
    publish();
    read_due();
}

void store_reader::succeeded(const due_read& reading, std::uint64_t store_revision) {
    auto& dataset = reading_of(reading.dataset);
    // A whole reading sets the revision anew; the store's history may have started over.
    const bool whole = reading.kind == read_kind::full;
    dataset.watched_revision = whole ? store_revision : std::max(dataset.watched_revision, store_revision);
    if (whole) {
        read_times_.add(now() - dataset.started);
    }
    const bool was_steady = sync_.store_available_since != mono_time::max();
    record_read(sync_, reading, dataset.started, now());
    // A cached answer does not show that there is nothing newer.
    if (reading.dataset == store_dataset::configuration && reading.kind != read_kind::full_cached) {
        routes_read_until_ = now() + watch_hold_limit + read_stall_timeout;
    }
    if (!was_steady) {
        log_event(log_level::info, "store_regained", {{"reading", to_text(reading.dataset)}});
    }
    publish();
    read_due();
}

void store_reader::publish() {
    const bool lost = sync_.store_available_since == mono_time::max();
    const bool relies = source_.coverage && (follows() || lost);
    view_.store_available_since =
        relies ? source_.coverage->store_available_since : sync_.store_available_since;
    const auto named = relies ? source_.coverage->configuration_revision : 0;
    const bool newest = named != 0 && named <= configuration_revision_;
    view_.routes_fresh_until = newest ? source_.coverage->until : routes_read_until_;
    context_.view.set(std::make_shared<const fleet_view>(view_));
}

}  // namespace guavaramp
