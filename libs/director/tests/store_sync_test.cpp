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
    CHECK(first.whole);
    note_read(sync, first, at_ms(0), at_ms(4));
    CHECK_FALSE(start(sync, store_subject::listing, 4).whole);
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
    CHECK(note_read_failure(sync, store_subject::listing, at_ms(500)));
    CHECK(start(sync, store_subject::listing, 600).whole);
}

TEST_CASE("StoreSyncTest.FailuresAreRetriedAfterGrowingWaitsWithALimit") {
    store_sync sync;
    std::int64_t now_ms = 0;
    std::vector<std::int64_t> waits;
    for (int failure = 0; failure < 6; ++failure) {
        (void)start(sync, store_subject::listing, now_ms);
        (void)note_read_failure(sync, store_subject::listing, at_ms(now_ms));
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
    (void)note_read_failure(sync, store_subject::configuration, at_ms(20));
    CHECK(sync.steady_since == mono_time::max());
    note_read(sync, start(sync, store_subject::configuration, 200), at_ms(200), at_ms(204));
    CHECK(sync.steady_since == at_ms(204));
}

TEST_CASE("StoreSyncTest.OnlyTheFirstFailureIsNews") {
    store_sync sync;
    note_read(sync, start(sync, store_subject::listing, 0), at_ms(0), at_ms(4));
    (void)start(sync, store_subject::listing, 4);
    CHECK(note_read_failure(sync, store_subject::listing, at_ms(500)));
    (void)start(sync, store_subject::listing, 600);
    CHECK_FALSE(note_read_failure(sync, store_subject::listing, at_ms(700)));
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
    CHECK(start(sync, store_subject::configuration, 504).whole);
}

}  // namespace
}  // namespace guavaramp
