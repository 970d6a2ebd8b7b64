#include <guavaramp/director/registration.hpp>

namespace guavaramp {
namespace {

void go_to(registration& state, registration_step next, mono_time at) noexcept {
    state.next = next;
    state.next_at = at;
    state.in_progress = false;
}

}  // namespace

void note_fleet_read(registration& state, const fleet_reading& reading, mono_time now) noexcept {
    state.fleet_key_known = reading.has_key;
    state.reads_without_own = reading.has_own || state.incarnation == 0 ? 0 : state.reads_without_own + 1;
    if (state.reads_without_own >= reads_that_show_loss) {
        note_registration_lost(state, now);
        return;
    }
    if (state.lease == 0) {
        go_to(state, registration_step::start_lease, now);
    } else if (state.incarnation == 0) {
        go_to(state, registration_step::write_entry, now);
    } else {
        go_to(state, registration_step::renew_lease, now + registration_period);
    }
}

void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept {
    state.lease = lease;
    go_to(state, registration_step::write_entry, now);
}

void note_entry_written(registration& state, std::uint64_t revision, mono_time now) noexcept {
    state.incarnation = revision;
    // Others that started at the same time have written theirs a moment later.
    go_to(state, registration_step::read_fleet, now + registration_retry_wait);
}

void note_lease_renewed(registration& state, mono_time now) noexcept {
    go_to(state, registration_step::read_fleet, now);
}

void note_key_conflict(registration& state, mono_time now) noexcept {
    go_to(state, registration_step::read_fleet, now);
}

void note_registration_lost(registration& state, mono_time now) noexcept {
    state.lease = 0;
    state.incarnation = 0;
    state.reads_without_own = 0;
    go_to(state, registration_step::read_fleet, now);
}

void note_registration_failure(registration& state, mono_time now) noexcept {
    go_to(state, state.next, now + registration_retry_wait);
}

}  // namespace guavaramp
