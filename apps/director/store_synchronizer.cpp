#include "store_synchronizer.hpp"

#include "store_response.hpp"

#include <guavaramp/base/suspension.hpp>
#include <guavaramp/director/age.hpp>
#include <guavaramp/platform_adapter/store_records.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace guavaramp {
namespace {

using namespace platform_adapter;

/// How long an upstream that left the listing stays known: flows to it may be that old.
constexpr auto unlisted_retention = std::chrono::seconds{60};
/// Minimum time between two full reads of the listing that unknown tags in packets cause.
constexpr auto min_listing_refresh_period = std::chrono::milliseconds{1000};

/// A watch that has been open for this long should have returned every change that a check finds.
constexpr auto min_watch_time_before_check = std::chrono::milliseconds{200};

mono_time now() { return std::chrono::steady_clock::now(); }

const char* to_text(store_dataset dataset) noexcept {
    return dataset == store_dataset::configuration ? "configuration" : "listing";
}

upstream_update to_upstream_update(const store_changes& changes) {
    upstream_update update{.revision = changes.store_revision};
    for (const auto& item : changes.written) {
        update.reports.push_back(decode_upstream(item));
    }
    for (const auto& deleted : changes.deleted) {
        update.removed.push_back({.id = upstream_id_from_key(deleted.key), .revision = deleted.revision});
    }
    return update;
}

bool has_changes(const store_changes& changes) noexcept {
    return !changes.written.empty() || !changes.deleted.empty();
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

store_synchronizer::store_synchronizer(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      configuration_{.session = http_session{io, context.settings.store}},
      listing_{.session = http_session{io, context.settings.store}},
      check_timer_(io),
      warm_timer_(io),
      check_session_(io, context.settings.store),
      restore_grace_timer_(io),
      full_reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "whole")),
      cached_reads_(context.counters.get("store_reads_total", "Readings of the platform's store", "cached")),
      own_reads_(context.counters.get(
          "store_own_reads_total", "Readings of the store by a director that is no reader and hears none")),
      watches_(context.counters.get("store_reads_total", "Readings of the platform's store", "watch")),
      watch_time_ms_{&context.counters.get("store_watch_open_milliseconds_total",
                                           "Time for which watches were open", "configuration"),
                     &context.counters.get("store_watch_open_milliseconds_total",
                                           "Time for which watches were open", "listing")},
      checks_(context.counters.get("store_reads_total", "Readings of the platform's store", "check")),
      missed_changes_(context.counters.get("watch_missed_changes_total",
                                           "Changes that a check showed before their watch did")),
      lost_histories_(context.counters.get("store_histories_lost_total",
                                           "Watches whose history the store had discarded")),
      upstreams_cold_(context.counters.get("upstreams_cold", "Upstreams that are limited while they warm up",
                                           "", counter_kind::gauge)),
      evacuated_domains_(context.counters.get("evacuated_domains", "Failure domains that are evacuated", "",
                                              counter_kind::gauge)),
      evacuation_changes_(context.counters.get("evacuation_changes_total",
                                               "Evacuations of failure domains that began or ended")),
      evacuations_ignored_(context.counters.get(
          "evacuations_ignored_total", "Entries about evacuations that are unreadable or above the limits")),
      restores_(context.counters.get("store_restores_total", "Restores of the store from a backup")),
      earlier_answers_(context.counters.get("store_answers_of_earlier_eras_total",
                                            "Answers and updates from before the store's last restore")),
      current_era_(context.counters.get("store_era", "Era of the store", "", counter_kind::gauge)),
      drains_kept_(context.counters.get("drains_kept_after_restore",
                                        "Hosts that drain although a restored entry says ready", "",
                                        counter_kind::gauge)),
      relayed_deltas_(
          context.counters.get("news_applied_total", "News of other directors that were applied")),
      relayed_gaps_(context.counters.get("news_gaps_total", "News that follow something unknown here")),
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
    sync_.takes_cached_answers_first = context.settings.mechanisms.is_enabled(mechanism::cached_start);
    view_.suspended_time_at_refresh = suspended_time();
    record_reader_role(sync_, false, now());
}

void store_synchronizer::start(store_synchronizer_callbacks callbacks) {
    callbacks_ = std::move(callbacks);
    start_due_reads();
    schedule_check(now() + check_period);
}

