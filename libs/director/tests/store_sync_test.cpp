#include "director_fixture.hpp"

#include <guavaramp/director/store_sync.hpp>

#include <property.hpp>

#include <algorithm>

namespace guavaramp {
namespace {

using namespace director_fixture;

due_read start_read(store_sync& sync, store_dataset dataset, std::int64_t now_ms) {
    due_read due{};
    REQUIRE(start_read_if_due(sync, dataset, at_ms(now_ms), due));
    return due;
}

TEST_CASE("StoreSyncTest.FirstReadIsFullAndAWatchFollowsAtOnce") {
    store_sync sync;
    const auto first = start_read(sync, store_dataset::listing, 0);
    CHECK(first.kind == read_kind::full);
    record_read(sync, first, at_ms(0), at_ms(4));
    CHECK(start_read(sync, store_dataset::listing, 4).kind == read_kind::watch);
}

TEST_CASE("StoreSyncTest.DatasetIsNotReadTwiceAtTheSameTime") {
    store_sync sync;
    (void)start_read(sync, store_dataset::listing, 0);
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(1), due));
    CHECK(start_read_if_due(sync, store_dataset::configuration, at_ms(1), due));
}

// Guards against the loss of changes that happen between a failed watch and the next one.
TEST_CASE("StoreSyncTest.ReadsInFullAfterAFailedWatch") {
    store_sync sync;
    const auto first = start_read(sync, store_dataset::listing, 0);
    record_read(sync, first, at_ms(0), at_ms(4));
    (void)start_read(sync, store_dataset::listing, 4);
    CHECK(record_read_failure(sync, store_dataset::listing, false, at_ms(500)));
    CHECK(start_read(sync, store_dataset::listing, 600).kind == read_kind::full);
}

// Guards against a watch that was sent while the store gave no response, is never answered, and hides changes
// for as long as it may be held (review case 6: a configuration in force 6.6 s after its confirmation).
TEST_CASE("StoreSyncTest.AWatchThatIsNeverAnsweredIsReplacedInTimeForAChange") {
    constexpr std::int64_t change_bound_ms = 3000;
    for (const auto dataset : {store_dataset::configuration, store_dataset::listing}) {
        store_sync sync;
        record_read(sync, start_read(sync, dataset, 0), at_ms(0), at_ms(4));
        const auto watch = start_read(sync, dataset, 4);
        REQUIRE(watch.kind == read_kind::watch);
        const auto given_up_at = limits_of(watch.hold_until).first_byte_deadline;
        (void)record_read_failure(sync, dataset, false, given_up_at);
        CHECK(sync_of(sync, dataset).next_read_at < at_ms(change_bound_ms));
    }
}

TEST_CASE("StoreSyncTest.RetryWaitDoublesUpToALimit") {
    store_sync sync;
    std::int64_t now_ms = 0;
    std::vector<std::int64_t> waits;
    for (int failure = 0; failure < 6; ++failure) {
        (void)start_read(sync, store_dataset::listing, now_ms);
        (void)record_read_failure(sync, store_dataset::listing, false, at_ms(now_ms));
        const auto next = sync_of(sync, store_dataset::listing).next_read_at;
        waits.push_back(std::chrono::duration_cast<milliseconds>(next - at_ms(now_ms)).count());
        now_ms += waits.back();
    }
    CHECK(waits == std::vector<std::int64_t>{100, 200, 400, 500, 500, 500});
}

// Guards against a call to the store for each of many configurations that are written in quick succession.
TEST_CASE("StoreSyncTest.WatchesKeepTheirLeastPeriodWhenAnswersComeAtOnce") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::configuration, 0), at_ms(0), at_ms(4));
    const auto watch = start_read(sync, store_dataset::configuration, 4);
    record_read(sync, watch, at_ms(4), at_ms(10));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(10), due));
    CHECK(start_read_if_due(sync, store_dataset::configuration, at_ms(4) + min_watch_period, due));
}

