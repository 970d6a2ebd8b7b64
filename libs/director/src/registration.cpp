#include <guavaramp/director/registration.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// From when on this director may have an entry.
mono_time registers_at(const registration& state) noexcept {
    if (!is_reader(state) || !state.was_read) {
        return mono_time::max();
    }
    const bool alone = state.claims_at != mono_time::max();
    return alone ? state.claims_at : state.reader_since + reader_settling_time;
}

}  // namespace

bool is_reader(const registration& state) noexcept { return state.reader_since != mono_time::max(); }

due_step next_step(const registration& state, std::uint64_t members) noexcept {
    due_step next{.step = registration_step::read_fleet, .at = state.read_at};
    const auto consider = [&next](registration_step step, mono_time at) {
        if (at < next.at) {
            next = {.step = step, .at = at};
        }
    };
    if (state.lease == 0) {
        consider(registration_step::start_lease, registers_at(state));
    } else {
        const bool outdated = !state.has_entry || state.key_missing || state.written_members != members;
        if (outdated) {
            consider(registration_step::write_entry, state.write_at);
        }
        consider(registration_step::renew_lease, state.renew_at);
    }
    next.at = std::max(next.at, state.retry_at);
    return next;
}

void note_reader(registration& state, bool reads, mono_time now) noexcept {
    if (!reads) {
        state.reader_since = mono_time::max();
        state.lease = 0;
        state.has_entry = false;
    } else if (!is_reader(state)) {
        state.reader_since = now;
    }
}

void note_fleet_read(registration& state, const fleet_reading& reading, std::chrono::milliseconds claim_delay,
                     mono_time now) noexcept {
    state.was_read = true;
    state.needs_newest = false;
    state.key_missing = !reading.has_key;
    const bool shows_own = state.has_entry && now >= state.entry_written_at + registration_period;
    state.reads_without_own = reading.has_own || !shows_own ? 0 : state.reads_without_own + 1;
    if (state.reads_without_own >= reads_that_show_loss) {
        note_registration_lost(state, now);
        return;
    }
    const bool alone = !reading.has_key || (reading.readers == 0 && !reading.has_own);
    if (!alone) {
        state.claims_at = mono_time::max();
        state.read_at = now + registration_period;
        return;
    }
    if (state.claims_at == mono_time::max()) {
        state.claims_at = now + claim_delay;
        state.read_at = state.claims_at;
        return;
    }
    state.read_at = now + registration_retry_wait;
}

void note_lease_started(registration& state, std::uint64_t lease, mono_time now) noexcept {
    if (!is_reader(state)) {
        return;  // it ends by itself
    }
    state.lease = lease;
    state.has_entry = false;
    state.write_at = now;
    state.renew_at = now + registration_period;
}

void note_entry_written(registration& state, std::uint64_t members, mono_time now) noexcept {
    state.has_entry = state.lease != 0;
    state.key_missing = false;
    state.written_members = members;
    state.entry_written_at = now;
    state.write_at = now + entry_write_period;
    // Others may have registered at the same time.
    state.read_at = std::min(state.read_at, now + registration_retry_wait);
}

void note_lease_renewed(registration& state, mono_time now) noexcept {
    state.renew_at = now + registration_period;
}

void note_key_conflict(registration& state, mono_time now) noexcept {
    state.needs_newest = true;
    state.key_missing = false;
    state.read_at = now;
}

void note_key_doubted(registration& state, mono_time now) noexcept {
    if (state.was_read && now >= state.key_checked_at + least_key_check_period) {
        state.key_checked_at = now;
        state.needs_newest = true;
        state.read_at = std::min(state.read_at, now);
    }
}

void note_registration_lost(registration& state, mono_time now) noexcept {
    state.lease = 0;
    state.has_entry = false;
    state.reads_without_own = 0;
    state.read_at = now;
}

void note_registration_failure(registration& state, mono_time now) noexcept {
    state.retry_at = now + registration_retry_wait;
}

}  // namespace guavaramp