std::optional<reader_report> store_synchronizer::own_report() const {
    const bool is_configuration_absent = sync_of(sync_, store_dataset::configuration).absent;
    const bool is_complete = (configuration_revision_ != 0 || is_configuration_absent) &&
                             listing_revision_ != 0 && (!uses_evacuations() || is_known(evacuations_));
    if (!is_complete || sync_.store_available_since == mono_time::max()) {
        return std::nullopt;
    }
    const auto time = now();
    const auto datasets_verified = datasets_verified_at(sync_);
    const auto verified_at = uses_evacuations()
                                 ? std::min(datasets_verified, evacuations_verified_at_ + evacuation_slack())
                                 : datasets_verified;
    return reader_report{.listing = own_listing(),
                         .configuration_revision = configuration_revision_,
                         .verified_age_ms = age_ms(verified_at, time),
                         .store_available_age_ms = age_ms(sync_.store_available_since, time),
                         .evacuations = make_evacuation_report(evacuations_)};
}

listing_state store_synchronizer::own_listing() const noexcept {
    return {.revision = listing_.watched_revision, .digest = listing_digest_};
}

std::optional<listing_delta> store_synchronizer::changes_after(std::uint64_t revision) const {
    return own_report() ? delta_since(directory_, own_listing().revision, revision) : std::nullopt;
}

void store_synchronizer::apply_relayed_delta(const listing_delta& delta) {
    const auto newest_revision = newest_revision_of(delta);
    record_reported_era(newest_revision);
    if (era_of(newest_revision) < era_.era) {
        earlier_answers_.add();
        return;
    }
    if (listing_revision_ == 0) {
        return;
    }
    const auto time = now();
    const auto applied =
        apply_delta(directory_, delta, listing_.watched_revision, time, time - unlisted_retention);
    if (applied.status == delta_status::gap) {
        relayed_gaps_.add();
        return;
    }
    listing_.watched_revision = applied.known_revision;
    listing_revision_ = std::max(listing_revision_, delta.update.revision);
    if (applied.status == delta_status::already_known && digest_of(directory_) == listing_digest_) {
        return;
    }
    relayed_deltas_.add();
    apply_changes(applied.changes, "director");
    publish_view();
}

bool store_synchronizer::relies_on_readers() const noexcept {
    return !source_.is_reader && source_.coverage.has_value();
}

void store_synchronizer::set_update_source(const update_source& source) {
    const bool becomes_reader = source.is_reader && !source_.is_reader;
    if (becomes_reader || (source_.coverage && !source.coverage)) {
        record_coverage_loss(sync_, now());
    }
    source_ = source;
    set_coverage_deadline(sync_, source.relies_on_readers_until);
    record_reader_role(sync_, source.is_reader, now());
    const auto coverage = source.coverage.value_or(relay_coverage{});
    record_reported_era(coverage.newest_revision);
    if (listing_revision_ != 0 && coverage.confirmed_revision != 0) {
        listing_.watched_revision = std::max(listing_.watched_revision, coverage.confirmed_revision);
        record_confirmation(sync_, store_dataset::listing);
    }
    set_behind(sync_, store_dataset::listing, coverage.listing_differs, now());
    set_behind(sync_, store_dataset::configuration,
               coverage.configuration_revision > configuration_revision_ ||
                   lacks_reported_evacuations(evacuations_, lacking_report_),
               now());
    if (is_overtaken_watch(sync_, store_dataset::configuration, configuration_.read_started_at, now())) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change",
                  {{"reading", to_text(store_dataset::configuration)},
                   {"revision", std::to_string(configuration_revision_)},
                   {"reported", std::to_string(coverage.configuration_revision)}});
        start_full_read(store_dataset::configuration);
    }
    if (relies_on_readers()) {
        routes_current_until_ = mono_time{};
        cancel_redundant_watch(store_dataset::configuration);
        cancel_redundant_watch(store_dataset::listing);
    }
    publish_view();
    start_due_reads();
    if (becomes_reader && !check_session_.is_busy()) {
        // Nobody has checked this director's listing while it was no reader.
        check_timer_.cancel();
        run_check(store_dataset::listing);
    }
}