TEST_CASE("StoreSyncTest.StoreIsAvailableSinceTheFirstSuccessAfterTheLastFailure") {
    store_sync sync;
    CHECK(sync.store_available_since == mono_time::max());
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(4));
    CHECK(sync.store_available_since == at_ms(4));
    (void)start_read(sync, store_dataset::configuration, 10);
    (void)record_read_failure(sync, store_dataset::configuration, false, at_ms(20));
    CHECK(sync.store_available_since == mono_time::max());
    record_read(sync, start_read(sync, store_dataset::configuration, 200), at_ms(200), at_ms(204));
    CHECK(sync.store_available_since == at_ms(204));
}

TEST_CASE("StoreSyncTest.ReportsOnlyTheFirstOfSeveralFailuresInARow") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(4));
    (void)start_read(sync, store_dataset::listing, 4);
    CHECK(record_read_failure(sync, store_dataset::listing, false, at_ms(500)));
    (void)start_read(sync, store_dataset::listing, 600);
    CHECK_FALSE(record_read_failure(sync, store_dataset::listing, false, at_ms(700)));
}

// Guards against directors that rely on a reader whose check has just shown that it lacks a change: between
// two watches no watch is open that could bring it.
TEST_CASE("StoreSyncTest.ACheckThatShowsAMissedChangeDoesNotVerifyTheListing") {
    CHECK(judge_check(true, false, true) == check_verdict::complete);
    CHECK(judge_check(true, false, false) == check_verdict::complete);
    CHECK(judge_check(true, true, true) == check_verdict::watch_is_dead);
    CHECK(judge_check(true, true, false) == check_verdict::inconclusive);
    CHECK(judge_check(false, false, true) == check_verdict::inconclusive);
}

/// Returns when `sync` counts the listing as complete.
mono_time listing_verified_at(const store_sync& sync) {
    return sync_of(sync, store_dataset::listing).verified_at;
}

// Guards against a listing that counts as complete at a time that the store's answer does not show: a cached
// answer is seconds old (review case 9), and one that arrives late was given at any time since the call.
TEST_CASE("StoreSyncTest.AListingIsVerifiedAtATimeThatTheAnswerShows") {
    auto sync = store_sync{};
    record_reader_role(sync, false, at_ms(0));
    const auto cached = start_read(sync, store_dataset::listing, 1000);
    REQUIRE(cached.kind == read_kind::full_cached);
    record_read(sync, cached, at_ms(1000), at_ms(1004));
    CHECK(listing_verified_at(sync) == mono_time{});
    record_reader_role(sync, true, at_ms(1004));
    const auto full = start_read(sync, store_dataset::listing, 1004);
    REQUIRE(full.kind == read_kind::full);
    record_read(sync, full, at_ms(1004), at_ms(1100));
    CHECK(listing_verified_at(sync) == at_ms(1004));
    const auto changed = start_read(sync, store_dataset::listing, 1100);
    record_read(sync, changed, at_ms(1100), at_ms(2000));
    CHECK(listing_verified_at(sync) == at_ms(1100));
    const auto unchanged = start_read(sync, store_dataset::listing, 2100);
    record_read(sync, unchanged, at_ms(2100), at_ms(9000));
    record_unchanged(sync, unchanged, at_ms(9000));
    CHECK(listing_verified_at(sync) == unchanged.hold_until);
    const auto early = start_read(sync, store_dataset::listing, 9000);
    record_read(sync, early, at_ms(9000), at_ms(9004));
    record_unchanged(sync, early, early.hold_until - milliseconds{1});
    CHECK(listing_verified_at(sync) == at_ms(9000));
    discard_verification(sync);
    CHECK(listing_verified_at(sync) == mono_time{});
}

