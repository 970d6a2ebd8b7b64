#include "director_fixture.hpp"

#include <guavaramp/director/registration.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

constexpr milliseconds claim_wait{700};
constexpr std::uint64_t members_digest = 17;

entries_read_result read_with_two_other_readers() {
    return {.has_key = true, .has_own_entry = false, .other_readers = 2};
}

/// Returns the state of a reader whose entry, written at `now_ms`, names members with the digest
/// `members_digest`.
registration registered_reader(std::int64_t now_ms) {
    registration state;
    record_reader_role(state, true, at_ms(now_ms));
    record_entries_read(state, {.has_key = true, .has_own_entry = true, .other_readers = 1}, claim_wait,
                        at_ms(now_ms));
    record_lease_start(state, 5, at_ms(now_ms));
    record_entry_write(state, members_digest, at_ms(now_ms));
    record_entries_read(state, {.has_key = true, .has_own_entry = true, .other_readers = 1}, claim_wait,
                        at_ms(now_ms));
    return state;
}

// Load pattern: hundreds of directors start. Guards against two expensive calls, a lease and a write, for
// each.
TEST_CASE("RegistrationTest.DirectorThatIsNoReaderOnlyReads") {
    registration state;
    CHECK(next_registration_step(state, members_digest).step == registration_step::read_entries);
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(4));
    for (int read = 1; read <= 5; ++read) {
        const auto next = next_registration_step(state, members_digest);
        CHECK(next == due_registration_step{.step = registration_step::read_entries,
                                            .at = at_ms(4) + read * registration_period});
        record_entries_read(state, read_with_two_other_readers(), claim_wait, next.at);
    }
}

TEST_CASE("RegistrationTest.ReaderRegistersAfterTheSettlingTime") {
    registration state;
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(0));
    record_reader_role(state, true, at_ms(1000));
    CHECK(next_registration_step(state, members_digest) ==
          due_registration_step{.step = registration_step::start_lease,
                                .at = at_ms(1000) + reader_settling_time});
    record_lease_start(state, 5, at_ms(3000));
    CHECK(next_registration_step(state, members_digest).step == registration_step::write_entry);
    record_entry_write(state, members_digest, at_ms(3010));
    CHECK(next_registration_step(state, members_digest).step == registration_step::read_entries);
}

// Guards against a lease for each director that takes over from a reader only for a moment.
TEST_CASE("RegistrationTest.WritesNothingWhenItSoonStopsBeingAReader") {
    registration state;
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(0));
    record_reader_role(state, true, at_ms(1000));
    record_reader_role(state, false, at_ms(1800));
    CHECK(next_registration_step(state, members_digest).step == registration_step::read_entries);
}

// Load pattern: the first start of a fleet. Guards against as many entries as there are directors.
TEST_CASE("RegistrationTest.ClaimsThePlaceOfAReaderAfterItsDelayAndAnotherReadWhenThereIsNone") {
    registration state;
    record_reader_role(state, true, at_ms(0));
    record_entries_read(state, {}, claim_wait, at_ms(10));
    CHECK(next_registration_step(state, members_digest) ==
          due_registration_step{.step = registration_step::read_entries, .at = at_ms(10) + claim_wait});
    auto late = state;
    record_entries_read(state, {}, claim_wait, at_ms(710));
    CHECK(next_registration_step(state, members_digest).step == registration_step::start_lease);
    CHECK(next_registration_step(state, members_digest).at <= at_ms(710));
    record_entries_read(late, read_with_two_other_readers(), claim_wait, at_ms(710));
    CHECK(next_registration_step(late, members_digest).at >= at_ms(2000));
}