void store_synchronizer::on_suspension(std::chrono::milliseconds suspended) {
    view_.suspended_time_at_refresh = suspended;
    view_.listing_as_of = mono_time{};
    view_.listing_verified_at = mono_time{};
    source_.coverage.reset();
    routes_current_until_ = mono_time{};
    discard_verification(sync_);
    evacuations_verified_at_ = mono_time{};
    if (sync_.store_available_since != mono_time::max()) {
        sync_.store_available_since = now();
    }
    publish_view();
}

store_synchronizer::dataset_connection& store_synchronizer::connection_of(store_dataset dataset) noexcept {
    return dataset == store_dataset::configuration ? configuration_ : listing_;
}

void store_synchronizer::cancel_redundant_watch(store_dataset dataset) {
    if (is_redundant_watch(sync_, dataset)) {
        connection_of(dataset).session.cancel();
        record_cancelled_read(sync_, dataset, now());
    }
}

void store_synchronizer::refresh_listing() {
    if (now() >= listing_.read_started_at + min_listing_refresh_period) {
        start_full_read(store_dataset::listing);
    }
}

void store_synchronizer::refresh_configuration() {
    request_verification(sync_, store_dataset::configuration);
    start_due_reads();
}

void store_synchronizer::start_full_read(store_dataset dataset) {
    auto& state = sync_of(sync_, dataset);
    if (state.needs_full_read) {
        return;
    }
    connection_of(dataset).session.cancel();
    state.read_in_progress = false;
    request_full_read(sync_, dataset, now());
    start_due_reads();
}

/// Returns whether an answer to a read of `dataset` may be used, see `judge_answer`. If not, the next read is
/// scheduled here. Answers that are of no use anyway are left to the caller.
bool store_synchronizer::takes_answer(store_dataset dataset, bool cached,
                                      const result<http_response>& response) {
    auto began_in = std::exchange(connection_of(dataset).watch_era, std::nullopt);
    if (!response || response->status >= first_failure_status) {
        return true;
    }
    const auto stated_era = response_era(response);
    if (!stated_era) {
        on_read_failure(dataset, stated_era.error());
        return false;
    }
    if (dataset == store_dataset::listing && !began_in && pages_.revision != 0) {
        began_in = era_of(pages_.revision);
    }
    const auto latest_era = era_.era;
    const auto use = judge_answer(era_, *stated_era, began_in);
    current_era_.set(era_.era);
    switch (use) {
        case answer_use::use:
            return true;
        case answer_use::ignore:
            earlier_answers_.add();
            if (cached) {
                record_stale_read(sync_, dataset, now());
                start_due_reads();
            } else {
                on_read_failure(dataset, {.kind = error_kind::unavailable,
                                          .message = "the answer is from before the store's last restore"});
            }
            return false;
        case answer_use::read_again:
            restart_full_read(dataset);
            start_due_reads();
            return false;
        case answer_use::restored:
            on_restored(latest_era, "store");
            return false;
    }
    return false;
}

/// Returns whether the answer to a check is of the latest era.
bool store_synchronizer::takes_check_answer(const result<http_response>& response) {
    if (!response || response->status >= first_failure_status) {
        return true;
    }
    const auto stated_era = response_era(response);
    const auto latest_era = era_.era;
    const auto order = stated_era ? record_era(era_, *stated_era) : era_order::earlier;
    if (order == era_order::later) {
        on_restored(latest_era, "store");
    } else if (order == era_order::earlier) {
        earlier_answers_.add();
    }
    return order == era_order::same;
}

/// Records the era of a revision that another director has reported; 0 for none.
void store_synchronizer::record_reported_era(std::uint64_t revision) {
    const auto latest_era = era_.era;
    if (revision != 0 && record_era(era_, era_of(revision)) == era_order::later) {
        on_restored(latest_era, "director");
    }
}

void store_synchronizer::on_restored(std::uint64_t earlier_era, const char* source) {
    const auto time = now();
    restores_.add();
    current_era_.set(era_.era);
    log_event(log_level::warning, "store_restored",
              {{"era", std::to_string(era_.era)},
               {"earlier_era", std::to_string(earlier_era)},
               {"source", source},
               {"listing_revision", std::to_string(store_revision_of(listing_revision_))}});
    if (uses_evacuations()) {
        held_evacuations_ = {.names = evacuations_.names,
                             .until = time + *context_.settings.evacuation_bound};
    }
    restore_grace_until_ = time + max_relisting_time;
    restore_grace_timer_.expires_at(restore_grace_until_);
    restore_grace_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            end_grace_after_restore();
        }
    });
    if (sync_.is_reader || source == std::string_view{"store"}) {
        restart_full_read(store_dataset::listing);
        restart_full_read(store_dataset::configuration);
    }
    record_restore(sync_, time);
    publish_view();
    callbacks_.store_restored(era_.era);
    start_due_reads();
}