// Load pattern: hosts change at any time, so that watches are answered early or after their whole time.
// Guards against a reader whose listing is verified too rarely for others to rely on it without a break.
TEST_CASE("StoreSyncTest.AReadersListingIsVerifiedOftenEnoughWhateverChanges") {
    check_property("age of the verification", [](const std::vector<std::uint16_t>& changes) {
        constexpr std::int64_t answer_time_ms = 4;
        store_sync sync;
        record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(answer_time_ms));
        std::int64_t next_change_ms = 0;
        for (const auto change : changes) {
            next_change_ms += change % 4000;
            for (bool brings_change = false; !brings_change;) {
                const auto started = sync_of(sync, store_dataset::listing).next_read_at;
                due_read watch{};
                RC_ASSERT(start_read_if_due(sync, store_dataset::listing, started, watch));
                RC_ASSERT(watch.kind == read_kind::watch);
                brings_change = at_ms(next_change_ms) <= watch.hold_until;
                const auto answered =
                    (brings_change ? std::max(started, at_ms(next_change_ms)) : watch.hold_until) +
                    milliseconds{answer_time_ms};
                RC_ASSERT(answered - listing_verified_at(sync) <=
                          verification_period + milliseconds{answer_time_ms});
                record_read(sync, watch, started, answered);
                if (!brings_change) {
                    record_unchanged(sync, watch, answered);
                }
            }
        }
    });
}

// Guards against checks that fill a slow machine's link when the configuration has many routes.
TEST_CASE("StoreSyncTest.ChecksALargeConfigurationLessOften") {
    CHECK(next_configuration_check_at(20'000, at_ms(0)) == at_ms(1400));
    CHECK(next_configuration_check_at(480'000, at_ms(0)) == at_ms(10'000));
}

TEST_CASE("StoreSyncTest.ReadsAnAbsentConfigurationAgainAndCountsNoFailure") {
    store_sync sync;
    (void)start_read(sync, store_dataset::configuration, 0);
    record_absence(sync, store_dataset::configuration, at_ms(4));
    CHECK(sync_of(sync, store_dataset::configuration).consecutive_failures == 0);
    // The next read is a full but cached one, because the whole fleet may be waiting for the configuration.
    CHECK(start_read(sync, store_dataset::configuration, 504).kind == read_kind::full_cached);
}

// --- Coverage by readers' reports -------------------------------------------------------------------------

/// Returns a state in which both datasets were read once and readers' reports cover them until
/// `covered_until_ms`.
store_sync covered_sync(std::int64_t covered_until_ms) {
    store_sync sync;
    for (const auto dataset : {store_dataset::configuration, store_dataset::listing}) {
        record_read(sync, start_read(sync, dataset, 0), at_ms(0), at_ms(4));
    }
    set_coverage_deadline(sync, at_ms(covered_until_ms));
    return sync;
}

TEST_CASE("StoreSyncTest.DoesNotWatchWhileReadersReportsCoverIt") {
    auto sync = covered_sync(1500);
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(1499), due));
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(1499), due));
    CHECK(earliest_read_at(sync) == at_ms(1500));
}

// Guards against a director that goes on relying on readers which are gone.
TEST_CASE("StoreSyncTest.WatchesAtOnceWhenTheCoverageEnds") {
    auto sync = covered_sync(1500);
    CHECK(start_read(sync, store_dataset::listing, 1500).kind == read_kind::watch);
    CHECK(start_read(sync, store_dataset::configuration, 1500).kind == read_kind::watch);
}

TEST_CASE("StoreSyncTest.FirstReadDoesNotWaitForReaders") {
    store_sync sync;
    set_coverage_deadline(sync, at_ms(1500));
    CHECK(start_read(sync, store_dataset::listing, 0).kind == read_kind::full);
}

// Guards against an update that is lost in transit and never read.
TEST_CASE("StoreSyncTest.CatchesUpAfterAWaitWhenTheListingDiffersFromAReaders") {
    auto sync = covered_sync(100'000);
    set_behind(sync, store_dataset::listing, true, at_ms(5000));
    set_behind(sync, store_dataset::listing, true, at_ms(5100));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing,
                                  at_ms(5000) + lost_update_wait - milliseconds{1}, due));
    CHECK(start_read_if_due(sync, store_dataset::listing, at_ms(5000) + lost_update_wait, due));
    CHECK(due.kind == read_kind::catch_up);
}