TEST_CASE("RegistrationTest.RenewsItsLeaseInTime") {
    auto state = registered_reader(0);
    record_entries_read(state, {.has_key = true, .has_own_entry = true, .other_readers = 1}, claim_wait,
                        at_ms(9000));
    CHECK(
        next_registration_step(state, members_digest) ==
        due_registration_step{.step = registration_step::renew_lease, .at = at_ms(0) + registration_period});
    record_lease_renewal(state, at_ms(10'000));
    CHECK(state.renew_at == at_ms(10'000) + registration_period);
    CHECK(2 * registration_period < registration_lease_duration);
}

// Load pattern: a fifth of the fleet is added at once. Guards against a write for each of its directors.
TEST_CASE("RegistrationTest.WritesSeveralChangesOfTheMembersTogether") {
    auto state = registered_reader(0);
    std::size_t writes = 0;
    for (std::int64_t now_ms = 0; now_ms < 6000; now_ms += 100) {
        const auto named_digest = static_cast<std::uint64_t>(now_ms);
        const auto next = next_registration_step(state, named_digest);
        if (next.step == registration_step::write_entry && next.at <= at_ms(now_ms)) {
            ++writes;
            record_entry_write(state, named_digest, at_ms(now_ms));
        }
    }
    CHECK(writes <= 3);
}

TEST_CASE("RegistrationTest.ReadsTheKeyOfTheOtherDirectorAndKeepsItsLeaseAfterAKeyConflict") {
    registration state;
    record_reader_role(state, true, at_ms(0));
    record_entries_read(state, {}, claim_wait, at_ms(0));
    record_entries_read(state, {}, claim_wait, at_ms(700));
    record_lease_start(state, 5, at_ms(704));
    CHECK(state.key_missing);
    record_key_conflict(state, at_ms(708));
    CHECK(state.needs_newest);
    CHECK(state.read_at == at_ms(708));
    record_entries_read(state, {.has_key = true, .other_readers = 1}, claim_wait, at_ms(712));
    CHECK_FALSE(state.needs_newest);
    CHECK(next_registration_step(state, members_digest).step == registration_step::write_entry);
    CHECK(state.lease == 5);
}

// Guards against a reader that stays unknown to the others after the platform has ended its lease.
TEST_CASE("RegistrationTest.RegistersAnewWhenItsLeaseIsLost") {
    auto state = registered_reader(0);
    record_registration_loss(state, at_ms(5000));
    CHECK(next_registration_step(state, members_digest).at <= at_ms(5000));
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(5004));
    CHECK(next_registration_step(state, members_digest).step == registration_step::start_lease);
}

// Guards against a reader that stays unknown because the platform has removed its entry without ending the
// lease.
TEST_CASE("RegistrationTest.DropsItsLeaseWhenTwoReadsLackItsEntry") {
    auto state = registered_reader(0);
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(10'000));
    CHECK(state.lease == 5);
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(20'000));
    CHECK(state.lease == 0);
}

// Guards against registering again and again while cached answers are older than the written entry.
TEST_CASE("RegistrationTest.KeepsItsLeaseWhenReadsSoonAfterTheWriteLackItsEntry") {
    auto state = registered_reader(0);
    for (std::int64_t ms = 300; ms < 9000; ms += 300) {
        record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(ms));
    }
    CHECK(state.lease == 5);
}

// Guards against an entry under a lease that started after the director had stopped being a reader.
TEST_CASE("RegistrationTest.IgnoresALeaseThatStartsAfterItStoppedBeingAReader") {
    registration state;
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(0));
    record_reader_role(state, true, at_ms(0));
    record_reader_role(state, false, at_ms(2001));
    record_lease_start(state, 5, at_ms(2004));
    CHECK(state.lease == 0);
    CHECK(next_registration_step(state, members_digest).step == registration_step::read_entries);
}

// Guards against a key that was withdrawn and that no reader replaces.
TEST_CASE("RegistrationTest.ReaderWritesANewKeyWhenThereIsNone") {
    auto state = registered_reader(0);
    record_entries_read(state, {.has_key = false, .has_own_entry = true, .other_readers = 1}, claim_wait,
                        at_ms(10'000));
    const auto next = next_registration_step(state, members_digest);
    CHECK(next.step == registration_step::write_entry);
    CHECK(state.key_missing);
}

// Guards against a director that starts from a cached answer with a withdrawn key and keeps that key; and
// against forged messages that make it read the store without limit.
TEST_CASE("RegistrationTest.ReadsTheNewestStateOnceAfterKeyMismatches") {
    registration state;
    record_key_mismatch(state, at_ms(0));
    CHECK_FALSE(state.needs_newest);
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(4));
    record_key_mismatch(state, at_ms(6000));
    CHECK(next_registration_step(state, members_digest) ==
          due_registration_step{.step = registration_step::read_entries, .at = at_ms(6000)});
    CHECK(state.needs_newest);
    record_entries_read(state, read_with_two_other_readers(), claim_wait, at_ms(6004));
    record_key_mismatch(state, at_ms(6010));
    CHECK_FALSE(state.needs_newest);
    CHECK(next_registration_step(state, members_digest).at > at_ms(10'000));
}

TEST_CASE("RegistrationTest.RepeatsAFailedStepAfterAWait") {
    auto state = registered_reader(0);
    record_registration_failure(state, at_ms(30'000));
    CHECK(next_registration_step(state, members_digest).at == at_ms(30'000) + registration_retry_wait);
}

}  // namespace
}  // namespace guavaramp
