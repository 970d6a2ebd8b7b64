#include "director_fixture.hpp"

#include <guavaramp/director/store_sync.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

due_reading start(store_sync& sync, store_subject subject, std::int64_t now_ms) {
    due_reading due{};
    REQUIRE(start_if_due(sync, subject, at_ms(now_ms), due));
    return due;
}

TEST_CASE("StoreSyncTest.TheFirstReadingIsWholeAndAWatchFollowsAtOnce") {
    store_sync sync;
    const auto first = start(sync, store_subject::listing, 0);
    CHECK(first.kind == reading_kind::whole);
    note_read(sync, first, at_ms(0), at_ms(4));
    CHECK(start(sync, store_subject::listing, 4).kind == reading_kind::watch);
}

TEST_CASE("StoreSyncTest.ASubjectIsNotReadTwiceAtOnce") {
    store_sync sync;
    (void)start(sync, store_subject::listing, 0);
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(1), due));
    CHECK(start_if_due(sync, store_subject::configuration, at_ms(1), due));
}

// Guards against changes that are lost between a broken watch and the next one.
TEST_CASE("StoreSyncTest.AFailureLeadsToAWholeReading") {
    store_sync sync;
    const auto first = start(sync, store_subject::listing, 0);
    note_read(sync, first, at_ms(0), at_ms(4));
    (void)start(sync, store_subject::listing, 4);
    CHECK(note_read_failure(sync, store_subject::listing, false, at_ms(500)));
    CHECK(start(sync, store_subject::listing, 600).kind == reading_kind::whole);
}

TEST_CASE("StoreSyncTest.FailuresAreRetriedAfterGrowingWaitsWithALimit") {
    store_sync sync;
    std::int64_t now_ms = 0;
    std::vector<std::int64_t> waits;
    for (int failure = 0; failure < 6; ++failure) {
        (void)start(sync, store_subject::listing, now_ms);
        (void)note_read_failure(sync, store_subject::listing, false, at_ms(now_ms));
        const auto next = sync_of(sync, store_subject::listing).next_at;
        waits.push_back(std::chrono::duration_cast<milliseconds>(next - at_ms(now_ms)).count());
        now_ms += waits.back();
    }
    CHECK(waits == std::vector<std::int64_t>{100, 200, 400, 500, 500, 500});
}

// Guards against a storm of configurations that turns into a storm of calls.
TEST_CASE("StoreSyncTest.WatchesThatEndAtOnceAreSpacedOut") {
    store_sync sync;
    note_read(sync, start(sync, store_subject::configuration, 0), at_ms(0), at_ms(4));
    const auto watch = start(sync, store_subject::configuration, 4);
    note_read(sync, watch, at_ms(4), at_ms(10));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::configuration, at_ms(10), due));
    CHECK(start_if_due(sync, store_subject::configuration, at_ms(4) + least_configuration_period, due));
}

TEST_CASE("StoreSyncTest.TheStoreIsSteadySinceTheFirstSuccessAfterTheLastFailure") {
    store_sync sync;
    CHECK(sync.steady_since == mono_time::max());
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(4));
    CHECK(sync.steady_since == at_ms(4));
    (void)start(sync, store_subject::configuration, 10);
    (void)note_read_failure(sync, store_subject::configuration, false, at_ms(20));
    CHECK(sync.steady_since == mono_time::max());
    note_read(sync, start(sync, store_subject::configuration, 200), at_ms(200), at_ms(204));
    CHECK(sync.steady_since == at_ms(204));
}

TEST_CASE("StoreSyncTest.OnlyTheFirstFailureIsNews") {
    store_sync sync;
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(4));
    (void)start(sync, store_subject::listing, 4);
    CHECK(note_read_failure(sync, store_subject::listing, false, at_ms(500)));
    (void)start(sync, store_subject::listing, 600);
    CHECK_FALSE(note_read_failure(sync, store_subject::listing, false, at_ms(700)));
}