// Replays raochan-dn restart-without-store --vary --seed 405756342672: the connection of a reader's watch
// goes silent, and the director stops being a reader before its check finds that. Guards against a director
// that knows that it is behind and waits for a watch that delivers nothing more (rule CONFIG, 3.7 s late).
TEST_CASE("StoreSyncTest.ReadsWhenBehindAlthoughAWatchWaitsOnASilentConnection") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::configuration, 0), at_ms(0), at_ms(4));
    CHECK(start_read(sync, store_dataset::configuration, 4).kind == read_kind::watch);
    CHECK_FALSE(is_redundant_watch(sync, store_dataset::configuration));
    set_coverage_deadline(sync, at_ms(3000));
    REQUIRE(is_redundant_watch(sync, store_dataset::configuration));
    record_cancelled_read(sync, store_dataset::configuration, at_ms(1500));
    CHECK_FALSE(is_redundant_watch(sync, store_dataset::configuration));
    set_behind(sync, store_dataset::configuration, true, at_ms(2000));
    CHECK(start_read(sync, store_dataset::configuration, 2000).kind == read_kind::full_cached);
    CHECK_FALSE(is_redundant_watch(sync, store_dataset::configuration));
}

TEST_CASE("StoreSyncTest.DoesNotReadWhenTheListingAgreesAgain") {
    auto sync = covered_sync(100'000);
    set_behind(sync, store_dataset::listing, true, at_ms(5000));
    set_behind(sync, store_dataset::listing, false, at_ms(5100));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(6000), due));
}

// Guards against a configuration that stays stale because cached answers are stale.
TEST_CASE("StoreSyncTest.ReadsANewerConfigurationFromCachedAnswersAndThenFromTheNewestState") {
    auto sync = covered_sync(100'000);
    set_behind(sync, store_dataset::configuration, true, at_ms(5000));
    std::int64_t now_ms = 5000;
    for (std::uint32_t read = 0; read < max_stale_cached_reads; ++read) {
        CHECK(start_read(sync, store_dataset::configuration, now_ms).kind == read_kind::full_cached);
        record_stale_read(sync, store_dataset::configuration, at_ms(now_ms));
        now_ms += std::chrono::milliseconds{stale_read_retry_wait}.count();
    }
    const auto last = start_read(sync, store_dataset::configuration, now_ms);
    CHECK(last.kind == read_kind::full);
    record_read(sync, last, at_ms(now_ms), at_ms(now_ms + 4));
    set_behind(sync, store_dataset::configuration, true, at_ms(now_ms + 5000));
    CHECK(start_read(sync, store_dataset::configuration, now_ms + 5000).kind == read_kind::full_cached);
}

// Guards against load on a store that rejects this director's calls and serves other directors.
TEST_CASE("StoreSyncTest.RetriesLaterWhenReadersReportsCoverTheFailure") {
    store_sync sync;
    record_reader_role(sync, false, at_ms(0));
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(4));
    (void)start_read(sync, store_dataset::listing, 4);
    (void)record_read_failure(sync, store_dataset::listing, true, at_ms(500));
    CHECK(sync_of(sync, store_dataset::listing).next_read_at == at_ms(500) + covered_read_retry_wait);
}

// Guards against two readers of which each waits for the other one after their watches were cut, so that a
// change is in force only after the whole wait (review case 11).
TEST_CASE("StoreSyncTest.AReaderDoesNotWaitForAnotherReaderAfterAFailedRead") {
    for (const auto dataset : {store_dataset::configuration, store_dataset::listing}) {
        store_sync sync;
        record_read(sync, start_read(sync, dataset, 0), at_ms(0), at_ms(4));
        (void)start_read(sync, dataset, 4);
        (void)record_read_failure(sync, dataset, true, at_ms(500));
        CHECK(sync_of(sync, dataset).next_read_at == at_ms(500) + min_read_retry_wait);
    }
}