void store_synchronizer::restart_full_read(store_dataset dataset) {
    auto& session = connection_of(dataset).session;
    if (session.is_busy()) {
        session.cancel();
    }
    sync_of(sync_, dataset).read_in_progress = false;
    request_full_read(sync_, dataset, now());
}

void store_synchronizer::end_grace_after_restore() {
    if (end_restore_grace(directory_)) {
        rebuild_index();
        publish_view();
    }
}

void store_synchronizer::schedule_check(mono_time at) {
    check_timer_.expires_at(at);
    check_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            run_check(next_check_);
        }
    });
}

/// Checks a dataset. The evacuations are checked just before the listing, so that a reader's report confirms
/// both.
void store_synchronizer::run_check(store_dataset dataset) {
    const bool checks_evacuations = dataset == store_dataset::listing && uses_evacuations() &&
                                    source_.is_reader && is_known(evacuations_);
    checks_evacuations ? run_evacuation_check() : run_dataset_check(dataset);
}

void store_synchronizer::run_dataset_check(store_dataset dataset) {
    const bool is_configuration = dataset == store_dataset::configuration;
    next_check_ = is_configuration ? store_dataset::listing : store_dataset::configuration;
    // Before the first full read there is nothing to check, and after a failure a full read follows anyway.
    // If this director is not a reader, no other director relies on it, and the readers' reports reveal a
    // difference in its listing.
    const bool too_early = is_configuration && now() < next_configuration_check_at_;
    if (sync_of(sync_, dataset).needs_full_read || too_early || !source_.is_reader) {
        schedule_check(now() + check_period);
        return;
    }
    checks_.add();
    check_started_at_ = now();
    const auto target = is_configuration ? item_target(configuration_key, read_consistency::cached)
                                         : page_target(upstream_prefix, "", read_consistency::cached);
    check_session_.get(target, limits_of(check_started_at_),
                       [this, is_configuration](const result<http_response>& response) {
                           is_configuration ? check_configuration(response) : check_listing(response);
                       });
}

void store_synchronizer::check_configuration(const result<http_response>& response) {
    const bool is_current = takes_check_answer(response);
    const auto item = decode_response(response, decode_item);
    next_configuration_check_at_ = next_configuration_check_at(response ? response->body.size() : 0, now());
    finish_check(store_dataset::configuration, is_current && item.has_value(),
                 item && item->revision > configuration_revision_);
}

void store_synchronizer::check_listing(const result<http_response>& response) {
    const bool is_current = takes_check_answer(response);
    const auto page = decode_response(response, decode_page);
    upstream_listing listing;
    if (page) {
        // Only the first page of a listing is checked: reading all pages would cost as much as a full read.
        listing.revision = page->has_more ? 0 : page->store_revision;
        for (const auto& item : page->items) {
            listing.reports.push_back(decode_upstream(item));
        }
    }
    finish_check(store_dataset::listing, is_current && page.has_value(),
                 page && shows_missed_change(directory_, listing));
}

void store_synchronizer::finish_check(store_dataset dataset, bool answered, bool has_missed_change) {
    const auto& connection = connection_of(dataset);
    const auto& state = sync_of(sync_, dataset);
    const bool is_watching = state.read_in_progress && !state.needs_full_read &&
                             now() >= connection.read_started_at + min_watch_time_before_check;
    if (judge_check(answered, has_missed_change, is_watching) == check_verdict::watch_is_dead) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change", {{"reading", to_text(dataset)}});
        start_full_read(dataset);
    }
    // Counted from the start of this check, so that slow answers do not make checks rarer.
    schedule_check(std::max(now(), check_started_at_ + check_period));
}

std::string store_synchronizer::upstream_name(steering_tag tag) const {
    const auto* known = view_.upstreams == nullptr ? nullptr : find_by_tag(*view_.upstreams, tag);
    return known == nullptr ? "tag:" + std::to_string(static_cast<std::uint32_t>(tag)) : known->report.id;
}

