#include "director_fixture.hpp"

#include <guavaramp/director/registration.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

registration registered(std::int64_t now_ms) {
    registration state;
    note_fleet_read(state, {.has_key = true, .has_own = true}, at_ms(now_ms));
    note_lease_started(state, 5, at_ms(now_ms));
    note_entry_written(state, 77, at_ms(now_ms));
    note_fleet_read(state, {.has_key = true, .has_own = true}, at_ms(now_ms));
    return state;
}

TEST_CASE("RegistrationTest.AStartReadsTheFleetStartsALeaseAndWritesTheEntry") {
    registration state;
    CHECK(state.next == registration_step::read_fleet);
    note_fleet_read(state, {}, at_ms(0));
    CHECK(state.next == registration_step::start_lease);
    note_lease_started(state, 5, at_ms(4));
    CHECK(state.next == registration_step::write_entry);
    note_entry_written(state, 77, at_ms(8));
    CHECK(state.incarnation == 77);
    CHECK(state.next == registration_step::read_fleet);
}

TEST_CASE("RegistrationTest.AHeldLeaseIsRenewedAndTheFleetReadAgainEachPeriod") {
    auto state = registered(0);
    CHECK(state.next == registration_step::renew_lease);
    CHECK(state.next_at == at_ms(0) + registration_period);
    note_lease_renewed(state, at_ms(10'000));
    CHECK(state.next == registration_step::read_fleet);
    CHECK(2 * registration_period < registration_lease);
}

TEST_CASE("RegistrationTest.ADirectorWhoseKeyCameSecondReadsTheFirstAndKeepsItsLease") {
    registration state;
    note_fleet_read(state, {}, at_ms(0));
    note_lease_started(state, 5, at_ms(4));
    note_key_conflict(state, at_ms(8));
    CHECK(state.next == registration_step::read_fleet);
    note_fleet_read(state, {.has_key = true}, at_ms(12));
    CHECK(state.next == registration_step::write_entry);
    CHECK(state.lease == 5);
}

// Guards against a director that stays unknown to the others after the platform has taken its lease away.
TEST_CASE("RegistrationTest.ALostLeaseBeginsTheRegistrationAnewWithANewIncarnation") {
    auto state = registered(0);
    note_registration_lost(state, at_ms(10));
    CHECK(state.next == registration_step::read_fleet);
    CHECK(state.incarnation == 0);
    note_fleet_read(state, {.has_key = true}, at_ms(11));
    CHECK(state.next == registration_step::start_lease);
}

// Guards against a director that the platform has removed without ending its lease.
TEST_CASE("RegistrationTest.AnEntryThatIsMissingTwiceIsWrittenAgainUnderANewLease") {
    auto state = registered(0);
    note_fleet_read(state, {.has_key = true}, at_ms(10'000));
    CHECK(state.next == registration_step::renew_lease);
    note_fleet_read(state, {.has_key = true}, at_ms(20'000));
    CHECK(state.lease == 0);
    CHECK(state.next == registration_step::read_fleet);
}

// Guards against registering again and again while cached answers are older than the entry.
TEST_CASE("RegistrationTest.ReadingsSoonAfterTheEntryWasWrittenDoNotShowThatItIsGone") {
    auto state = registered(0);
    for (std::int64_t ms = 300; ms < 9000; ms += 300) {
        note_fleet_read(state, {.has_key = true}, at_ms(ms));
    }
    CHECK(state.lease == 5);
    CHECK(state.incarnation == 77);
}

// Guards against a fleet that starts with as many refused writes of its key as it has directors.
TEST_CASE("RegistrationTest.OnlyTheFirstDirectorsWriteTheFleetsKeyAndMoreOfThemWhenNoneComes") {
    const auto start = [](std::uint32_t entries_before_own, std::uint32_t readings) {
        registration state;
        note_fleet_read(state, {}, at_ms(0));
        note_lease_started(state, 5, at_ms(4));
        note_entry_written(state, 77, at_ms(8));
        for (std::uint32_t reading = 0; reading < readings; ++reading) {
            note_fleet_read(state, {.has_own = true, .entries_before_own = entries_before_own},
                            at_ms(308 + 300 * std::int64_t{reading}));
        }
        return state;
    };
    CHECK(start(0, 1).next == registration_step::write_key);
    const auto last = start(20, 1);
    CHECK(last.next == registration_step::read_fleet);
    CHECK(last.next_at == at_ms(308) + fleet_key_wait);
    CHECK(start(20, 10).next == registration_step::write_key);
}

// Guards against a cached reading that does not show the key which was just written.
TEST_CASE("RegistrationTest.AfterItsKeyWasWrittenOrRefusedADirectorReadsTheNewestState") {
    registration state;
    note_fleet_read(state, {}, at_ms(0));
    CHECK_FALSE(state.needs_newest);
    note_key_written(state, at_ms(10));
    CHECK(state.next == registration_step::read_fleet);
    CHECK(state.needs_newest);
    note_fleet_read(state, {.has_key = true}, at_ms(14));
    CHECK_FALSE(state.needs_newest);
    note_key_conflict(state, at_ms(20));
    CHECK(state.needs_newest);
}

TEST_CASE("RegistrationTest.AFailedStepIsRepeatedAfterAWait") {
    auto state = registered(0);
    note_registration_failure(state, at_ms(3000));
    CHECK(state.next == registration_step::renew_lease);
    CHECK(state.next_at == at_ms(3000) + registration_retry_wait);
}

}  // namespace
}  // namespace guavaramp