// Guards against a reader whose watch was lost, or answered without its change, and that keeps an old
// configuration although the other reader reports a newer one (soak seed 7110 of the third review: 5.8 s).
TEST_CASE("StoreSyncTest.AWatchIsOvertakenWhenAnotherReaderHasReportedANewerRevisionForSomeTime") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::configuration, 0), at_ms(0), at_ms(4));
    REQUIRE(start_read(sync, store_dataset::configuration, 4).kind == read_kind::watch);
    const auto is_overtaken = [&sync](std::int64_t started_ms, std::int64_t now_ms) {
        return is_overtaken_watch(sync, store_dataset::configuration, at_ms(started_ms), at_ms(now_ms));
    };
    CHECK_FALSE(is_overtaken(4, 1000));
    set_behind(sync, store_dataset::configuration, true, at_ms(1000));
    CHECK_FALSE(is_overtaken(4, 1299));
    CHECK(is_overtaken(4, 1300));
    CHECK_FALSE(is_overtaken(1100, 1300));  // the store may still be about to answer
    record_reader_role(sync, false, at_ms(1300));
    CHECK_FALSE(is_overtaken(4, 1300));
    record_reader_role(sync, true, at_ms(1300));
    set_behind(sync, store_dataset::configuration, false, at_ms(1300));
    CHECK_FALSE(is_overtaken(4, 2000));
}

// Guards against the wait after a failed read, which is as long as the whole time for a change, when a report
// names a newer revision meanwhile.
TEST_CASE("StoreSyncTest.TheWaitAfterAFailedReadEndsWhenReadersHaveANewerRevision") {
    auto sync = covered_sync(100'000);
    record_reader_role(sync, false, at_ms(4));
    request_verification(sync, store_dataset::configuration);
    (void)start_read(sync, store_dataset::configuration, 5000);
    (void)record_read_failure(sync, store_dataset::configuration, true, at_ms(5004));
    set_behind(sync, store_dataset::configuration, true, at_ms(5100));
    CHECK(sync_of(sync, store_dataset::configuration).next_read_at == at_ms(5100) + min_read_retry_wait);
}

// Guards against directors that rely on a reader for a configuration that it has not verified for long,
// because its listing is verified (review case 11).
TEST_CASE("StoreSyncTest.TheVerificationOfAllDatasetsIsThatOfTheOldest") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::listing, 100), at_ms(100), at_ms(104));
    CHECK(datasets_verified_at(sync) == mono_time{});
    record_read(sync, start_read(sync, store_dataset::configuration, 200), at_ms(200), at_ms(204));
    CHECK(datasets_verified_at(sync) == at_ms(100));
    record_read(sync, start_read(sync, store_dataset::listing, 300), at_ms(300), at_ms(304));
    CHECK(datasets_verified_at(sync) == at_ms(200));
    discard_verification(sync);
    CHECK(datasets_verified_at(sync) == mono_time{});
}

// Guards against directors that rely on no reader before a first configuration exists.
TEST_CASE("StoreSyncTest.AnAbsentConfigurationDoesNotHideTheVerificationOfTheListing") {
    store_sync sync;
    record_read(sync, start_read(sync, store_dataset::listing, 100), at_ms(100), at_ms(104));
    (void)start_read(sync, store_dataset::configuration, 100);
    record_absence(sync, store_dataset::configuration, at_ms(104));
    CHECK(datasets_verified_at(sync) == at_ms(100));
}