// Guards against checks of a configuration with many routes that fill a slow machine's link.
TEST_CASE("StoreSyncTest.ALargeConfigurationIsCheckedLessOften") {
    CHECK(next_check_at(20'000, at_ms(0)) == at_ms(1500));
    CHECK(next_check_at(480'000, at_ms(0)) == at_ms(10'000));
}

TEST_CASE("StoreSyncTest.AnAbsentConfigurationIsReadAgainAndIsNoFailure") {
    store_sync sync;
    (void)start(sync, store_subject::configuration, 0);
    note_absent(sync, store_subject::configuration, at_ms(4));
    CHECK(sync_of(sync, store_subject::configuration).failures == 0);
    // Everything is read again, at the price of a cached answer while the whole fleet waits.
    CHECK(start(sync, store_subject::configuration, 504).kind == reading_kind::whole_cached);
}

// --- News of other directors ------------------------------------------------------------------------------

/// Both subjects read once, watches left to other directors until `covered_until_ms`.
store_sync covered_sync(std::int64_t covered_until_ms) {
    store_sync sync;
    for (const auto subject : {store_subject::configuration, store_subject::listing}) {
        note_read(sync, start(sync, subject, 0), at_ms(0), at_ms(4));
    }
    note_coverage(sync, at_ms(covered_until_ms));
    return sync;
}

TEST_CASE("StoreSyncTest.WhileOthersNewsCoverItADirectorDoesNotWatch") {
    auto sync = covered_sync(1500);
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(1499), due));
    CHECK_FALSE(start_if_due(sync, store_subject::configuration, at_ms(1499), due));
    CHECK(next_reading_at(sync) == at_ms(1500));
}

// Guards against a director that relies on readers which are gone.
TEST_CASE("StoreSyncTest.WhenTheNewsEndADirectorWatchesAtOnce") {
    auto sync = covered_sync(1500);
    CHECK(start(sync, store_subject::listing, 1500).kind == reading_kind::watch);
    CHECK(start(sync, store_subject::configuration, 1500).kind == reading_kind::watch);
}

TEST_CASE("StoreSyncTest.TheFirstReadingDoesNotWaitForOthersNews") {
    store_sync sync;
    note_coverage(sync, at_ms(1500));
    CHECK(start(sync, store_subject::listing, 0).kind == reading_kind::whole);
}

// Guards against news that were lost on the way and are never asked for.
TEST_CASE("StoreSyncTest.AListingThatDiffersFromAReadersIsAskedForAfterAWait") {
    auto sync = covered_sync(100'000);
    note_behind(sync, store_subject::listing, true, at_ms(5000));
    note_behind(sync, store_subject::listing, true, at_ms(5100));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(5000) + repair_wait - milliseconds{1}, due));
    CHECK(start_if_due(sync, store_subject::listing, at_ms(5000) + repair_wait, due));
    CHECK(due.kind == reading_kind::catch_up);
}

// Replays raochan-dn restart-without-store --vary --seed 405756342672: the connection of a reader's watch
// goes silent, and the director becomes a follower before its check shows it. Guards against a director that
// knows it is behind and waits for a watch that brings nothing any more (CONFIG, 3.7 s late).
TEST_CASE("StoreSyncTest.AWatchOnASilentConnectionDoesNotKeepADirectorThatIsBehindFromReading") {
    store_sync sync;
    note_read(sync, start(sync, store_subject::configuration, 0), at_ms(0), at_ms(4));
    CHECK(start(sync, store_subject::configuration, 4).kind == reading_kind::watch);
    CHECK_FALSE(is_needless_watch(sync, store_subject::configuration));
    note_coverage(sync, at_ms(3000));
    REQUIRE(is_needless_watch(sync, store_subject::configuration));
    note_given_up(sync, store_subject::configuration, at_ms(1500));
    CHECK_FALSE(is_needless_watch(sync, store_subject::configuration));
    note_behind(sync, store_subject::configuration, true, at_ms(2000));
    CHECK(start(sync, store_subject::configuration, 2000).kind == reading_kind::whole_cached);
    CHECK_FALSE(is_needless_watch(sync, store_subject::configuration));
}

TEST_CASE("StoreSyncTest.AListingThatAgreesAgainIsNotAskedFor") {
    auto sync = covered_sync(100'000);
    note_behind(sync, store_subject::listing, true, at_ms(5000));
    note_behind(sync, store_subject::listing, false, at_ms(5100));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(6000), due));
}

// Guards against a configuration that stays old because cached answers are.
TEST_CASE("StoreSyncTest.ANewerConfigurationIsLookedForInCachedAnswersAndThenInTheNewest") {
    auto sync = covered_sync(100'000);
    note_behind(sync, store_subject::configuration, true, at_ms(5000));
    std::int64_t now_ms = 5000;
    for (std::uint32_t reading = 0; reading < most_cached_readings; ++reading) {
        CHECK(start(sync, store_subject::configuration, now_ms).kind == reading_kind::whole_cached);
        note_old_reading(sync, store_subject::configuration, at_ms(now_ms));
        now_ms += std::chrono::milliseconds{cached_retry_wait}.count();
    }
    const auto last = start(sync, store_subject::configuration, now_ms);
    CHECK(last.kind == reading_kind::whole);
    note_read(sync, last, at_ms(now_ms), at_ms(now_ms + 4));
    note_behind(sync, store_subject::configuration, true, at_ms(now_ms + 5000));
    CHECK(start(sync, store_subject::configuration, now_ms + 5000).kind == reading_kind::whole_cached);
}

// Guards against pressing a store that turns this director away and serves its neighbours.
TEST_CASE("StoreSyncTest.AFailureThatOthersNewsCoverIsRetriedLate") {
    store_sync sync;
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(4));
    (void)start(sync, store_subject::listing, 4);
    (void)note_read_failure(sync, store_subject::listing, true, at_ms(500));
    CHECK(sync_of(sync, store_subject::listing).next_at == at_ms(500) + covered_retry_wait);
}

