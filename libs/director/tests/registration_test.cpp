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
    CHECK_FALSE(state.fleet_key_known);
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
    note_fleet_read(state, {.has_key = true}, at_ms(3000));
    CHECK(state.next == registration_step::renew_lease);
    note_fleet_read(state, {.has_key = true}, at_ms(6000));
    CHECK(state.lease == 0);
    CHECK(state.next == registration_step::read_fleet);
}

TEST_CASE("RegistrationTest.AFailedStepIsRepeatedAfterAWait") {
    auto state = registered(0);
    note_registration_failure(state, at_ms(3000));
    CHECK(state.next == registration_step::renew_lease);
    CHECK(state.next_at == at_ms(3000) + registration_retry_wait);
    CHECK_FALSE(state.in_progress);
}

}  // namespace
}  // namespace guavaramp