// Replays azulejo-austro-large fresh-f44e: all directors that were no readers read a configuration of 1,355
// routes at once, timed out after 0.7 s, waited 3 s, and did both again. Guards against a change that is in
// force only after 6 s (rule CONFIG).
TEST_CASE("StoreSyncTest.RetriesInTimeForTheChangeToBeInForceWhenBehind") {
    auto sync = covered_sync(100'000);
    record_reader_role(sync, false, at_ms(4));
    set_behind(sync, store_dataset::configuration, true, at_ms(5000));
    (void)start_read(sync, store_dataset::configuration, 5000);
    (void)record_read_failure(sync, store_dataset::configuration, true, at_ms(5700));
    CHECK(sync_of(sync, store_dataset::configuration).next_read_at == at_ms(5700) + behind_read_retry_wait);
    CHECK(start_read(sync, store_dataset::configuration, 6700).kind != read_kind::watch);
}

// Guards against taking a store that has only discarded its history for unavailable, after which hosts that
// have left would stay in use.
TEST_CASE("StoreSyncTest.ReadsInFullAndCountsNoFailureWhenTheHistoryIsDiscarded") {
    auto sync = covered_sync(100'000);
    set_behind(sync, store_dataset::listing, true, at_ms(5000));
    (void)start_read(sync, store_dataset::listing, 5300);
    record_discarded_history(sync, store_dataset::listing, at_ms(5304));
    CHECK(sync.store_available_since == at_ms(4));
    CHECK(start_read(sync, store_dataset::listing, 5404).kind == read_kind::full);
}

// Guards against open flows that are forwarded on a removed route for ever: only the newest state of the
// store shows that their route is missing, and a director that relies on readers has no reason of its own to
// read it.
TEST_CASE("StoreSyncTest.ARequestedVerificationAsksTheStoreForChangesAlthoughReadersCoverIt") {
    store_sync sync;
    record_reader_role(sync, false, at_ms(0));
    request_verification(sync, store_dataset::configuration);
    record_read(sync, start_read(sync, store_dataset::configuration, 0), at_ms(0), at_ms(4));
    set_coverage_deadline(sync, at_ms(100'000));
    due_read due{};
    REQUIRE_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(2000), due));
    request_verification(sync, store_dataset::configuration);
    REQUIRE(start_read_if_due(sync, store_dataset::configuration, at_ms(2000), due));
    CHECK(due.kind == read_kind::catch_up);
    record_read(sync, due, at_ms(2000), at_ms(2204));
    CHECK(sync_of(sync, store_dataset::configuration).verified_at == at_ms(2000));
    request_verification(sync, store_dataset::configuration);
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(2900), due));
    CHECK(start_read_if_due(sync, store_dataset::configuration, at_ms(2000) + min_watch_period, due));
}

// Guards against an unknown host that is not looked up because readers' reports cover the listing.
TEST_CASE("StoreSyncTest.RequestedReadDoesNotWaitForReaders") {
    auto sync = covered_sync(100'000);
    request_full_read(sync, store_dataset::listing, at_ms(10));
    CHECK(start_read(sync, store_dataset::listing, 10).kind == read_kind::full);
}

// --- Own reads --------------------------------------------------------------------------------------------

/// Returns the state of a director that is no reader and whose coverage has ended.
store_sync uncovered_sync(std::int64_t own_read_at_ms) {
    auto sync = covered_sync(own_read_at_ms);
    record_reader_role(sync, false, at_ms(4));
    return sync;
}

// Guards against a watch that is held for seconds where the answer decides whether this director takes over.
TEST_CASE("StoreSyncTest.OwnReadsAskForChangesAndWaitBriefly") {
    auto sync = uncovered_sync(1500);
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(1499), due));
    CHECK(start_read(sync, store_dataset::listing, 1500).kind == read_kind::catch_up);
    CHECK(start_read(sync, store_dataset::configuration, 1500).kind == read_kind::catch_up);
}

