#include <guavaramp/director/registration.hpp>

namespace guavaramp {
namespace {

void go_to(registration& state, registration_step next, mono_time at) noexcept {
    state.next = next;
    state.next_at = at;
}

}  // namespace

void note_fleet_read(registration& state, const fleet_reading& reading, mono_time now) noexcept {
    state.needs_newest = false;
    state.reads_without_key = reading.has_key ? 0 : state.reads_without_key + 1;
    const bool shows_own = state.incarnation != 0 && now >= state.entry_written_at + registration_period;
    state.reads_without_own = reading.has_own || !shows_own ? 0 : state.reads_without_own + 1;
    if (state.reads_without_own >= reads_that_show_loss) {
        note_registration_lost(state, now);
        return;
    }
    if (state.lease == 0) {
        go_to(state, registration_step::start_lease, now);
    } else if (state.incarnation == 0) {
        go_to(state, registration_step::write_entry, now);
    } else if (reading.has_key) {
        go_to(state, registration_step::renew_lease, now + registration_period);
    } else if (reading.has_own && reading.entries_before_own < key_writers * state.reads_without_key) {
        go_to(state, registration_step::write_key, now);
    } else {
        go_to(state, registration_step::read_fleet, now + fleet_key_wait);
    }
}

void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept {
    state.lease = lease;
    go_to(state, registration_step::write_entry, now);
}

void note_entry_written(registration& state, std::uint64_t revision, mono_time now) noexcept {
    state.incarnation = revision;
    state.entry_written_at = now;
    // Others that started at the same time have written theirs a moment later.
    const bool key_missing = state.reads_without_key > 0;
    go_to(state, registration_step::read_fleet,
          now + (key_missing ? fleet_key_wait : registration_retry_wait));
}

void note_key_written(registration& state, mono_time now) noexcept {
    state.needs_newest = true;
    go_to(state, registration_step::read_fleet, now);
}

void note_lease_renewed(registration& state, mono_time now) noexcept {
    go_to(state, registration_step::read_fleet, now);
}

void note_key_conflict(registration& state, mono_time now) noexcept {
    state.needs_newest = true;
    go_to(state, registration_step::read_fleet, now);
}

void note_registration_lost(registration& state, mono_time now) noexcept {
    state.lease = 0;
    state.incarnation = 0;
    state.reads_without_own = 0;
    state.reads_without_key = 0;
    go_to(state, registration_step::read_fleet, now);
}

void note_registration_failure(registration& state, mono_time now) noexcept {
    go_to(state, state.next, now + registration_retry_wait);
}

}  // namespace guavaramp
