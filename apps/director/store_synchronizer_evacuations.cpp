#include "store_response.hpp"
#include "store_synchronizer.hpp"

#include <guavaramp/platform_adapter/store_records.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

// The part of store_synchronizer that reads the evacuated failure domains.

namespace guavaramp {
namespace {

using namespace platform_adapter;

mono_time now() { return std::chrono::steady_clock::now(); }

}  // namespace

bool store_synchronizer::uses_evacuations() const noexcept {
    return context_.settings.evacuation_bound.has_value();
}

/// Returns by how much the set of evacuations may have been verified earlier than the listing: evacuations
/// may come into force later than drains.
std::chrono::milliseconds store_synchronizer::evacuation_slack() const noexcept {
    const auto bound = context_.settings.evacuation_bound.value_or(change_bound);
    return std::max<std::chrono::milliseconds>(bound - change_bound, std::chrono::milliseconds{0});
}

/// Reads a page of the evacuations, which are the last part of a full read of the configuration.
void store_synchronizer::read_evacuation_page(read_kind kind, const std::string& after_key,
                                              const std::optional<store_item>& configuration) {
    const bool cached = kind == read_kind::full_cached;
    const auto mode = cached ? read_consistency::cached : read_consistency::newest;
    (cached ? cached_reads_ : full_reads_).add();
    configuration_.session.get(page_target(evacuation_prefix, after_key, mode), limits_of(now()),
                               [this, kind, configuration](const result<http_response>& response) {
                                   on_evacuation_page(kind, configuration, response);
                               });
}

void store_synchronizer::on_evacuation_page(read_kind kind, const std::optional<store_item>& configuration,
                                            const result<http_response>& response) {
    if (!takes_answer(store_dataset::configuration, kind == read_kind::full_cached, response)) {
        return;
    }
    auto page = decode_response(response, decode_page);
    if (!page) {
        on_read_failure(store_dataset::configuration, page.error());
        return;
    }
    // As for the listing, the revision of the first page is the oldest one. A cached answer shows only that
    // its entries existed at their own revisions; a reader's report or a watch must be able to replace it.
    const bool cached = kind == read_kind::full_cached;
    if (cached) {
        for (const auto& item : page->items) {
            evacuation_pages_.store_revision = std::max(evacuation_pages_.store_revision, item.revision);
        }
    } else if (evacuation_pages_.store_revision == 0) {
        evacuation_pages_.store_revision = page->store_revision;
    }
    const auto last_key = page->items.empty() ? std::string{} : page->items.back().key;
    std::ranges::move(page->items, std::back_inserter(evacuation_pages_.items));
    const bool is_full = evacuation_pages_.items.size() > max_evacuated_domains;
    if (page->has_more && !last_key.empty() && !is_full) {
        read_evacuation_page(kind, last_key, configuration);
        return;
    }
    const auto decoded = decode_evacuations(evacuation_pages_.items);
    const auto revision = std::max<std::uint64_t>(evacuation_pages_.store_revision, 1);
    const auto change = apply_evacuation_read(evacuations_, revision,
                                              with_held_names(held_evacuations_, decoded.names, now()));
    if (!cached) {
        evacuations_verified_at_ = std::max(evacuations_verified_at_, configuration_.read_started_at);
        evacuations_confirmed_ = true;
    }
    use_evacuations(change, decoded.unreadable, "store");
    if (!change.begun.empty() || !change.ended.empty()) {
        callbacks_.announce(std::nullopt);
    }
    finish_configuration_read(kind, configuration);
}

void store_synchronizer::apply_evacuation_changes(const store_changes& changes) {
    std::size_t unreadable = 0;
    const auto update = decode_evacuation_changes(changes, unreadable);
    const auto change = apply_evacuation_update(evacuations_, update);
    use_evacuations(change, unreadable, "store");
    if (change.needs_full_read) {
        evacuations_confirmed_ = false;  // the next check reads the newest state
    }
    if (!update.set.empty() || !update.withdrawn.empty()) {
        callbacks_.announce(std::nullopt);
    }
}

void store_synchronizer::apply_reported_evacuations(const evacuation_report& report) {
    if (!uses_evacuations() || report.revision == 0) {
        return;
    }
    record_reported_era(report.revision);  // before the set in force is replaced, which a restore holds
    if (lacks_reported_evacuations(evacuations_, report)) {
        lacking_report_ = report;
        return;
    }
    const bool was_known = is_known(evacuations_);
    auto in_force = report;
    if (in_force.names) {
        // A reader that has started since the restore does not know what was in force before it.
        in_force.names = with_held_names(held_evacuations_, *std::move(in_force.names), now());
    }
    const auto change = apply_evacuation_report(evacuations_, in_force);
    evacuations_confirmed_ = evacuations_confirmed_ || evacuations_.revision == report.revision;
    use_evacuations(change, 0, "director");
    if (!was_known || !change.begun.empty() || !change.ended.empty()) {
        publish_view();
    }
}

/// Makes a change of the evacuated failure domains effective: the placement of flows sees only the hosts
/// that take some. The caller publishes the view.
void store_synchronizer::use_evacuations(const evacuation_change& change, std::size_t unreadable,
                                         std::string_view source) {
    if (const auto ignored = change.ignored + unreadable; ignored > 0) {
        evacuations_ignored_.add(ignored);
        log_event(log_level::warning, "evacuations_ignored",
                  {{"entries", std::to_string(ignored)},
                   {"unreadable", std::to_string(unreadable)},
                   {"revision", std::to_string(evacuations_.revision)}});
    }
    for (const auto* names : {&change.begun, &change.ended}) {
        for (const auto& name : *names) {
            log_event(log_level::info, names == &change.begun ? "evacuation_began" : "evacuation_ended",
                      {{"failure_domain", name},
                       {"revision", std::to_string(evacuations_.revision)},
                       {"source", std::string{source}}});
        }
    }
    const auto changes = change.begun.size() + change.ended.size();
    if (changes == 0) {
        return;
    }
    evacuation_changes_.add(changes);
    evacuated_domains_.set(evacuations_.names.size());
    if (view_.upstreams != nullptr) {
        rebuild_index();
    }
}

/// Checks the evacuations against a cached answer. A set that came from cached answers and that no reader has
/// reported is read from the newest state instead.
void store_synchronizer::run_evacuation_check() {
    const auto consistency = evacuations_confirmed_ ? read_consistency::cached : read_consistency::newest;
    const auto started = now();
    checks_.add();
    check_session_.get(page_target(evacuation_prefix, "", consistency), limits_of(started),
                       [this, consistency, started](const result<http_response>& response) {
                           check_evacuations(consistency, started, response);
                       });
}

void store_synchronizer::check_evacuations(read_consistency consistency, mono_time started,
                                           const result<http_response>& response) {
    const bool is_current = takes_check_answer(response);
    const auto page = decode_response(response, decode_page);
    if (!is_current || !page) {
        run_dataset_check(store_dataset::listing);
        return;
    }
    const bool is_newest = consistency == read_consistency::newest;
    if (is_newest && page->has_more) {
        start_full_read(store_dataset::configuration);  // reads all pages
    } else if (is_newest) {
        apply_evacuation_check(*page, started);
    } else if (shows_missed_evacuation(evacuations_, page->store_revision,
                                       decode_evacuations(page->items).names, page->has_more)) {
        missed_changes_.add();
        log_event(log_level::info, "watch_missed_change", {{"reading", "evacuations"}});
        evacuations_confirmed_ = false;
        run_evacuation_check();
        return;
    }
    run_dataset_check(store_dataset::listing);
}

/// Applies an answer with the newest state of the evacuations.
void store_synchronizer::apply_evacuation_check(const store_page& page, mono_time started) {
    const auto decoded = decode_evacuations(page.items);
    const auto change = apply_evacuation_read(evacuations_, page.store_revision,
                                              with_held_names(held_evacuations_, decoded.names, now()));
    evacuations_verified_at_ = std::max(evacuations_verified_at_, started);
    evacuations_confirmed_ = true;
    use_evacuations(change, decoded.unreadable, "store");
    publish_view();
    callbacks_.announce(std::nullopt);
}

}  // namespace guavaramp