// Load pattern: the store is down for a whole failure domain. Guards against calls of each of its directors
// twice a second and for both datasets.
TEST_CASE("StoreSyncTest.OwnReadsOfAStoreThatDoesNotAnswerAreRareAndOfTheListingAlone") {
    auto sync = uncovered_sync(1500);
    (void)start_read(sync, store_dataset::listing, 1500);
    (void)start_read(sync, store_dataset::configuration, 1500);
    (void)record_read_failure(sync, store_dataset::listing, false, at_ms(1504));
    (void)record_read_failure(sync, store_dataset::configuration, false, at_ms(1504));
    CHECK(earliest_read_at(sync) == at_ms(1504) + own_read_retry_wait);
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(60'000), due));
    const auto listing = start_read(sync, store_dataset::listing, 60'000);
    record_read(sync, listing, at_ms(60'000), at_ms(60'004));
    CHECK(start_read_if_due(sync, store_dataset::configuration, at_ms(60'004), due));
}

// Guards against a director whose wait after a failed read, which relied on readers, goes on after they are
// lost: its next read came up to 3 s later.
TEST_CASE("StoreSyncTest.TheWaitAfterAFailedReadEndsWithTheCoverage") {
    auto sync = covered_sync(100'000);
    record_reader_role(sync, false, at_ms(4));
    request_full_read(sync, store_dataset::listing, at_ms(1000));
    (void)start_read(sync, store_dataset::listing, 1000);
    (void)record_read_failure(sync, store_dataset::listing, true, at_ms(1004));
    REQUIRE(sync_of(sync, store_dataset::listing).next_read_at == at_ms(1004) + covered_read_retry_wait);
    record_coverage_loss(sync, at_ms(1100));
    set_coverage_deadline(sync, at_ms(1600));
    CHECK(start_read(sync, store_dataset::listing, 1600).kind == read_kind::full);
}

// --- Starts of many directors -----------------------------------------------------------------------------

/// Returns the state of a director that has just started and is no reader.
store_sync starting_sync() {
    store_sync sync;
    record_reader_role(sync, false, at_ms(0));
    return sync;
}

// Load pattern: hundreds of directors start at once. Guards against as many of the expensive, rate-limited
// reads of the newest state as there are directors.
TEST_CASE("StoreSyncTest.DirectorThatIsNoReaderStartsFromCachedAnswers") {
    auto sync = starting_sync();
    const auto listing = start_read(sync, store_dataset::listing, 0);
    CHECK(listing.kind == read_kind::full_cached);
    record_read(sync, listing, at_ms(0), at_ms(20));
    CHECK(start_read(sync, store_dataset::configuration, 0).kind == read_kind::full_cached);
    (void)record_read_failure(sync, store_dataset::configuration, false, at_ms(700));
    CHECK(start_read(sync, store_dataset::configuration, 800).kind == read_kind::full_cached);
    set_coverage_deadline(sync, at_ms(3000));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(2999), due));
}

// Load pattern: the whole fleet starts with a configuration of 1,300 routes in force. Guards against open
// flows that wait for the configuration although only the listing is needed to forward their packets.
TEST_CASE("StoreSyncTest.ReadsTheFirstListingBeforeTheFirstConfiguration") {
    auto sync = starting_sync();
    const auto listing = start_read(sync, store_dataset::listing, 0);
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(1), due));
    auto failing = sync;
    record_read(sync, listing, at_ms(0), at_ms(150));
    CHECK(start_read_if_due(sync, store_dataset::configuration, at_ms(150), due));
    // A listing that cannot be read does not delay the configuration for ever.
    (void)record_read_failure(failing, store_dataset::listing, false, at_ms(700));
    CHECK(start_read_if_due(failing, store_dataset::configuration, at_ms(700), due));
}

// Guards against a reader that lacks, and does not relay, what a cached answer has left out.
TEST_CASE("StoreSyncTest.NewReaderReadsTheNewestListingUnlessItsOwnIsConfirmed") {
    auto sync = starting_sync();
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(20));
    auto confirmed = sync;
    record_reader_role(sync, true, at_ms(900));
    CHECK(start_read(sync, store_dataset::listing, 900).kind == read_kind::full);
    record_confirmation(confirmed, store_dataset::listing);
    record_reader_role(confirmed, true, at_ms(900));
    CHECK(start_read(confirmed, store_dataset::listing, 900).kind == read_kind::watch);
}

// Replays azulejo-austro-large scale-1: directors that were added read cached pages of different age, which
// lacked a drain older than their newest entry. A catch-up read then raised the directors' revision above the
// readers' without bringing the drain, and nothing showed the difference any more (rule DRAIN, 36 ms late
// after 6 s).
TEST_CASE("StoreSyncTest.ReadsInFullWhenAListingFromCachedAnswersDiffers") {
    auto sync = starting_sync();
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(100));
    set_coverage_deadline(sync, at_ms(100'000));
    set_behind(sync, store_dataset::listing, true, at_ms(110));
    CHECK(start_read(sync, store_dataset::listing, 410).kind == read_kind::full);
}

// Guards against a listing from cached answers that stays incomplete because the readers are behind this
// director, so that their digests show nothing about its listing.
TEST_CASE("StoreSyncTest.ReadsInFullWhenNoReaderConfirmsAListingFromCachedAnswers") {
    auto sync = starting_sync();
    record_read(sync, start_read(sync, store_dataset::listing, 0), at_ms(0), at_ms(100));
    set_coverage_deadline(sync, at_ms(100'000));
    set_behind(sync, store_dataset::listing, false, at_ms(110));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::listing, at_ms(3099), due));
    auto confirmed = sync;
    CHECK(start_read(sync, store_dataset::listing, 3100).kind == read_kind::full);
    record_confirmation(confirmed, store_dataset::listing);
    CHECK_FALSE(start_read_if_due(confirmed, store_dataset::listing, at_ms(10'000), due));
}

// Guards against a reader with an incomplete listing when the director becomes a reader before the cached
// answer of its first read has arrived.
TEST_CASE("StoreSyncTest.NewReaderReadsTheNewestListingAfterACachedReadInProgress") {
    auto sync = starting_sync();
    const auto first = start_read(sync, store_dataset::listing, 0);
    record_reader_role(sync, true, at_ms(10));
    record_read(sync, first, at_ms(0), at_ms(20));
    const auto second = start_read(sync, store_dataset::listing, 20);
    CHECK(second.kind == read_kind::full);
    record_read(sync, second, at_ms(20), at_ms(30));
    CHECK(start_read(sync, store_dataset::listing, 30).kind == read_kind::watch);
}

// Guards against a director that reads a stale first configuration from cached answers again and again.
TEST_CASE("StoreSyncTest.ReadsTheNewestStateWhenTheFirstConfigurationStaysStale") {
    auto sync = starting_sync();
    std::int64_t now_ms = 0;
    for (std::uint32_t read = 0; read < max_stale_cached_reads; ++read) {
        CHECK(start_read(sync, store_dataset::configuration, now_ms).kind == read_kind::full_cached);
        record_stale_read(sync, store_dataset::configuration, at_ms(now_ms));
        now_ms += std::chrono::milliseconds{stale_read_retry_wait}.count();
    }
    CHECK(start_read(sync, store_dataset::configuration, now_ms).kind == read_kind::full);
}

// Load pattern: a fleet of hundreds waits for its operator's first configuration. Guards against all of them
// asking the store for it twice a second.
TEST_CASE("StoreSyncTest.OnlyReadersLookForTheFirstConfigurationWhileTheyReport") {
    auto sync = starting_sync();
    (void)start_read(sync, store_dataset::configuration, 0);
    record_absence(sync, store_dataset::configuration, at_ms(4));
    set_coverage_deadline(sync, at_ms(1504));
    due_read due{};
    CHECK_FALSE(start_read_if_due(sync, store_dataset::configuration, at_ms(1503), due));
    set_behind(sync, store_dataset::configuration, true, at_ms(1400));
    CHECK(start_read(sync, store_dataset::configuration, 1400).kind == read_kind::full_cached);
    record_absence(sync, store_dataset::configuration, at_ms(1404));
    CHECK(sync_of(sync, store_dataset::configuration).next_read_at == at_ms(1404) + max_read_retry_wait);
}

// Guards against a listing that stays different from the readers' because the missing change is older than
// the revision after which the director asks for changes.
TEST_CASE("StoreSyncTest.ReadsInFullWhenCatchUpReadsLeaveTheListingDifferent") {
    auto sync = covered_sync(100'000);
    std::int64_t now_ms = 5000;
    for (std::uint32_t read = 0; read < max_catch_up_reads; ++read) {
        set_behind(sync, store_dataset::listing, true, at_ms(now_ms));
        now_ms += 2000;
        const auto due = start_read(sync, store_dataset::listing, now_ms);
        CHECK(due.kind == read_kind::catch_up);
        record_read(sync, due, at_ms(now_ms), at_ms(now_ms + 4));
    }
    set_behind(sync, store_dataset::listing, true, at_ms(now_ms + 10));
    CHECK(start_read(sync, store_dataset::listing, now_ms + 2000).kind == read_kind::full);
}

}  // namespace
}  // namespace guavaramp