// Replays azulejo-austro-large fresh-f44e: all followers read a configuration of 1,355 routes at once, gave
// up after 0.7 s, waited 3 s, and did both again. Guards against a change that is in force after 6 s
// (CONFIG).
TEST_CASE("StoreSyncTest.ADirectorThatIsBehindRetriesInTimeForTheChangeToBeInForce") {
    auto sync = covered_sync(100'000);
    note_behind(sync, store_subject::configuration, true, at_ms(5000));
    (void)start(sync, store_subject::configuration, 5000);
    (void)note_read_failure(sync, store_subject::configuration, true, at_ms(5700));
    CHECK(sync_of(sync, store_subject::configuration).next_at == at_ms(5700) + behind_retry_wait);
    CHECK(start(sync, store_subject::configuration, 6700).kind != reading_kind::watch);
}

// Guards against a store that seems lost, so that hosts which left stay in use, when only its history is.
TEST_CASE("StoreSyncTest.ADiscardedHistoryLeadsToAWholeReadingAndIsNoFailure") {
    auto sync = covered_sync(100'000);
    note_behind(sync, store_subject::listing, true, at_ms(5000));
    (void)start(sync, store_subject::listing, 5300);
    note_history_lost(sync, store_subject::listing, at_ms(5304));
    CHECK(sync.steady_since == at_ms(4));
    CHECK(start(sync, store_subject::listing, 5404).kind == reading_kind::whole);
}

// Guards against an unknown host that nobody looks up because the listing is left to others.
TEST_CASE("StoreSyncTest.AWantedReadingDoesNotWaitForOthersNews") {
    auto sync = covered_sync(100'000);
    want_whole(sync, store_subject::listing, at_ms(10));
    CHECK(start(sync, store_subject::listing, 10).kind == reading_kind::whole);
}

// --- Starts of many directors -----------------------------------------------------------------------------

/// A director that has just started and does not know yet whether others rely on it.
store_sync starting_sync() {
    store_sync sync;
    note_reader(sync, false, at_ms(0));
    return sync;
}

// Load pattern: hundreds of directors start at once. Guards against as many of the dear, rate-limited
// readings as there are directors.
TEST_CASE("StoreSyncTest.ADirectorOnWhichNobodyReliesStartsFromCachedAnswers") {
    auto sync = starting_sync();
    const auto listing = start(sync, store_subject::listing, 0);
    CHECK(listing.kind == reading_kind::whole_cached);
    note_read(sync, listing, at_ms(0), at_ms(20));
    CHECK(start(sync, store_subject::configuration, 0).kind == reading_kind::whole_cached);
    (void)note_read_failure(sync, store_subject::configuration, false, at_ms(700));
    CHECK(start(sync, store_subject::configuration, 800).kind == reading_kind::whole_cached);
    note_coverage(sync, at_ms(3000));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(2999), due));
}

// Load pattern: the whole fleet starts with a configuration of 1,300 routes in force. Guards against open
// flows that wait for it although only the listing is needed to forward them.
TEST_CASE("StoreSyncTest.TheFirstListingIsReadBeforeTheFirstConfiguration") {
    auto sync = starting_sync();
    const auto listing = start(sync, store_subject::listing, 0);
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::configuration, at_ms(1), due));
    auto failing = sync;
    note_read(sync, listing, at_ms(0), at_ms(150));
    CHECK(start_if_due(sync, store_subject::configuration, at_ms(150), due));
    // A listing that cannot be read does not keep the configuration back for ever.
    (void)note_read_failure(failing, store_subject::listing, false, at_ms(700));
    CHECK(start_if_due(failing, store_subject::configuration, at_ms(700), due));
}

// Guards against a reader that passes on what a cached answer left out.
TEST_CASE("StoreSyncTest.AReaderReadsTheNewestListingUnlessReadersHaveConfirmedItsOwn") {
    auto sync = starting_sync();
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(20));
    auto confirmed = sync;
    note_reader(sync, true, at_ms(900));
    CHECK(start(sync, store_subject::listing, 900).kind == reading_kind::whole);
    note_confirmed(confirmed, store_subject::listing);
    note_reader(confirmed, true, at_ms(900));
    CHECK(start(confirmed, store_subject::listing, 900).kind == reading_kind::watch);
}

