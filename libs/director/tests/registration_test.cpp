#include "director_fixture.hpp"

#include <guavaramp/director/registration.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

constexpr milliseconds claim{700};
constexpr std::uint64_t members = 17;

fleet_reading normal_reading() { return {.has_key = true, .has_own = false, .readers = 2}; }

/// A reader with an entry that names `members`, written at `now_ms`.
registration registered(std::int64_t now_ms) {
    registration state;
    note_reader(state, true, at_ms(now_ms));
    note_fleet_read(state, {.has_key = true, .has_own = true, .readers = 1}, claim, at_ms(now_ms));
    note_lease_started(state, 5, at_ms(now_ms));
    note_entry_written(state, members, at_ms(now_ms));
    note_fleet_read(state, {.has_key = true, .has_own = true, .readers = 1}, claim, at_ms(now_ms));
    return state;
}

// Load pattern: hundreds of directors start. Guards against two dear calls for each of them.
TEST_CASE("RegistrationTest.ADirectorThatIsNoReaderOnlyReads") {
    registration state;
    CHECK(next_step(state, members).step == registration_step::read_fleet);
    note_fleet_read(state, normal_reading(), claim, at_ms(4));
    for (int reading = 1; reading <= 5; ++reading) {
        const auto next = next_step(state, members);
        CHECK(next == due_step{.step = registration_step::read_fleet,
                               .at = at_ms(4) + reading * registration_period});
        note_fleet_read(state, normal_reading(), claim, next.at);
    }
}

TEST_CASE("RegistrationTest.AReaderRegistersOnceItHasBeenOneForAWhile") {
    registration state;
    note_fleet_read(state, normal_reading(), claim, at_ms(0));
    note_reader(state, true, at_ms(1000));
    CHECK(next_step(state, members) ==
          due_step{.step = registration_step::start_lease, .at = at_ms(1000) + reader_settling_time});
    note_lease_started(state, 5, at_ms(3000));
    CHECK(next_step(state, members).step == registration_step::write_entry);
    note_entry_written(state, members, at_ms(3010));
    CHECK(next_step(state, members).step == registration_step::read_fleet);
}

// Guards against a lease for each director that stands in for a reader for a moment.
TEST_CASE("RegistrationTest.ADirectorThatSoonStopsBeingAReaderWritesNothing") {
    registration state;
    note_fleet_read(state, normal_reading(), claim, at_ms(0));
    note_reader(state, true, at_ms(1000));
    note_reader(state, false, at_ms(1800));
    CHECK(next_step(state, members).step == registration_step::read_fleet);
}

// Load pattern: the first start of a fleet. Guards against as many entries as there are directors.
TEST_CASE("RegistrationTest.WithoutReadersADirectorClaimsThePlaceAfterItsDelayAndAnotherReading") {
    registration state;
    note_reader(state, true, at_ms(0));
    note_fleet_read(state, {}, claim, at_ms(10));
    CHECK(next_step(state, members) ==
          due_step{.step = registration_step::read_fleet, .at = at_ms(10) + claim});
    auto late = state;
    note_fleet_read(state, {}, claim, at_ms(710));
    CHECK(next_step(state, members).step == registration_step::start_lease);
    CHECK(next_step(state, members).at <= at_ms(710));
    note_fleet_read(late, normal_reading(), claim, at_ms(710));
    CHECK(next_step(late, members).at >= at_ms(2000));
}