/// Returns how to make the read `due`. A watch cannot start from a revision of an earlier era, because the
/// store may give out the same number again.
read_kind store_synchronizer::kind_in_latest_era(const due_read& due) {
    auto& connection = connection_of(due.dataset);
    connection.watch_era.reset();
    const bool starts_from_revision = due.kind == read_kind::watch || due.kind == read_kind::catch_up;
    return starts_from_revision && era_of(connection.watched_revision) != era_.era ? read_kind::full
                                                                                   : due.kind;
}

void store_synchronizer::start_due_reads() {
    const auto time = now();
    due_read due{};
    if (start_read_if_due(sync_, store_dataset::listing, time, due)) {
        due.kind = kind_in_latest_era(due);
        listing_.read_started_at = time;
        if (due.kind == read_kind::watch || due.kind == read_kind::catch_up) {
            start_watch(due, upstream_prefix, &store_synchronizer::on_listing_watch);
        } else {
            pages_ = {};
            pages_cached_ = due.kind == read_kind::full_cached;
            read_listing_page("");
        }
    }
    if (start_read_if_due(sync_, store_dataset::configuration, time, due)) {
        due.kind = kind_in_latest_era(due);
        configuration_.read_started_at = time;
        if (due.kind == read_kind::watch || due.kind == read_kind::catch_up) {
            start_watch(due, operator_prefix, &store_synchronizer::on_configuration_watch);
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
            start_due_reads();
        }
    });
}

void store_synchronizer::start_watch(
    const due_read& due, std::string_view prefix,
    void (store_synchronizer::*handle_response)(const result<http_response>&)) {
    auto& connection = connection_of(due.dataset);
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(due.hold_until - connection.read_started_at);
    watches_.add();
    connection.watch_era = era_of(connection.watched_revision);
    connection.watch = due;
    connection.session.get(watch_target(prefix, connection.watched_revision, wait), limits_of(due.hold_until),
                           [this, handle_response](const result<http_response>& response) {
                               (this->*handle_response)(response);
                           });
}

void store_synchronizer::read_configuration(read_kind kind) {
    const bool cached = kind == read_kind::full_cached;
    (cached ? cached_reads_ : full_reads_).add();
    configuration_.session.get(
        item_target(configuration_key, cached ? read_consistency::cached : read_consistency::newest),
        limits_of(configuration_.read_started_at),
        [this, kind](const result<http_response>& response) { on_configuration_read(kind, response); });
}

void store_synchronizer::on_configuration_read(read_kind kind, const result<http_response>& response) {
    if (!takes_answer(store_dataset::configuration, kind == read_kind::full_cached, response)) {
        return;
    }
    const auto item = decode_response(response, decode_item);
    if (!item && item.error().kind != error_kind::not_found) {
        on_read_failure(store_dataset::configuration, item.error());
        return;
    }
    const auto read_item = item ? std::optional{*item} : std::nullopt;
    if (read_item) {
        apply_configuration(*read_item);
    }
    if (uses_evacuations()) {
        evacuation_pages_ = {};
        read_evacuation_page(kind, "", read_item);
    } else {
        finish_configuration_read(kind, read_item);
    }
}

/// Finishes a full read of the configuration; `item` is nothing if the store has none.
void store_synchronizer::finish_configuration_read(read_kind kind, const std::optional<store_item>& item) {
    if (!item) {
        // Not a failure: the operator may write the first configuration some time after the fleet has
        // started.
        record_absence(sync_, store_dataset::configuration, now());
        publish_view();
        start_due_reads();
        return;
    }
    const auto reported_revision = source_.coverage ? source_.coverage->configuration_revision : 0;
    const bool lacks_evacuations = lacks_reported_evacuations(evacuations_, lacking_report_);
    if (kind == read_kind::full_cached && (item->revision < reported_revision || lacks_evacuations)) {
        record_stale_read(sync_, store_dataset::configuration, now());
        start_due_reads();
        return;
    }
    // The store's revision in a cached response may be newer than the item in it.
    on_read_success(
        {.read = {.dataset = store_dataset::configuration, .kind = kind},
         .store_revision = kind == read_kind::full_cached ? item->revision : item->store_revision});
    if (kind == read_kind::full) {
        callbacks_.verified();
    }
}

