#include "director_fixture.hpp"

#include <guavaramp/director/store_sync.hpp>

#include <property.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <optional>
#include <vector>

namespace guavaramp {
namespace {

using namespace director_fixture;

// A reader on a machine that runs its handlers late: for how long the store has a watch of each dataset open.

constexpr auto answer_time = milliseconds{4};
/// A simulation starts with disturbances. What the store has open is measured from one period after the
/// answer to the last disturbed read has been handled.
const auto disturbed_until = at_ms(10'000);
constexpr auto longest_delay = milliseconds{3000};
/// How late the answer is handled after `disturbance::late_wake_up`, besides other delays.
constexpr auto late_wake_up_delay = milliseconds{900};
const auto measured_from =
    disturbed_until + 2 * verification_period + answer_time + longest_delay + late_wake_up_delay;
const auto measured_until = at_ms(100'000);

/// What happens while a read is in progress.
enum class disturbance : std::uint8_t { none, change, failure, loss_of_role, suspension, late_wake_up };

constexpr std::size_t disturbance_count = 6;

struct read_in_progress {
    due_read read;
    mono_time started{};
    mono_time handled_at{};
    bool brings_change{false};
    bool fails{false};
};

/// The watches of a dataset between `measured_from` and `measured_until`.
struct watch_record {
    milliseconds open{0};         ///< total time for which one was open
    milliseconds longest_gap{0};  ///< longest time without one
    mono_time open_until{measured_from};
    std::uint64_t calls{0};
};

struct late_reader {
    std::vector<milliseconds> delays;       ///< of the wake-ups, in turn
    std::vector<disturbance> disturbances;  ///< of the first reads
    store_sync sync;
    std::array<std::optional<read_in_progress>, store_dataset_count> reads;
    std::array<watch_record, store_dataset_count> watches;
    mono_time timer_at{};
    std::size_t wake_ups{0};
    std::size_t started_reads{0};
};

milliseconds next_delay(late_reader& reader) {
    return reader.delays.empty() ? milliseconds{0} : reader.delays[reader.wake_ups++ % reader.delays.size()];
}

disturbance next_disturbance(late_reader& reader, mono_time now) {
    const auto number = reader.started_reads++;
    return now < disturbed_until && number < reader.disturbances.size() ? reader.disturbances[number]
                                                                        : disturbance::none;
}

milliseconds to_milliseconds(mono_time::duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration);
}

void record_gap(watch_record& watches, mono_time next_opened_at) {
    watches.longest_gap = std::max(watches.longest_gap, to_milliseconds(next_opened_at - watches.open_until));
}

void record_watch(watch_record& watches, mono_time opened_at, mono_time closed_at) {
    const auto measured_opening = std::max(opened_at, measured_from);
    const auto measured_closing = std::min(closed_at, measured_until);
    watches.calls += opened_at >= measured_from ? 1 : 0;
    if (measured_closing > measured_opening) {
        record_gap(watches, measured_opening);
        watches.open += to_milliseconds(measured_closing - measured_opening);
        watches.open_until = measured_closing;
    }
}

void start_due_reads(late_reader& reader, mono_time now) {
    for (const auto dataset : {store_dataset::listing, store_dataset::configuration}) {
        due_read due{};
        if (!start_read_if_due(reader.sync, dataset, now, due)) {
            continue;
        }
        read_in_progress read{.read = due, .started = now};
        const auto disturbed = next_disturbance(reader, now);
        read.brings_change = disturbed == disturbance::change;
        read.fails = disturbed == disturbance::failure;
        const auto held_until = std::max(due.hold_until, now);
        const auto closed_at = read.brings_change || read.fails ? now + (held_until - now) / 3 : held_until;
        read.handled_at = closed_at + answer_time + next_delay(reader);
        if (disturbed == disturbance::late_wake_up) {
            read.handled_at += late_wake_up_delay;
        }
        if (disturbed == disturbance::suspension) {
            discard_verification(reader.sync);
        }
        if (due.kind == read_kind::watch) {
            record_watch(reader.watches.at(static_cast<std::size_t>(dataset)), now, closed_at);
        }
        reader.reads.at(static_cast<std::size_t>(dataset)) = read;
        if (disturbed == disturbance::loss_of_role) {
            record_reader_role(reader.sync, false, now);
            set_coverage_deadline(reader.sync, now + milliseconds{300});
            record_reader_role(reader.sync, true, now);
            set_coverage_deadline(reader.sync, mono_time{});
        }
    }
    const auto earliest = earliest_read_at(reader.sync);
    reader.timer_at = earliest == mono_time::max() ? earliest : std::max(earliest, now) + next_delay(reader);
}

void finish_read(late_reader& reader, store_dataset dataset, mono_time now) {
    auto& slot = reader.reads.at(static_cast<std::size_t>(dataset));
    const auto read = *slot;
    slot.reset();
    if (read.fails) {
        (void)record_read_failure(reader.sync, dataset, false, now);
        return;
    }
    record_read(reader.sync, read.read, read.started, now);
    if (read.read.kind == read_kind::watch && !read.brings_change) {
        record_unchanged(reader.sync, read.read, now);
    }
}

void run(late_reader& reader) {
    start_due_reads(reader, at_ms(0));
    while (true) {
        auto now = reader.timer_at;
        std::optional<store_dataset> answered;
        for (const auto dataset : {store_dataset::listing, store_dataset::configuration}) {
            const auto& read = reader.reads.at(static_cast<std::size_t>(dataset));
            if (read && read->handled_at <= now) {
                now = read->handled_at;
                answered = dataset;
            }
        }
        if (now >= measured_until) {
            std::ranges::for_each(reader.watches, [](auto& watches) { record_gap(watches, measured_until); });
            return;
        }
        if (answered) {
            finish_read(reader, *answered, now);
        }
        start_due_reads(reader, now);
    }
}

std::vector<disturbance> to_disturbances(const std::vector<std::uint8_t>& numbers) {
    std::vector<disturbance> disturbances;
    std::ranges::transform(numbers, std::back_inserter(disturbances), [](std::uint8_t number) {
        return static_cast<disturbance>(number % disturbance_count);
    });
    return disturbances;
}

/// Returns the least time for which watches must be open if no handler runs later than `max_delay`: of two
/// watches one holds for `min_watch_hold`, and each is followed by the next one.
milliseconds least_open_time(milliseconds max_delay) {
    const auto longest_gaps = 2 * (max_delay + answer_time);
    const auto cycle = min_watch_hold + longest_gaps;
    const auto cycles = to_milliseconds(measured_until - measured_from) / cycle;
    return cycles * min_watch_hold;
}

// Load pattern: each wake-up is late by the same time, as on a machine that gets its processors in slices,
// and a few are later. Guards against a reader that asks for changes at once and then waits, again and again,
// so that no watch is open when a change comes (review case 11: no moment with the watches of both readers
// open).
TEST_CASE("LateWakeUpTest.AReaderHasWatchesOpenAllTheTimeButForItsDelays") {
    for (auto delay = milliseconds{0}; delay <= longest_delay; delay += milliseconds{25}) {
        late_reader reader{.delays = {delay},
                           .disturbances = {disturbance::none, disturbance::none, disturbance::late_wake_up,
                                            disturbance::none, disturbance::late_wake_up}};
        run(reader);
        for (const auto& watches : reader.watches) {
            CAPTURE(delay.count());
            CHECK(watches.longest_gap <= 2 * (delay + answer_time));
            CHECK(watches.open >= least_open_time(delay));
        }
    }
}

// Load pattern: wake-ups that are late by any times up to 1 s, after changes, failed reads, losses of the
// role and suspensions. Guards against a state that these lead to and that lasts.
TEST_CASE("LateWakeUpTest.AReaderHasWatchesOpenAgainAfterAnyDisturbances") {
    check_property("time with open watches", [](const std::vector<std::uint16_t>& delays,
                                                const std::vector<std::uint8_t>& disturbances) {
        late_reader reader{.disturbances = to_disturbances(disturbances)};
        auto max_delay = milliseconds{0};
        for (const auto delay : delays) {
            reader.delays.emplace_back(delay % 1000);
            max_delay = std::max(max_delay, reader.delays.back());
        }
        run(reader);
        for (const auto& watches : reader.watches) {
            RC_ASSERT(watches.longest_gap <= 2 * (max_delay + answer_time));
            RC_ASSERT(watches.open >= least_open_time(max_delay));
        }
    });
}

// Guards against a number of calls that grows because watches are short.
TEST_CASE("LateWakeUpTest.APunctualReaderMakesOneCallOfEachDatasetInAPeriod") {
    check_property("calls of a quiet reader", [](const std::vector<std::uint8_t>& disturbances) {
        late_reader reader{.disturbances = to_disturbances(disturbances)};
        run(reader);
        // The first periods may have a further call each, until the two datasets' watches end together.
        const auto periods = (measured_until - measured_from) / mono_time::duration{verification_period};
        for (const auto& watches : reader.watches) {
            RC_ASSERT(watches.calls <= static_cast<std::uint64_t>(periods + 2));
        }
    });
}

// Guards against datasets that are verified at different times for good: each needs reports of its own then,
// which are twice as many.
TEST_CASE("LateWakeUpTest.TheWatchesOfBothDatasetsEndTogetherAfterAnyDisturbances") {
    check_property("time between the two answers", [](const std::vector<std::uint8_t>& disturbances) {
        late_reader reader{.disturbances = to_disturbances(disturbances)};
        run(reader);
        const auto difference = sync_of(reader.sync, store_dataset::listing).watch_due_at -
                                sync_of(reader.sync, store_dataset::configuration).watch_due_at;
        // One of the two may already be the watch of the next period.
        const auto apart =
            to_milliseconds(difference < difference.zero() ? -difference : difference) % verification_period;
        RC_ASSERT(std::min(apart, verification_period - apart) <= answer_time);
    });
}

// Guards against a director that has just taken over and is not relied on until its first watches end.
TEST_CASE("LateWakeUpTest.ANewReaderVerifiesAtOnceAndThenWatches") {
    for (const auto dataset : {store_dataset::listing, store_dataset::configuration}) {
        store_sync sync;
        due_read due{};
        REQUIRE(start_read_if_due(sync, dataset, at_ms(0), due));
        record_read(sync, due, at_ms(0), at_ms(4));
        record_reader_role(sync, false, at_ms(4));
        record_reader_role(sync, true, at_ms(9000));
        REQUIRE(start_read_if_due(sync, dataset, at_ms(9000), due));
        CHECK(due.kind == read_kind::watch);
        CHECK(due.hold_until == at_ms(9000));
        record_read(sync, due, at_ms(9000), at_ms(9004));
        record_unchanged(sync, due, at_ms(9004));
        CHECK(sync_of(sync, dataset).verified_at == at_ms(9000));
        REQUIRE(start_read_if_due(sync, dataset, at_ms(9004), due));
        CHECK(due.hold_until == at_ms(9000) + verification_period);
    }
}

// Guards against a director that was a reader or read for itself, and whose last watch was short: when it
// takes over, or after a suspension, its first watch must not be held.
TEST_CASE("LateWakeUpTest.AShortWatchDoesNotDelayTheFirstVerificationOfANewReaderOrAfterASuspension") {
    for (const bool is_suspended : {false, true}) {
        CAPTURE(is_suspended);
        store_sync sync;
        due_read due{};
        REQUIRE(start_read_if_due(sync, store_dataset::listing, at_ms(0), due));
        record_read(sync, due, at_ms(0), at_ms(4));
        REQUIRE(start_read_if_due(sync, store_dataset::listing, at_ms(1300), due));
        REQUIRE(due.hold_until - at_ms(1300) < min_watch_hold);
        record_read(sync, due, at_ms(1300), at_ms(1404));
        record_unchanged(sync, due, at_ms(1404));
        if (is_suspended) {
            discard_verification(sync);
        } else {
            record_reader_role(sync, false, at_ms(1404));
            record_reader_role(sync, true, at_ms(9000));
        }
        REQUIRE(start_read_if_due(sync, store_dataset::listing, at_ms(9000), due));
        CHECK(due.hold_until == at_ms(9000));
    }
}

}  // namespace
}  // namespace guavaramp
