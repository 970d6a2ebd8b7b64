#include "roster_keeper.hpp"

#include "store_answer.hpp"

#include <guavaramp/platform_adapter/store_protocol.hpp>
#include <guavaramp/telemetry/log.hpp>

#include <chrono>

namespace guavaramp {
namespace {

using namespace platform_adapter;

constexpr std::size_t fleet_key_bytes = 32;
constexpr auto call_timeout = std::chrono::milliseconds{1000};

mono_time now() { return std::chrono::steady_clock::now(); }

std::string own_key(const director_settings& settings) { return std::string{director_prefix} + settings.vm; }

}  // namespace

roster_keeper::roster_keeper(asio::io_context& io, director_context& context)
    : context_(context),
      timer_(io),
      session_(io, context.settings.store),
      calls_(context.counters.get("registration_calls_total", "Calls that keep this director's entry")),
      failures_(context.counters.get("registration_failures_total", "Those without a usable answer")),
      peers_known_(
          context.counters.get("peers", "Other directors of the failure domain", "", counter_kind::gauge)) {}

void roster_keeper::start() { take_step(); }

void roster_keeper::wait_for_step() {
    timer_.expires_at(state_.next_at);
    timer_.async_wait([this](const std::error_code& failure) {
        if (!failure) {
            take_step();
        }
    });
}

void roster_keeper::take_step() {
    calls_.add();
    switch (state_.next) {
        case registration_step::read_fleet:
            return read_fleet();
        case registration_step::start_lease:
            return start_lease();
        case registration_step::write_entry:
            return write_entry();
        case registration_step::write_key:
            return write_key();
        case registration_step::renew_lease:
            return renew_lease();
    }
}

void roster_keeper::read_fleet() {
    // What is missing from a cached answer is in the next one; a fleet key that was missing makes the write
    // fail.
    const auto mode = state_.needs_newest ? read_mode::newest : read_mode::cached;
    session_.get(page_target(fleet_prefix, "", mode), now() + call_timeout,
                 [this](const result<http_response>& answer) { fleet_read(answer); });
}

void roster_keeper::fleet_read(const result<http_response>& answer) {
    const auto page = decode_answer(answer, decode_page);
    if (!page) {
        failed(page.error());
        return;
    }
    roster_.peers.clear();
    fleet_reading reading;
    for (const auto& item : page->items) {
        if (item.key == fleet_key_key) {
            roster_.keys.keys = {item.value};
            continue;
        }
        // Keys come in order.
        reading.has_own = reading.has_own || item.key == own_key(context_.settings);
        reading.entries_before_own += reading.has_own ? 0 : 1;
        const auto peer = decode_director_entry(item.value);
        if (peer && peer->failure_domain == context_.settings.failure_domain &&
            peer->address != context_.settings.peers) {
            roster_.peers.push_back(*peer);
        }
    }
    reading.has_key = !roster_.keys.keys.empty();
    note_fleet_read(state_, reading, now());
    publish();
    wait_for_step();
}

void roster_keeper::start_lease() {
    const auto call = start_lease_call(registration_lease);
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        const auto lease = decode_answer(answer, decode_lease);
        if (!lease) {
            failed(lease.error());
            return;
        }
        note_lease_started(state_, *lease, now());
        wait_for_step();
    });
}

void roster_keeper::write_entry() {
    const director_peer self{.address = context_.settings.peers,
                             .news = context_.settings.news,
                             .admin = context_.settings.admin,
                             .failure_domain = context_.settings.failure_domain};
    const auto call = write_call(
        {{.key = own_key(context_.settings), .value = encode_director_entry(self), .lease = state_.lease}});
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        const auto revision = decode_answer(answer, decode_write);
        if (!revision) {
            failed(revision.error());
            return;
        }
        note_entry_written(state_, *revision, now());
        log_event(log_level::info, "registered", {{"incarnation", std::to_string(*revision)}});
        publish();
        wait_for_step();
    });
}

void roster_keeper::write_key() {
    const auto call =
        write_call({{.key = std::string{fleet_key_key}, .value = make_fleet_key(), .only_if_absent = true}});
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        const auto revision = decode_answer(answer, decode_write);
        if (!revision) {
            failed(revision.error());
            return;
        }
        note_key_written(state_, now());
        log_event(log_level::info, "fleet_key_written", {{"revision", std::to_string(*revision)}});
        wait_for_step();
    });
}

void roster_keeper::renew_lease() {
    const auto call = renew_lease_call(state_.lease);
    session_.post(call.target, call.body, now() + call_timeout, [this](const result<http_response>& answer) {
        if (const auto body = body_of(answer); !body) {
            failed(body.error());
            return;
        }
        note_lease_renewed(state_, now());
        wait_for_step();
    });
}

void roster_keeper::failed(const error& failure) {
    failures_.add();
    if (failure.kind == error_kind::conflict) {
        note_key_conflict(state_, now());
    } else if (failure.kind == error_kind::not_found) {
        log_event(log_level::warning, "registration_lost", {{"message", failure.message}});
        note_registration_lost(state_, now() + registration_retry_wait);
    } else {
        note_registration_failure(state_, now());
    }
    wait_for_step();
}

void roster_keeper::publish() {
    roster_.incarnation = state_.incarnation;
    peers_known_.set(roster_.peers.size());
    const bool complete = roster_.incarnation != 0 && !roster_.keys.keys.empty();
    if (complete) {
        context_.roster.set(std::make_shared<const fleet_roster>(roster_));
    }
}

std::string roster_keeper::make_fleet_key() {
    std::string key;
    while (key.size() < fleet_key_bytes) {
        key.push_back(static_cast<char>(random_() & 0xffU));
    }
    return key;
}

}  // namespace guavaramp