void store_synchronizer::on_configuration_watch(const result<http_response>& response) {
    if (!takes_answer(store_dataset::configuration, false, response)) {
        return;
    }
    const auto changes = decode_response(response, decode_changes);
    if (!changes) {
        on_watch_failure(store_dataset::configuration, changes.error());
        return;
    }
    for (const auto& item : changes->written) {
        if (item.key == configuration_key) {
            apply_configuration(item);
        }
    }
    if (uses_evacuations()) {
        apply_evacuation_changes(*changes);
    }
    finish_watch(configuration_, *changes);
    if (!has_changes(*changes)) {
        callbacks_.verified();
    }
}

void store_synchronizer::apply_configuration(const store_item& item) {
    if (item.revision <= configuration_revision_) {
        return;
    }
    configuration_revision_ = item.revision;
    const auto decoded = decode_configuration(item.value);
    newest_configuration_unreadable_ = !decoded;
    if (!decoded) {
        publish_view();
        log_event(log_level::error, "configuration_unreadable",
                  {{"revision", std::to_string(item.revision)}, {"message", decoded.error().message}});
        return;
    }
    const auto version = decoded->configuration.version;
    const auto earlier = view_.routes == nullptr ? 0 : view_.routes->version;
    newest_configuration_refused_ = version < earlier;
    if (version <= earlier) {
        log_event(log_level::warning, "configuration_not_newer",
                  {{"version", std::to_string(version)}, {"in_force", std::to_string(earlier)}});
        return;
    }
    view_.routes = std::make_shared<const route_table>(make_route_table(decoded->configuration));
    if (auto rules = make_cold_rules(*view_.routes, context_.settings.cold); rules != cold_rules_) {
        cold_rules_ = std::move(rules);
        if (view_.upstreams != nullptr) {
            rebuild_index();
        }
    }
    unreadable_routes_.set(decoded->unreadable_routes);
    configuration_version_.set(version);
    log_event(log_level::info, "configuration_in_force",
              {{"version", std::to_string(version)},
               {"earlier", std::to_string(earlier)},
               {"revision", std::to_string(item.revision)},
               {"routes", std::to_string(decoded->configuration.routes.size())},
               {"unreadable_routes", std::to_string(decoded->unreadable_routes)}});
    callbacks_.announce(std::nullopt);
}

void store_synchronizer::read_listing_page(const std::string& after_key) {
    (pages_cached_ ? cached_reads_ : full_reads_).add();
    const auto mode = pages_cached_ ? read_consistency::cached : read_consistency::newest;
    listing_.session.get(page_target(upstream_prefix, after_key, mode), limits_of(now()),
                         [this](const result<http_response>& response) { on_listing_page(response); });
}

void store_synchronizer::on_listing_page(const result<http_response>& response) {
    if (!takes_answer(store_dataset::listing, pages_cached_, response)) {
        return;
    }
    const auto page = decode_response(response, decode_page);
    if (!page) {
        on_read_failure(store_dataset::listing, page.error());
        return;
    }
    // The pages are not one snapshot, so the watch that follows starts from the revision of the first page,
    // which is the oldest one.
    if (pages_.revision == 0) {
        pages_.revision = page->store_revision;
    }
    for (const auto& item : page->items) {
        pages_.reports.push_back(decode_upstream(item));
    }
    if (page->has_more && !page->items.empty()) {
        read_listing_page(page->items.back().key);
        return;
    }
    pages_cached_ ? apply_cached_listing() : apply_full_listing();
}

void store_synchronizer::apply_full_listing() {
    const auto time = now();
    const auto changes = apply_listing(directory_, pages_, time, time - unlisted_retention);
    const auto delta = delta_between(listing_revision_, pages_, changes);
    apply_changes(changes, "store");
    view_.listing_as_of = listing_.read_started_at;
    listing_revision_ = pages_.revision;
    on_read_success({.read = {.dataset = store_dataset::listing, .kind = read_kind::full},
                     .store_revision = pages_.revision});
    callbacks_.announce(delta);
}

