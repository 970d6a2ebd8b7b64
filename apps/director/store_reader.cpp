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

const char* to_text(store_subject subject) noexcept {
    return subject == store_subject::configuration ? "configuration" : "listing";
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
    note_reader(sync_, false, now());
}

void store_reader::start(std::function<void(const std::optional<listing_delta>&)> announce) {
    announce_ = std::move(announce);
    read_due();
    check_next();
}

std::optional<reader_report> store_reader::report() const {
    const bool awaits_first = sync_of(sync_, store_subject::configuration).absent;
    const bool complete = (configuration_revision_ != 0 || awaits_first) && listing_revision_ != 0;
    if (!complete || sync_.steady_since == mono_time::max()) {
        return std::nullopt;
    }
    const auto time = now();
    return reader_report{.listing = listing(),
                         .configuration_revision = configuration_revision_,
                         .verified_age_ms = age_ms(listing_verified_at_, time),
                         .steady_age_ms = age_ms(sync_.steady_since, time)};
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
    switch (fit_of(delta, listing_.watched_revision)) {
        case delta_fit::known:
            return;
        case delta_fit::gap:
            relay_gaps_.add();
            return;
        case delta_fit::applies:
            break;
    }
    relayed_changes_.add();
    listing_.watched_revision = std::max(listing_.watched_revision, delta.news.revision);
    listing_revision_ = std::max(listing_revision_, delta.news.revision);
    const auto time = now();
    apply_changes(apply_update(directory_, delta.news, time, time - keep_unlisted), "director");
    publish();
}

bool store_reader::follows() const noexcept { return !source_.reads && source_.coverage.has_value(); }

void store_reader::follow(const news_source& source) {
    const bool takes_over = source.reads && !source_.reads;
    source_ = source;
    note_coverage(sync_, source.follows_until);
    note_reader(sync_, source.reads, now());
    const auto coverage = source.coverage.value_or(relay_coverage{});
    if (listing_revision_ != 0 && coverage.confirmed_revision != 0) {
        listing_.watched_revision = std::max(listing_.watched_revision, coverage.confirmed_revision);
        note_confirmed(sync_, store_subject::listing);
    }
    note_behind(sync_, store_subject::listing, coverage.listing_differs, now());
    note_behind(sync_, store_subject::configuration,
                coverage.configuration_revision > configuration_revision_, now());
    if (follows()) {
        routes_read_until_ = mono_time{};
        give_up_watch(store_subject::configuration);
        give_up_watch(store_subject::listing);
    }
    publish();
    read_due();
    if (takes_over && !check_session_.is_busy()) {
        // Others rely on a reader whose listing was lately shown to be complete.
        check_timer_.cancel();
        check(store_subject::listing);
    }
}

void store_reader::note_suspension(std::chrono::milliseconds suspended) {
    view_.suspended_time_at_refresh = suspended;
    view_.listing_as_of = mono_time{};
    source_.coverage.reset();
    routes_read_until_ = mono_time{};
    listing_verified_at_ = mono_time{};
    if (sync_.steady_since != mono_time::max()) {
        sync_.steady_since = now();
    }
    publish();
}

store_reader::subject_reading& store_reader::reading_of(store_subject subject) noexcept {
    return subject == store_subject::configuration ? configuration_ : listing_;
}