TEST_CASE("RegistrationTest.AHeldLeaseIsRenewedInTime") {
    auto state = registered(0);
    note_fleet_read(state, {.has_key = true, .has_own = true, .readers = 1}, claim, at_ms(9000));
    CHECK(next_step(state, members) ==
          due_step{.step = registration_step::renew_lease, .at = at_ms(0) + registration_period});
    note_lease_renewed(state, at_ms(10'000));
    CHECK(state.renew_at == at_ms(10'000) + registration_period);
    CHECK(2 * registration_period < registration_lease);
}

// Load pattern: a fifth of the fleet is added at once. Guards against a write for each of its directors.
TEST_CASE("RegistrationTest.ChangesOfTheMembersAreWrittenTogether") {
    auto state = registered(0);
    std::size_t writes = 0;
    for (std::int64_t now_ms = 0; now_ms < 6000; now_ms += 100) {
        const auto named = static_cast<std::uint64_t>(now_ms);
        const auto next = next_step(state, named);
        if (next.step == registration_step::write_entry && next.at <= at_ms(now_ms)) {
            ++writes;
            note_entry_written(state, named, at_ms(now_ms));
        }
    }
    CHECK(writes <= 3);
}

TEST_CASE("RegistrationTest.ADirectorWhoseKeyCameSecondReadsTheFirstAndKeepsItsLease") {
    registration state;
    note_reader(state, true, at_ms(0));
    note_fleet_read(state, {}, claim, at_ms(0));
    note_fleet_read(state, {}, claim, at_ms(700));
    note_lease_started(state, 5, at_ms(704));
    CHECK(state.key_missing);
    note_key_conflict(state, at_ms(708));
    CHECK(state.needs_newest);
    CHECK(state.read_at == at_ms(708));
    note_fleet_read(state, {.has_key = true, .readers = 1}, claim, at_ms(712));
    CHECK_FALSE(state.needs_newest);
    CHECK(next_step(state, members).step == registration_step::write_entry);
    CHECK(state.lease == 5);
}

// Guards against a reader that stays unknown to the others after the platform has taken its lease away.
TEST_CASE("RegistrationTest.ALostLeaseBeginsTheRegistrationAnew") {
    auto state = registered(0);
    note_registration_lost(state, at_ms(5000));
    CHECK(next_step(state, members).at <= at_ms(5000));
    note_fleet_read(state, normal_reading(), claim, at_ms(5004));
    CHECK(next_step(state, members).step == registration_step::start_lease);
}

// Guards against a reader that the platform has removed without ending its lease.
TEST_CASE("RegistrationTest.AnEntryThatIsMissingTwiceIsWrittenAgainUnderANewLease") {
    auto state = registered(0);
    note_fleet_read(state, normal_reading(), claim, at_ms(10'000));
    CHECK(state.lease == 5);
    note_fleet_read(state, normal_reading(), claim, at_ms(20'000));
    CHECK(state.lease == 0);
}

// Guards against registering again and again while cached answers are older than the entry.
TEST_CASE("RegistrationTest.ReadingsSoonAfterTheEntryWasWrittenDoNotShowThatItIsGone") {
    auto state = registered(0);
    for (std::int64_t ms = 300; ms < 9000; ms += 300) {
        note_fleet_read(state, normal_reading(), claim, at_ms(ms));
    }
    CHECK(state.lease == 5);
}

// Guards against an entry under a lease that started after the director had stopped being a reader.
TEST_CASE("RegistrationTest.ALeaseThatStartsTooLateIsLeftToEnd") {
    registration state;
    note_fleet_read(state, normal_reading(), claim, at_ms(0));
    note_reader(state, true, at_ms(0));
    note_reader(state, false, at_ms(2001));
    note_lease_started(state, 5, at_ms(2004));
    CHECK(state.lease == 0);
    CHECK(next_step(state, members).step == registration_step::read_fleet);
}

// Guards against a key that was withdrawn and that nobody replaces.
TEST_CASE("RegistrationTest.AReaderThatFindsNoKeyWritesANewOne") {
    auto state = registered(0);
    note_fleet_read(state, {.has_key = false, .has_own = true, .readers = 1}, claim, at_ms(10'000));
    const auto next = next_step(state, members);
    CHECK(next.step == registration_step::write_entry);
    CHECK(state.key_missing);
}

// Guards against a director that starts from a cached answer with a key that was withdrawn, and stays with
// it; and against forged messages that make it press the store.
TEST_CASE("RegistrationTest.AMessageThatDoesNotFitTheKeyLeadsToOneReadingOfTheNewestState") {
    registration state;
    note_key_doubted(state, at_ms(0));
    CHECK_FALSE(state.needs_newest);
    note_fleet_read(state, normal_reading(), claim, at_ms(4));
    note_key_doubted(state, at_ms(6000));
    CHECK(next_step(state, members) == due_step{.step = registration_step::read_fleet, .at = at_ms(6000)});
    CHECK(state.needs_newest);
    note_fleet_read(state, normal_reading(), claim, at_ms(6004));
    note_key_doubted(state, at_ms(6010));
    CHECK_FALSE(state.needs_newest);
    CHECK(next_step(state, members).at > at_ms(10'000));
}

TEST_CASE("RegistrationTest.AFailedStepIsRepeatedAfterAWait") {
    auto state = registered(0);
    note_registration_failure(state, at_ms(30'000));
    CHECK(next_step(state, members).at == at_ms(30'000) + registration_retry_wait);
}

}  // namespace
}  // namespace guavaramp
