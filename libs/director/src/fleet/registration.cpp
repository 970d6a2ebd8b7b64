#include <guavaramp/director/registration.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

/// Returns when this director may start the lease of its entry; `mono_time::max()` if it is no reader or has
/// not read the fleet yet.
mono_time registration_start_at(const registration& state) noexcept {
    if (!is_reader(state) || !state.was_read) {
        return mono_time::max();
    }
    if (state.rejoins_at_once) {
        return mono_time{};
    }
    const bool lacks_reader_or_key = state.claim_at != mono_time::max();
    return lacks_reader_or_key ? state.claim_at : state.reader_since + reader_settling_time;
}

}  // namespace

bool is_reader(const registration& state) noexcept { return state.reader_since != mono_time::max(); }

due_registration_step next_registration_step(const registration& state,
                                             std::uint64_t members_digest) noexcept {
    due_registration_step next{.step = registration_step::read_entries, .at = state.read_at};
    const auto take_if_earlier = [&next](registration_step step, mono_time at) {
        if (at < next.at) {
            next = {.step = step, .at = at};
        }
    };
    if (state.lease == 0) {
        take_if_earlier(registration_step::start_lease, registration_start_at(state));
    } else {
        const bool needs_write =
            !state.has_entry || state.key_missing || state.written_members_digest != members_digest;
        if (needs_write) {
            take_if_earlier(registration_step::write_entry, state.write_at);
        }
        take_if_earlier(registration_step::renew_lease, state.renew_at);
    }
    next.at = std::max(next.at, state.retry_at);
    return next;
}

void record_reader_role(registration& state, bool is_reader_now, mono_time now) noexcept {
    if (!is_reader_now) {
        state.reader_since = mono_time::max();
        state.lease = 0;
        state.has_entry = false;
        state.rejoins_at_once = false;
    } else if (!is_reader(state)) {
        state.reader_since = now;
    }
}

void record_entries_read(registration& state, const entries_read_result& read,
                         std::chrono::milliseconds claim_delay, mono_time now) noexcept {
    state.was_read = true;
    state.needs_newest = false;
    state.key_missing = !read.has_key;
    const bool should_show_own_entry = state.has_entry && now >= state.entry_written_at + registration_period;
    state.reads_without_own_entry =
        read.has_own_entry || !should_show_own_entry ? 0 : state.reads_without_own_entry + 1;
    if (state.reads_without_own_entry >= reads_that_show_entry_loss) {
        record_registration_loss(state, now);
        return;
    }
    const bool lacks_reader_or_key = !read.has_key || (read.other_readers == 0 && !read.has_own_entry);
    if (!lacks_reader_or_key) {
        state.claim_at = mono_time::max();
        state.read_at = now + registration_period;
        return;
    }
    if (state.claim_at == mono_time::max()) {
        state.claim_at = now + claim_delay;
        state.read_at = state.claim_at;
        return;
    }
    state.read_at = now + registration_retry_wait;
}

void record_lease_start(registration& state, std::uint64_t lease, mono_time now) noexcept {
    if (!is_reader(state)) {
        return;  // the lease that is not needed any more ends by itself
    }
    state.lease = lease;
    state.has_entry = false;
    state.write_at = now;
    state.renew_at = now + registration_period;
}

void record_entry_write(registration& state, std::uint64_t members_digest, mono_time now) noexcept {
    state.has_entry = state.lease != 0;
    state.rejoins_at_once = false;
    state.key_missing = false;
    state.written_members_digest = members_digest;
    state.entry_written_at = now;
    state.write_at = now + min_entry_write_period;
    // Other directors may have registered at the same time; a read shows their entries.
    state.read_at = std::min(state.read_at, now + registration_retry_wait);
}

void record_lease_renewal(registration& state, mono_time now) noexcept {
    state.renew_at = now + registration_period;
}

void record_key_conflict(registration& state, mono_time now) noexcept {
    state.needs_newest = true;
    state.key_missing = false;
    state.read_at = now;
}

void record_key_mismatch(registration& state, mono_time now) noexcept {
    if (state.was_read && now >= state.key_checked_at + min_key_check_period) {
        state.key_checked_at = now;
        state.needs_newest = true;
        state.read_at = std::min(state.read_at, now);
    }
}

void record_registration_loss(registration& state, mono_time now) noexcept {
    state.lease = 0;
    state.has_entry = false;
    state.reads_without_own_entry = 0;
    state.read_at = now;
}

void record_store_restore(registration& state, mono_time now) noexcept {
    if (!is_reader(state)) {
        return;
    }
    state.rejoins_at_once = state.rejoins_at_once || state.has_entry;
    state.lease = 0;
    state.has_entry = false;
    state.reads_without_own_entry = 0;
    state.needs_newest = true;
    state.read_at = now;
    state.retry_at = now;
}

void record_registration_failure(registration& state, mono_time now) noexcept {
    state.retry_at = now + registration_retry_wait;
}

}  // namespace guavaramp