/// Applies a listing from cached responses. An upstream that it lacks may have been removed, or may have been
/// added after the responses were cached. The cached listing therefore removes nothing, and the watch that
/// follows starts from the revision of its newest entry.
void store_synchronizer::apply_cached_listing() {
    const auto time = now();
    upstream_update update{.revision = 1};
    for (auto& report : pages_.reports) {
        update.revision = std::max(update.revision, report.revision);
        update.reports.push_back(std::move(report));
    }
    apply_changes(apply_update(directory_, update, time, time - unlisted_retention), "store");
    listing_revision_ = std::max(listing_revision_, update.revision);
    on_read_success({.read = {.dataset = store_dataset::listing, .kind = read_kind::full_cached},
                     .store_revision = update.revision});
}

void store_synchronizer::on_listing_watch(const result<http_response>& response) {
    if (!takes_answer(store_dataset::listing, false, response)) {
        return;
    }
    const auto changes = decode_response(response, decode_changes);
    if (!changes) {
        on_watch_failure(store_dataset::listing, changes.error());
        return;
    }
    const auto time = now();
    const listing_delta delta{.after_revision = listing_revision_, .update = to_upstream_update(*changes)};
    const bool has_changed = has_changes(*changes);
    const auto applied = apply_update(directory_, delta.update, time, time - unlisted_retention);
    if (has_changed || !applied.empty()) {
        apply_changes(applied, "store");
    }
    if (has_changed) {
        listing_revision_ = std::max(listing_revision_, changes->store_revision);
    }
    finish_watch(listing_, *changes);
    if (has_changed) {
        callbacks_.announce(delta);
    } else {
        callbacks_.verified();
    }
}

void store_synchronizer::apply_changes(const std::vector<upstream_change>& changes, std::string_view source) {
    if (view_.upstreams == nullptr) {
        // One line for the whole first listing: hundreds of lines about hosts that have existed for long
        // would delay the start of the director.
        log_event(log_level::info, "listing_read",
                  {{"upstreams", std::to_string(directory_.by_id.size())}, {"source", std::string{source}}});
    } else {
        log_changes(changes, source);
    }
    if (now() >= restore_grace_until_) {
        (void)end_restore_grace(directory_);
    }
    listing_digest_ = digest_of(directory_);
    drains_kept_.set(count_drains_kept(directory_));
    unreadable_entries_.set(count_unreadable(directory_));
    rebuild_index();
}

/// Makes the index of the upstreams again, after a change or because a cold period or the grace after a
/// restore has ended. The caller publishes the view.
void store_synchronizer::rebuild_index() {
    auto index = make_upstream_index(directory_, evacuations_.names, cold_rules_, now());
    log_cold_services(index);
    schedule_rebuild(index.next_warm_at);
    view_.upstreams = std::make_shared<const upstream_index>(std::move(index));
}

void store_synchronizer::log_cold_services(const upstream_index& index) {
    std::size_t upstreams = 0;
    std::set<std::string> services;
    for (const auto& [service, cold] : index.cold_by_service) {
        upstreams += cold.positions.size();
        if (!index.ready_by_service.contains(service)) {
            services.insert(service);
        }
    }
    upstreams_cold_.set(upstreams);
    for (const auto& service : services) {
        if (!services_cold_.contains(service)) {
            log_event(log_level::warning, "service_cold",
                      {{"service", service},
                       {"upstreams", std::to_string(index.cold_by_service.at(service).positions.size())}});
        }
    }
    for (const auto& service : services_cold_) {
        if (!services.contains(service)) {
            log_event(log_level::info, "service_no_longer_cold", {{"service", service}});
        }
    }
    services_cold_ = std::move(services);
}

void store_synchronizer::schedule_rebuild(mono_time at) {
    warm_timer_.cancel();
    if (at == mono_time::max()) {
        return;
    }
    warm_timer_.expires_at(at);
    warm_timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            rebuild_index();
            publish_view();
        }
    });
}

void store_synchronizer::on_watch_failure(store_dataset dataset, const error& failure) {
    if (failure.kind != error_kind::not_found) {
        on_read_failure(dataset, failure);
        return;
    }
    // The store is available; it has only discarded the changes since the last read.
    lost_histories_.add();
    log_event(log_level::info, "watch_history_discarded",
              {{"reading", to_text(dataset)}, {"message", failure.message}});
    record_discarded_history(sync_, dataset, now());
    start_due_reads();
}

