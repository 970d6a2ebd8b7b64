#include "membership_manager.hpp"

#include "store_response.hpp"

#include <guavaramp/base/time.hpp>
#include <guavaramp/director/update_relay.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <algorithm>
#include <chrono>

namespace guavaramp {
namespace {

using namespace platform_adapter;

constexpr std::size_t fleet_key_bytes = 32;
constexpr auto call_timeout = std::chrono::milliseconds{1000};

mono_time now() { return std::chrono::steady_clock::now(); }

std::uint64_t unix_ms() {
    const auto time =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return static_cast<std::uint64_t>(std::max<std::int64_t>(to_unix_ms(time), 1));
}

}  // namespace

membership_manager::membership_manager(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      session_(io, context.settings.store),
      incarnation_(unix_ms()),
      calls_(context.counters.get("registration_calls_total", "Calls about the failure domain's directors")),
      failures_(context.counters.get("registration_failures_total", "Those without a usable answer")),
      rejoins_(context.counters.get("registration_restores_total",
                                    "Restores of the store after which a reader's entry was written again")),
      keys_written_back_(context.counters.get("fleet_keys_written_back_total",
                                              "Fleet keys written into a store that was restored")),
      unreadable_entries_(
          context.counters.get("reader_entries_unreadable_total", "Readers' entries that cannot be read")),
      peers_known_(
          context.counters.get("peers", "Other directors of the failure domain", "", counter_kind::gauge)) {}

void membership_manager::start() { run_due_step(); }

void membership_manager::set_reader(bool reads_store) {
    if (reads_store != is_reader(registration_)) {
        record_reader_role(registration_, reads_store, now());
        schedule_next_step();
    }
}

domain_member membership_manager::own_member() const {
    const auto& settings = context_.settings;
    return {.peer = {.observation_address = settings.peers,
                     .update_address = settings.news,
                     .admin_address = settings.admin,
                     .failure_domain = settings.failure_domain},
            .incarnation = incarnation_};
}

void membership_manager::add_member(const domain_member& member) {
    const bool own = member.peer.update_address == context_.settings.news;
    if (own || member.peer.failure_domain != context_.settings.failure_domain) {
        return;
    }
    if (record_introduction(member_table_, member, now())) {
        publish();
        schedule_next_step();
    }
}

void membership_manager::raise_incarnation(std::uint64_t expected) {
    if (const auto raised = next_incarnation(incarnation_, expected); raised != incarnation_) {
        log_event(log_level::info, "incarnation_raised", {{"incarnation", std::to_string(raised)}});
        incarnation_ = raised;
        publish();
    }
}

void membership_manager::on_store_restored(std::uint64_t era) {
    if (record_era(era_, era) == era_order::later) {
        rejoin();
    }
}

/// Starts the registration anew after a restore of the store.
void membership_manager::rejoin() {
    if (session_.is_busy()) {
        session_.cancel();
    }
    if (is_reader(registration_)) {
        rejoins_.add();
    }
    record_store_restore(registration_, now());
    schedule_next_step();
}

/// Returns whether an answer of the store is of its latest era. Otherwise the answer changes nothing, and the
/// next call is scheduled here.
bool membership_manager::takes_answer(const result<http_response>& response) {
    if (!response || response->status >= first_failure_status) {
        return true;
    }
    const auto stated_era = response_era(response);
    if (!stated_era) {
        on_call_failure(stated_era.error());
        return false;
    }
    switch (record_era(era_, *stated_era)) {
        case era_order::earlier:
            on_call_failure({.kind = error_kind::unavailable,
                             .message = "the answer is from before the store's last restore"});
            return false;
        case era_order::later:
            rejoin();
            return false;
        case era_order::same:
            break;
    }
    return true;
}

void membership_manager::on_authentication_failure() {
    // While two keys are accepted, a failure shows that another director uses a third one.
    own_key_.disputed = own_key_.disputed || keys_.keys.size() > 1;
    record_key_mismatch(registration_, now());
    schedule_next_step();
}

std::vector<domain_member> membership_manager::members() const {
    // The members introduce themselves repeatedly to readers, and only once to any other director. Without a
    // lease this director therefore keeps the members that were valid at its last read until it reads again.
    return live_members(member_table_, registration_.lease != 0 ? now() : entries_read_at_);
}

/// Schedules the next step. Does nothing while a call is in progress: its completion schedules the next step.
void membership_manager::schedule_next_step() {
    if (session_.is_busy()) {
        return;
    }
    timer_.expires_at(next_registration_step(registration_, digest_of(members())).at);
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            run_due_step();
        }
    });
}

void membership_manager::run_due_step() {
    const auto next = next_registration_step(registration_, digest_of(members()));
    if (now() < next.at) {
        schedule_next_step();
        return;
    }
    calls_.add();
    switch (next.step) {
        case registration_step::read_entries:
            return read_entries();
        case registration_step::start_lease:
            return start_lease();
        case registration_step::write_entry:
            return write_entry();
        case registration_step::renew_lease:
            return renew_lease();
    }
}

void membership_manager::read_entries() {
    // An entry that is missing from a cached response is in a later one. If a cached response lacks the fleet
    // key, the write that follows fails, because it requires that there is no key.
    const auto mode = registration_.needs_newest ? read_consistency::newest : read_consistency::cached;
    session_.get(page_target(directors_prefix(context_.settings.failure_domain), "", mode),
                 now() + call_timeout,
                 [this](const result<http_response>& response) { on_entries_read(response); });
}