void store_reader::give_up_watch(store_subject subject) {
    if (is_needless_watch(sync_, subject)) {
        reading_of(subject).session.cancel();
        note_given_up(sync_, subject, now());
    }
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
    reading_of(subject).session.cancel();
    state.reading = false;
    want_whole(sync_, subject, now());
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

void store_reader::check(store_subject subject) {
    const bool is_configuration = subject == store_subject::configuration;
    next_check_ = is_configuration ? store_subject::listing : store_subject::configuration;
    // Before the first whole reading there is nothing to check, and after a failure one follows anyway.
    // Nobody relies on a director that is no reader, and the readers' reports check its listing.
    const bool too_early = is_configuration && now() < configuration_check_at_;
    if (sync_of(sync_, subject).read_whole || too_early || !source_.reads) {
        check_next();
        return;
    }
    checks_.add();
    check_started_ = now();
    const auto target = is_configuration ? item_target(configuration_key, read_consistency::cached)
                                         : page_target(upstream_prefix, "", read_consistency::cached);
    check_session_.get(target, limits_of(reading_kind::whole_cached, check_started_),
                       [this, is_configuration](const result<http_response>& answer) {
                           is_configuration ? check_configuration(answer) : check_listing(answer);
                       });
}

void store_reader::check_configuration(const result<http_response>& answer) {
    const auto item = decode_answer(answer, decode_item);
    configuration_check_at_ = next_check_at(answer ? answer->body.size() : 0, now());
    check_ended(store_subject::configuration, item.has_value(),
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
    check_ended(store_subject::listing, page.has_value(), page && shows_missed_change(directory_, listing));
}

void store_reader::check_ended(store_subject subject, bool answered, bool missed) {
    const auto& reading = reading_of(subject);
    const auto& state = sync_of(sync_, subject);
    const bool watching = state.reading && !state.read_whole && now() >= reading.started + least_watched_time;
    if (missed && watching) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change", {{"reading", to_text(subject)}});
        reread(subject);
    } else if (answered && subject == store_subject::listing) {
        const bool was_long_ago = check_started_ - listing_verified_at_ > longest_verified_age;
        listing_verified_at_ = std::max(listing_verified_at_, check_started_);
        if (was_long_ago) {
            announce_(std::nullopt);
        }
    } else if (answered && watching) {
        routes_read_until_ = now() + watch_wait + read_timeout;
        publish();
    }
    check_next();
}

std::string store_reader::name_of(steering_tag tag) const {
    const auto* known = view_.upstreams == nullptr ? nullptr : find_by_tag(*view_.upstreams, tag);
    return known == nullptr ? "tag:" + std::to_string(static_cast<std::uint32_t>(tag)) : known->report.id;
}

void store_reader::read_due() {
    due_reading due{};
    if (start_if_due(sync_, store_subject::listing, now(), due)) {
        listing_.started = now();
        if (due.kind == reading_kind::watch || due.kind == reading_kind::catch_up) {
            watch(due, upstream_prefix, &store_reader::listing_watched);
        } else {
            pages_ = {};
            pages_cached_ = due.kind == reading_kind::whole_cached;
            read_page("");
        }
    }
    if (start_if_due(sync_, store_subject::configuration, now(), due)) {
        configuration_.started = now();
        if (due.kind == reading_kind::watch) {
            watch(due, operator_prefix, &store_reader::configuration_watched);
        } else {
            read_configuration(due.kind);
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

void store_reader::watch(const due_reading& due, std::string_view prefix,
                         void (store_reader::*answered)(const result<http_response>&)) {
    auto& reading = reading_of(due.subject);
    const auto wait = due.kind == reading_kind::catch_up ? catch_up_wait : watch_wait;
    watches_.add();
    reading.session.get(watch_target(prefix, reading.watched_revision, wait),
                        limits_of(due.kind, reading.started),
                        [this, answered](const result<http_response>& answer) { (this->*answered)(answer); });
}

void store_reader::read_configuration(reading_kind kind) {
    const bool cached = kind == reading_kind::whole_cached;
    (cached ? cached_reads_ : whole_reads_).add();
    configuration_.session.get(
        item_target(configuration_key, cached ? read_consistency::cached : read_consistency::newest),
        limits_of(kind, configuration_.started),
        [this, kind](const result<http_response>& answer) { configuration_answered(kind, answer); });
}

void store_reader::configuration_answered(reading_kind kind, const result<http_response>& answer) {
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
    const auto named = source_.coverage ? source_.coverage->configuration_revision : 0;
    if (kind == reading_kind::whole_cached && item->revision < named) {
        note_old_reading(sync_, store_subject::configuration, now());
        read_due();
        return;
    }
    // The store's revision in a cached answer may be newer than the item.
    succeeded({.subject = store_subject::configuration, .kind = kind},
              kind == reading_kind::whole_cached ? item->revision : item->store_revision);
}

void store_reader::configuration_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_changes);
    if (!news) {
        watch_failed(store_subject::configuration, news.error());
        return;
    }
    for (const auto& item : news->written) {
        if (item.key == configuration_key) {
            apply_configuration(item);
        }
    }
    succeeded({.subject = store_subject::configuration, .kind = reading_kind::watch}, news->store_revision);
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
    listing_.session.get(page_target(upstream_prefix, after_key, mode), limits_of(reading_kind::whole, now()),
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
    succeeded({.subject = store_subject::listing, .kind = reading_kind::whole}, pages_.revision);
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
    succeeded({.subject = store_subject::listing, .kind = reading_kind::whole_cached}, news.revision);
}

void store_reader::listing_watched(const result<http_response>& answer) {
    const auto news = decode_answer(answer, decode_changes);
    if (!news) {
        watch_failed(store_subject::listing, news.error());
        return;
    }
    const auto time = now();
    const listing_delta delta{.after_revision = listing_revision_, .news = to_upstream_news(*news)};
    apply_changes(apply_update(directory_, delta.news, time, time - keep_unlisted), "store");
    listing_verified_at_ = time;
    const bool changed = !news->written.empty() || !news->deleted.empty();
    if (changed) {
        listing_revision_ = std::max(listing_revision_, news->store_revision);
    }
    succeeded({.subject = store_subject::listing, .kind = reading_kind::watch}, news->store_revision);
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

void store_reader::watch_failed(store_subject subject, const error& failure) {
    if (failure.kind != error_kind::not_found) {
        failed(subject, failure);
        return;
    }
    // The store answers; only what happened since the last reading is no longer to be had from it.
    histories_lost_.add();
    log_event(log_level::info, "watch_history_discarded",
              {{"reading", to_text(subject)}, {"message", failure.message}});
    note_history_lost(sync_, subject, now());
    read_due();
}

void store_reader::failed(store_subject subject, const error& failure) {
    read_failures_.add();
    if (note_read_failure(sync_, subject, source_.coverage.has_value(), now())) {
        log_event(log_level::warning, "store_lost",
                  {{"reading", to_text(subject)}, {"message", failure.message}});
    }
    if (subject == store_subject::configuration) {
        routes_read_until_ = mono_time{};
    }
    publish();
    read_due();
}

void store_reader::succeeded(const due_reading& reading, std::uint64_t store_revision) {
    auto& subject = reading_of(reading.subject);
    // A whole reading sets the revision anew; the store's history may have started over.
    const bool whole = reading.kind == reading_kind::whole;
    subject.watched_revision = whole ? store_revision : std::max(subject.watched_revision, store_revision);
    if (whole) {
        read_times_.add(now() - subject.started);
    }
    const bool was_steady = sync_.steady_since != mono_time::max();
    note_read(sync_, reading, subject.started, now());
    // A cached answer does not show that there is nothing newer.
    if (reading.subject == store_subject::configuration && reading.kind != reading_kind::whole_cached) {
        routes_read_until_ = now() + watch_wait + read_timeout;
    }
    if (!was_steady) {
        log_event(log_level::info, "store_regained", {{"reading", to_text(reading.subject)}});
    }
    publish();
    read_due();
}

void store_reader::publish() {
    const bool lost = sync_.steady_since == mono_time::max();
    const bool relies = source_.coverage && (follows() || lost);
    view_.store_available_since = relies ? source_.coverage->steady_since : sync_.steady_since;
    const auto named = relies ? source_.coverage->configuration_revision : 0;
    const bool newest = named != 0 && named <= configuration_revision_;
    view_.routes_fresh_until = newest ? source_.coverage->until : routes_read_until_;
    context_.view.set(std::make_shared<const fleet_view>(view_));
}

}  // namespace guavaramp