void store_synchronizer::on_read_failure(store_dataset dataset, const error& failure) {
    read_failures_.add();
    if (record_read_failure(sync_, dataset, source_.coverage.has_value(), now())) {
        log_event(log_level::warning, "store_lost",
                  {{"reading", to_text(dataset)}, {"message", failure.message}});
    }
    if (dataset == store_dataset::configuration) {
        routes_current_until_ = mono_time{};
    }
    publish_view();
    start_due_reads();
}

/// Finishes the watch on `connection`, whose answer has brought `changes`.
void store_synchronizer::finish_watch(const dataset_connection& connection, const store_changes& changes) {
    watch_time_ms_.at(static_cast<std::size_t>(connection.watch.dataset))
        ->add(age_ms(connection.read_started_at, now()));
    on_read_success({.read = {.dataset = connection.watch.dataset,
                              .kind = read_kind::watch,
                              .hold_until = connection.watch.hold_until},
                     .store_revision = changes.store_revision,
                     .is_unchanged = !has_changes(changes)});
}

/// Takes over the time at which the store has last shown that the configuration, and with it the set of
/// evacuations, is complete.
void store_synchronizer::record_configuration_verification() {
    const auto verified_at = sync_of(sync_, store_dataset::configuration).verified_at;
    routes_current_until_ = verified_at + verification_period + read_stall_timeout;
    if (evacuations_confirmed_) {
        evacuations_verified_at_ = std::max(evacuations_verified_at_, verified_at);
    }
}

mono_time store_synchronizer::listing_verified_at() const noexcept {
    return sync_of(sync_, store_dataset::listing).verified_at;
}

void store_synchronizer::on_read_success(const finished_read& finished) {
    const auto& reading = finished.read;
    auto& dataset = connection_of(reading.dataset);
    // A full read replaces the revision, also by a lower one, since the store's history may have been reset.
    const bool is_full = reading.kind == read_kind::full;
    dataset.watched_revision =
        is_full ? finished.store_revision : std::max(dataset.watched_revision, finished.store_revision);
    if (is_full) {
        read_times_.add(now() - dataset.read_started_at);
    }
    const bool was_available = sync_.store_available_since != mono_time::max();
    record_read(sync_, reading, dataset.read_started_at, now());
    if (finished.is_unchanged) {
        record_unchanged(sync_, reading, now());
    }
    // A cached response does not prove that there is no newer configuration.
    if (reading.dataset == store_dataset::configuration && reading.kind != read_kind::full_cached) {
        record_configuration_verification();
    }
    if (!was_available) {
        log_event(log_level::info, "store_regained", {{"reading", to_text(reading.dataset)}});
    }
    publish_view();
    start_due_reads();
    const bool is_own_read = !source_.is_reader && !source_.coverage;
    const bool shows_newest_state = reading.kind != read_kind::full_cached;
    if (is_own_read && shows_newest_state && reading.dataset == store_dataset::listing) {
        own_reads_.add();
        callbacks_.own_read_answered();
    }
}

void store_synchronizer::publish_view() {
    const bool is_store_lost = sync_.store_available_since == mono_time::max();
    const bool uses_coverage = source_.coverage && (relies_on_readers() || is_store_lost);
    view_.store_available_since =
        uses_coverage ? source_.coverage->store_available_since : sync_.store_available_since;
    view_.listing_verified_at = source_.coverage
                                    ? std::max(listing_verified_at(), source_.coverage->listing_verified_at)
                                    : listing_verified_at();
    const auto reported_revision = uses_coverage ? source_.coverage->configuration_revision : 0;
    const bool is_newest = reported_revision != 0 && reported_revision <= configuration_revision_;
    view_.routes_fresh_until = is_newest ? source_.coverage->until : routes_current_until_;
    view_.routes_as_of = sync_of(sync_, store_dataset::configuration).verified_at;
    if (newest_configuration_unreadable_) {
        // The routes in force are older than the store's configuration, so a missing route proves nothing.
        view_.routes_fresh_until = mono_time{};
    }
    if (newest_configuration_unreadable_ || newest_configuration_refused_) {
        view_.routes_as_of = mono_time{};
    }
    auto published = view_;
    if (uses_evacuations()) {
        withhold_routes_until_known(published, evacuations_);
    }
    context_.view.set(std::make_shared<const fleet_view>(std::move(published)));
}

}  // namespace guavaramp
