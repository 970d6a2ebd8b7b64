#include "roster_keeper.hpp"

#include "store_answer.hpp"

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

roster_keeper::roster_keeper(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      session_(io, context.settings.store),
      incarnation_(unix_ms()),
      calls_(context.counters.get("registration_calls_total", "Calls about the failure domain's directors")),
      failures_(context.counters.get("registration_failures_total", "Those without a usable answer")),
      unreadable_(
          context.counters.get("reader_entries_unreadable_total", "Readers' entries that cannot be read")),
      peers_known_(
          context.counters.get("peers", "Other directors of the failure domain", "", counter_kind::gauge)) {}

void roster_keeper::start() { take_step(); }

void roster_keeper::set_reader(bool reads) {
    if (reads != is_reader(state_)) {
        record_reader_role(state_, reads, now());
        schedule();
    }
}

domain_member roster_keeper::self() const {
    const auto& settings = context_.settings;
    return {.peer = {.observation_address = settings.peers,
                     .update_address = settings.news,
                     .admin_address = settings.admin,
                     .failure_domain = settings.failure_domain},
            .incarnation = incarnation_};
}

void roster_keeper::add_member(const domain_member& member) {
    const bool own = member.peer.update_address == context_.settings.news;
    if (own || member.peer.failure_domain != context_.settings.failure_domain) {
        return;
    }
    if (record_introduction(table_, member, now())) {
        publish();
        schedule();
    }
}

void roster_keeper::raise_incarnation(std::uint64_t expected) {
    if (const auto raised = next_incarnation(incarnation_, expected); raised != incarnation_) {
        log_event(log_level::info, "incarnation_raised", {{"incarnation", std::to_string(raised)}});
        incarnation_ = raised;
        publish();
    }
}

void roster_keeper::doubt_key() {
    record_key_mismatch(state_, now());
    schedule();
}

std::vector<domain_member> roster_keeper::members() const {
    // To all but readers the members introduce themselves only once, so that those of the last reading stand
    // until there is another one.
    return live_members(table_, state_.lease != 0 ? now() : fleet_read_at_);
}

/// Waits for the next step. While a call is in progress its end does that.
void roster_keeper::schedule() {
    if (session_.is_busy()) {
        return;
    }
    timer_.expires_at(next_registration_step(state_, digest_of(members())).at);
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            take_step();
        }
    });
}

void roster_keeper::take_step() {
    const auto next = next_registration_step(state_, digest_of(members()));
    if (now() < next.at) {
        schedule();
        return;
    }
    calls_.add();
    switch (next.step) {
        case registration_step::read_fleet:
            return read_fleet();
        case registration_step::start_lease:
            return start_lease();
        case registration_step::write_entry:
            return write_entry();
        case registration_step::renew_lease:
            return renew_lease();
    }
}

void roster_keeper::read_fleet() {
    // What is missing from a cached answer is in the next one; a fleet key that was missing makes the write
    // fail.
    const auto mode = state_.needs_newest ? read_consistency::newest : read_consistency::cached;
    session_.get(page_target(directors_prefix(context_.settings.failure_domain), "", mode),
                 now() + call_timeout, [this](const result<http_response>& answer) { fleet_read(answer); });
}

void roster_keeper::fleet_read(const result<http_response>& answer) {
    const auto page = decode_answer(answer, decode_page);
    if (!page) {
        failed(page.error());
        return;
    }
    fleet_read_result reading;
    std::vector<reader_entry> entries;
    readers_.clear();
    listed_ = false;
    for (const auto& item : page->items) {
        if (item.key == domain_signing_key_store_key(context_.settings.failure_domain)) {
            keys_.keys = {item.value};
            reading.has_key = true;
        } else if (auto entry = decode_reader_entry(item.value)) {
            const bool own = item.key == reader_key(context_.settings.failure_domain, context_.settings.vm);
            reading.has_own_entry = reading.has_own_entry || own;
            reading.other_readers += own ? 0 : 1;
            if (!own) {
                readers_.push_back(entry->reader.peer.update_address);
            }
            find_self_in(*entry);
            entries.push_back(*std::move(entry));
        } else {
            unreadable_.add();
        }
    }
    const auto time = now();
    (void)record_listed_members(table_, entries, context_.settings.news, state_.lease != 0, time);
    purge_expired_members(table_, time);
    fleet_read_at_ = time;
    record_fleet_read(state_, reading, claim_delay(context_.settings.news), time);
    publish();
    schedule();
}

/// Learns from a reader's entry what it says of this director.
void roster_keeper::find_self_in(const reader_entry& entry) {
    const auto look_at = [this](const domain_member& member) {
        if (member.peer.update_address == context_.settings.news) {
            listed_ = true;
            incarnation_ = next_incarnation(incarnation_, member.incarnation);
        }
    };
    look_at(entry.reader);
    std::ranges::for_each(entry.members, look_at);
}

void roster_keeper::start_lease() {
    const auto call = start_lease_call(registration_lease_duration);
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        const auto lease = decode_answer(answer, decode_lease);
        if (!lease) {
            failed(lease.error());
            return;
        }
        record_lease_start(state_, *lease, now());
        schedule();
    });
}

void roster_keeper::write_entry() {
    const auto& settings = context_.settings;
    const auto named = members();
    std::vector<store_put> puts{{.key = reader_key(settings.failure_domain, settings.vm),
                                 .value = encode_reader_entry({.reader = self(), .members = named}),
                                 .lease = state_.lease}};
    const bool writes_key = state_.key_missing;
    if (writes_key) {
        puts.push_back({.key = domain_signing_key_store_key(settings.failure_domain),
                        .value = make_fleet_key(),
                        .only_if_absent = true});
    }
    const auto call = write_call(puts);
    session_.post(call.target, call.body, now() + call_timeout,
                  [this, digest = digest_of(named), writes_key](const result<http_response>& answer) {
                      const auto revision = decode_answer(answer, decode_write);
                      if (!revision) {
                          failed(revision.error());
                          return;
                      }
                      record_entry_write(state_, digest, now());
                      log_event(log_level::info, writes_key ? "registered_with_new_key" : "registered",
                                {{"revision", std::to_string(*revision)}});
                      schedule();
                  });
}

void roster_keeper::renew_lease() {
    const auto call = renew_lease_call(state_.lease);
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        if (const auto body = body_of(answer); !body) {
            failed(body.error());
            return;
        }
        record_lease_renewal(state_, now());
        schedule();
    });
}

void roster_keeper::failed(const error& failure) {
    failures_.add();
    if (failure.kind == error_kind::conflict) {
        record_key_conflict(state_, now());
    } else if (failure.kind == error_kind::not_found) {
        log_event(log_level::warning, "registration_lost", {{"message", failure.message}});
        record_registration_loss(state_, now());
        record_registration_failure(state_, now());
    } else {
        record_registration_failure(state_, now());
    }
    schedule();
}

void roster_keeper::publish() {
    const auto known = members();
    peers_known_.set(known.size());
    if (keys_.keys.empty()) {
        return;
    }
    fleet_roster roster{.keys = keys_, .incarnation = incarnation_, .readers = readers_, .listed = listed_};
    std::ranges::transform(known, std::back_inserter(roster.peers), &domain_member::peer);
    context_.roster.set(std::make_shared<const fleet_roster>(std::move(roster)));
}

std::string roster_keeper::make_fleet_key() {
    std::string key;
    while (key.size() < fleet_key_bytes) {
        key.push_back(static_cast<char>(random_() & 0xffU));
    }
    return key;
}

}  // namespace guavaramp