// Replays azulejo-austro-large scale-1: directors that were added read cached pages of different age, which
// lacked a drain older than their newest entry. What has changed since that entry was read, its revision was
// above the readers', and nothing showed the difference any more (DRAIN, 36 ms late after 6 s).
TEST_CASE("StoreSyncTest.AListingFromCachedAnswersThatDiffersIsReadInWhole") {
    auto sync = starting_sync();
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(100));
    note_coverage(sync, at_ms(100'000));
    note_behind(sync, store_subject::listing, true, at_ms(110));
    CHECK(start(sync, store_subject::listing, 410).kind == reading_kind::whole);
}

// Guards against the same while the readers are behind this director and say nothing of its listing.
TEST_CASE("StoreSyncTest.AListingFromCachedAnswersThatNobodyConfirmsIsReadInWhole") {
    auto sync = starting_sync();
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(100));
    note_coverage(sync, at_ms(100'000));
    note_behind(sync, store_subject::listing, false, at_ms(110));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::listing, at_ms(3099), due));
    auto confirmed = sync;
    CHECK(start(sync, store_subject::listing, 3100).kind == reading_kind::whole);
    note_confirmed(confirmed, store_subject::listing);
    CHECK_FALSE(start_if_due(confirmed, store_subject::listing, at_ms(10'000), due));
}

// The same when it becomes a reader before the cached answer has come.
TEST_CASE("StoreSyncTest.AReaderReadsTheNewestListingAfterACachedReadingInProgress") {
    auto sync = starting_sync();
    const auto first = start(sync, store_subject::listing, 0);
    note_reader(sync, true, at_ms(10));
    note_read(sync, first, at_ms(0), at_ms(20));
    const auto second = start(sync, store_subject::listing, 20);
    CHECK(second.kind == reading_kind::whole);
    note_read(sync, second, at_ms(20), at_ms(30));
    CHECK(start(sync, store_subject::listing, 30).kind == reading_kind::watch);
}

// Guards against a first configuration that is too old and that a director reads again and again.
TEST_CASE("StoreSyncTest.AFirstConfigurationThatStaysOldIsReadFromTheNewestState") {
    auto sync = starting_sync();
    std::int64_t now_ms = 0;
    for (std::uint32_t reading = 0; reading < most_cached_readings; ++reading) {
        CHECK(start(sync, store_subject::configuration, now_ms).kind == reading_kind::whole_cached);
        note_old_reading(sync, store_subject::configuration, at_ms(now_ms));
        now_ms += std::chrono::milliseconds{cached_retry_wait}.count();
    }
    CHECK(start(sync, store_subject::configuration, now_ms).kind == reading_kind::whole);
}

// Load pattern: a fleet of hundreds waits for its operator's first configuration. Guards against all of them
// asking the store for it twice a second.
TEST_CASE("StoreSyncTest.WhileReadersReportOnlyTheyLookForTheFirstConfiguration") {
    auto sync = starting_sync();
    (void)start(sync, store_subject::configuration, 0);
    note_absent(sync, store_subject::configuration, at_ms(4));
    note_coverage(sync, at_ms(1504));
    due_reading due{};
    CHECK_FALSE(start_if_due(sync, store_subject::configuration, at_ms(1503), due));
    note_behind(sync, store_subject::configuration, true, at_ms(1400));
    CHECK(start(sync, store_subject::configuration, 1400).kind == reading_kind::whole_cached);
    note_absent(sync, store_subject::configuration, at_ms(1404));
    CHECK(sync_of(sync, store_subject::configuration).next_at == at_ms(1404) + longest_retry_wait);
}

// Guards against a listing that stays different from the readers', because what is missing lies before the
// revision from which the director asks for changes.
TEST_CASE("StoreSyncTest.AListingThatChangesDoNotMendIsReadInWhole") {
    auto sync = covered_sync(100'000);
    std::int64_t now_ms = 5000;
    for (std::uint32_t reading = 0; reading < most_catch_ups; ++reading) {
        note_behind(sync, store_subject::listing, true, at_ms(now_ms));
        now_ms += 2000;
        const auto due = start(sync, store_subject::listing, now_ms);
        CHECK(due.kind == reading_kind::catch_up);
        note_read(sync, due, at_ms(now_ms), at_ms(now_ms + 4));
    }
    note_behind(sync, store_subject::listing, true, at_ms(now_ms + 10));
    CHECK(start(sync, store_subject::listing, now_ms + 2000).kind == reading_kind::whole);
}

}  // namespace
}  // namespace guavaramp