void membership_manager::on_entries_read(const result<http_response>& response) {
    if (!takes_answer(response)) {
        return;
    }
    const auto page = decode_response(response, decode_page);
    if (!page) {
        on_call_failure(page.error());
        return;
    }
    entries_read_result reading;
    std::vector<reader_entry> entries;
    fleet_key_reading key{.era = era_of(page->store_revision)};
    replaced_key_revision_.reset();
    registered_readers_.clear();
    named_by_reader_ = false;
    for (const auto& item : page->items) {
        if (item.key == store_key_of_domain_key(context_.settings.failure_domain)) {
            key.stored = item.value;
            replaced_key_revision_ = item.revision;
        } else if (auto entry = decode_reader_entry(item.value)) {
            const bool own =
                item.key == store_key_of_reader(context_.settings.failure_domain, context_.settings.vm);
            reading.has_own_entry = reading.has_own_entry || own;
            reading.other_readers += own ? 0 : 1;
            if (!own) {
                registered_readers_.push_back(entry->reader.peer.update_address);
            }
            record_if_named_in(*entry);
            entries.push_back(*std::move(entry));
        } else {
            unreadable_entries_.add();
        }
    }
    auto choice = choose_fleet_key(own_key_, key);
    writes_own_key_back_ = choice.write_back;
    reading.has_key = key.stored && !choice.write_back;
    keys_.keys = std::move(choice.accepted);
    const auto time = now();
    (void)record_listed_members(member_table_, entries, context_.settings.news, registration_.lease != 0,
                                time);
    purge_expired_members(member_table_, time);
    entries_read_at_ = time;
    record_entries_read(registration_, reading, claim_delay(context_.settings.news), time);
    publish();
    schedule_next_step();
}

/// If a reader's entry names this director, records that, and raises this director's incarnation above a
/// higher one named there.
void membership_manager::record_if_named_in(const reader_entry& entry) {
    const auto check_member = [this](const domain_member& member) {
        if (member.peer.update_address == context_.settings.news) {
            named_by_reader_ = true;
            incarnation_ = next_incarnation(incarnation_, member.incarnation);
        }
    };
    check_member(entry.reader);
    std::ranges::for_each(entry.members, check_member);
}

void membership_manager::start_lease() {
    const auto call = start_lease_call(registration_lease_duration);
    session_.post(call.target, call.body, now() + call_timeout,
                  [this](const result<http_response>& response) {
                      if (!takes_answer(response)) {
                          return;
                      }
                      const auto lease = decode_response(response, decode_lease);
                      if (!lease) {
                          on_call_failure(lease.error());
                          return;
                      }
                      record_lease_start(registration_, *lease, now());
                      schedule_next_step();
                  });
}

void membership_manager::write_entry() {
    const auto& settings = context_.settings;
    const auto members_to_write = members();
    std::vector<store_put> puts{
        {.key = store_key_of_reader(settings.failure_domain, settings.vm),
         .value = encode_reader_entry({.reader = own_member(), .members = members_to_write}),
         .lease = registration_.lease}};
    const bool writes_key = registration_.key_missing;
    if (writes_key) {
        puts.push_back({.key = store_key_of_domain_key(settings.failure_domain),
                        .value = writes_own_key_back_ ? own_key_.key : generate_fleet_key(),
                        .only_if_absent = !replaced_key_revision_,
                        .expected_revision = replaced_key_revision_.value_or(0)});
    }
    const auto call = write_call(puts);
    session_.post(
        call.target, call.body, now() + call_timeout,
        [this, digest = digest_of(members_to_write), writes_key](const result<http_response>& response) {
            if (!takes_answer(response)) {
                return;
            }
            const auto revision = decode_response(response, decode_write);
            if (!revision) {
                on_call_failure(revision.error());
                return;
            }
            const bool writes_key_back = writes_key && writes_own_key_back_;
            if (writes_key_back) {
                own_key_.era = era_of(*revision);
                keys_written_back_.add();
            }
            record_entry_write(registration_, digest, now());
            log_event(log_level::info,
                      writes_key_back ? "registered_with_used_key"
                      : writes_key    ? "registered_with_new_key"
                                      : "registered",
                      {{"revision", std::to_string(*revision)}});
            schedule_next_step();
        });
}

void membership_manager::renew_lease() {
    const auto call = renew_lease_call(registration_.lease);
    session_.post(call.target, call.body, now() + call_timeout,
                  [this](const result<http_response>& response) {
                      if (!takes_answer(response)) {
                          return;
                      }
                      if (const auto body = response_body(response); !body) {
                          on_call_failure(body.error());
                          return;
                      }
                      record_lease_renewal(registration_, now());
                      schedule_next_step();
                  });
}

void membership_manager::on_call_failure(const error& failure) {
    failures_.add();
    if (failure.kind == error_kind::conflict) {
        record_key_conflict(registration_, now());
    } else if (failure.kind == error_kind::not_found) {
        log_event(log_level::warning, "registration_lost", {{"message", failure.message}});
        record_registration_loss(registration_, now());
        record_registration_failure(registration_, now());
    } else {
        record_registration_failure(registration_, now());
    }
    schedule_next_step();
}

void membership_manager::publish() {
    const auto known = members();
    peers_known_.set(known.size());
    if (keys_.keys.empty()) {
        return;
    }
    director_membership membership{.keys = keys_,
                                   .incarnation = incarnation_,
                                   .registered_readers = registered_readers_,
                                   .named_by_reader = named_by_reader_};
    std::ranges::transform(known, std::back_inserter(membership.peers), &domain_member::peer);
    context_.membership.set(std::make_shared<const director_membership>(std::move(membership)));
}

std::string membership_manager::generate_fleet_key() {
    std::string key;
    while (key.size() < fleet_key_bytes) {
        key.push_back(static_cast<char>(random_() & 0xffU));
    }
    return key;
}

}  // namespace guavaramp
