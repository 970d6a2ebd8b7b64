#include "director_fixture.hpp"

#include <guavaramp/director/host_health.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

TEST_CASE("HostHealthTest.SilenceStartsOneProbeAtATime") {
    host_health health;
    CHECK(note_silence(health, at_ms(0), at_ms(80)));
    note_probe_started(health, at_ms(80));
    CHECK_FALSE(note_silence(health, at_ms(10), at_ms(90)));
}

// Guards against probes of hosts that answer others and are only slow with one request.
TEST_CASE("HostHealthTest.SilenceOfOneFlowIsNoSuspicionWhileOthersAreAnswered") {
    host_health health;
    note_progress(health, at_ms(50));
    CHECK_FALSE(note_silence(health, at_ms(0), at_ms(80)));
}

TEST_CASE("HostHealthTest.ARefusedProbeMakesAHostUnreachableUntilOneSucceeds") {
    host_health health;
    note_probe_started(health, at_ms(0));
    note_probe_ended(health, probe_outcome::refused, at_ms(0), at_ms(3));
    CHECK(is_unreachable(health, at_ms(4)));
    CHECK(is_avoided(health, at_ms(4)));
    note_probe_started(health, at_ms(600));
    note_probe_ended(health, probe_outcome::connected, at_ms(600), at_ms(603));
    CHECK_FALSE(is_unreachable(health, at_ms(604)));
    CHECK_FALSE(is_avoided(health, at_ms(604)));
}

// Guards against resets of flows on old evidence, after a pause of the process for instance.
TEST_CASE("HostHealthTest.AFailedProbeCountsForALimitedTimeOnly") {
    host_health health;
    note_probe_ended(health, probe_outcome::silent, at_ms(0), at_ms(80));
    CHECK(is_unreachable(health, at_ms(80) + unreachable_validity - milliseconds{1}));
    CHECK_FALSE(is_unreachable(health, at_ms(80) + unreachable_validity));
    CHECK(is_avoided(health, at_ms(80) + unreachable_validity));
}

TEST_CASE("HostHealthTest.AnAnswerDuringAProbeOutranksItsFailure") {
    host_health health;
    note_probe_started(health, at_ms(0));
    note_progress(health, at_ms(40));
    note_probe_ended(health, probe_outcome::silent, at_ms(0), at_ms(80));
    CHECK_FALSE(is_unreachable(health, at_ms(81)));
}

TEST_CASE("HostHealthTest.AnUnreachableHostIsProbedAgainAfterThePeriod") {
    host_health health;
    note_probe_ended(health, probe_outcome::silent, at_ms(0), at_ms(80));
    CHECK_FALSE(is_probe_due(health, at_ms(81)));
    CHECK(is_probe_due(health, at_ms(80) + probe_period_unreachable));
}

// Replays azulejo-austro scale-2 --seed 358506619969, second 14: a draining host has stopped listening and
// still works on a request; 80 ms after that came, a probe is refused. Guards against a reset of the flow
// (FLOW).
TEST_CASE("HostHealthTest.ADrainingHostThatRefusesOneProbeIsNotUnreachableYet") {
    host_health health;
    note_progress(health, at_ms(4000));
    note_probe_started(health, at_ms(14'331));
    note_draining_probe_ended(health, probe_outcome::refused, at_ms(14'331), at_ms(14'335));
    CHECK_FALSE(is_unreachable(health, at_ms(14'336)));
    CHECK_FALSE(is_probe_due(health, at_ms(14'500)));
    REQUIRE(is_probe_due(health, at_ms(14'735)));
    note_probe_started(health, at_ms(14'735));
    note_draining_probe_ended(health, probe_outcome::refused, at_ms(14'735), at_ms(14'739));
    CHECK(is_unreachable(health, at_ms(14'740)));
}

TEST_CASE("HostHealthTest.AnAnswerAfterARefusalOfADrainingHostEndsTheDoubt") {
    host_health health;
    note_probe_started(health, at_ms(100));
    note_draining_probe_ended(health, probe_outcome::refused, at_ms(100), at_ms(104));
    note_answer(health, at_ms(20), at_ms(150));
    CHECK_FALSE(is_probe_due(health, at_ms(1000)));
    note_probe_started(health, at_ms(1000));
    note_draining_probe_ended(health, probe_outcome::refused, at_ms(1000), at_ms(1004));
    CHECK_FALSE(is_unreachable(health, at_ms(1005)));
}

TEST_CASE("HostHealthTest.AHostThatStallsAgainIsAvoidedForLongerUpToALimit") {
    host_health health;
    std::vector<std::int64_t> avoided_ms;
    for (int stall = 0; stall < 5; ++stall) {
        const auto now = at_ms(stall * 30'000 + 1000);
        (void)note_overdue(health, now - milliseconds{1000}, now - milliseconds{600});
        (void)note_overdue(health, now - milliseconds{800}, now - milliseconds{400});
        (void)note_overdue(health, now - milliseconds{400}, now);
        CHECK(is_stalled(health, now));
        note_stalled(health, milliseconds{0}, now);
        avoided_ms.push_back(std::chrono::duration_cast<milliseconds>(health.avoid_until - now).count());
    }
    CHECK(avoided_ms == std::vector<std::int64_t>{3000, 6000, 12000, 24000, 24000});
}

TEST_CASE("HostHealthTest.AHostThatStalledIsTriedByOneFlowAtATimeUntilItAnswers") {
    host_health health;
    note_stalled(health, milliseconds{100}, at_ms(0));
    CHECK(is_avoided(health, at_ms(3099)));
    CHECK_FALSE(is_on_trial(health, at_ms(3099)));
    CHECK_FALSE(is_avoided(health, at_ms(3100)));
    CHECK(is_on_trial(health, at_ms(3100)));
    note_trial(health, at_ms(3100));
    CHECK(is_avoided(health, at_ms(3101)));
    note_answer(health, at_ms(3110), at_ms(3130));
    CHECK_FALSE(is_avoided(health, at_ms(3131)));
    CHECK_FALSE(is_on_trial(health, at_ms(3131)));
}

// Guards against an answer from before the verdict, reported late, that ends it.
TEST_CASE("HostHealthTest.OnlyAnAnswerAfterTheVerdictEndsAStall") {
    host_health health;
    note_stalled(health, milliseconds{0}, at_ms(1000));
    note_answer_elsewhere(health, at_ms(990));
    CHECK(is_avoided(health, at_ms(1001)));
    note_answer_elsewhere(health, at_ms(1010));
    CHECK_FALSE(is_avoided(health, at_ms(1011)));
}

TEST_CASE("HostHealthTest.AnswerTimesAreAveraged") {
    host_health health;
    note_answer(health, at_ms(0), at_ms(20));
    CHECK(health.answer_time_ms == doctest::Approx(20));
    note_answer(health, at_ms(100), at_ms(140));
    CHECK(health.answer_time_ms > 20);
    CHECK(health.answer_time_ms < 40);
}

}  // namespace
}  // namespace guavaramp
