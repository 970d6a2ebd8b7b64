#include "director_fixture.hpp"

#include <guavaramp/director/news_relay.hpp>

#include <property.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace guavaramp {
namespace {

using namespace director_fixture;

std::span<const std::byte> as_bytes(const std::vector<std::uint8_t>& values) {
    return std::as_bytes(std::span{values});
}

endpoint director(std::uint8_t number) { return {.address = from_ipv4(0x0a010000U + number), .port = 7735}; }

std::vector<endpoint> directors(std::uint8_t count) {
    std::vector<endpoint> all;
    for (std::uint8_t number = 0; number < count; ++number) {
        all.push_back(director(number));
    }
    return all;
}

reader_report reliable_report(std::uint64_t revision = 100, std::uint64_t digest = 7) {
    return {.listing = {.revision = revision, .digest = digest},
            .configuration_revision = 50,
            .verified_age_ms = 700,
            .steady_age_ms = 60'000};
}

listing_delta make_delta(std::uint64_t after_revision, std::size_t entries) {
    listing_delta delta{.after_revision = after_revision, .news = {.revision = after_revision + entries}};
    for (std::uint64_t index = 1; index <= entries; ++index) {
        delta.news.reports.push_back(make_report(
            {.id = "i-" + std::to_string(index), .number = index, .revision = after_revision + index}));
    }
    return delta;
}

// --- Messages
// -----------------------------------------------------------------------------------------------

TEST_CASE("NewsRelayTest.AMessageIsReadBackAsItWasWritten") {
    check_property("round trip", [](std::uint64_t revision, std::uint64_t digest, std::uint32_t age,
                                    const std::vector<std::uint32_t>& values) {
        relay_message message{.report = {.listing = {.revision = revision, .digest = digest},
                                         .configuration_revision = digest / 3,
                                         .verified_age_ms = age,
                                         .steady_age_ms = age / 2},
                              .delta = {}};
        if (age % 2 == 0) {
            message.introduction = roster_member{.peer = {.address = director(1),
                                                          .news = director(2),
                                                          .admin = director(3),
                                                          .failure_domain = "domain " + std::to_string(age)},
                                                 .incarnation = digest};
            message.readers = directors(static_cast<std::uint8_t>(age % (most_named_readers + 1)));
            message.expected_incarnation = revision;
            message.wants_after = digest;
            message.pass_to = directors(static_cast<std::uint8_t>(age % (most_passed_on + 1)));
            message.report.store_lost = digest % 2 == 0;
        }
        if (!values.empty()) {
            message.delta = listing_delta{.after_revision = revision / 2, .news = {.revision = revision}};
        }
        for (std::size_t index = 0; index < std::min<std::size_t>(values.size(), 20); ++index) {
            const auto value = values[index];
            auto report = make_report({.id = "i-" + std::to_string(value), .number = value});
            report.phase = upstream_phase(value % 3);
            report.warmup_left_ms = value / 7;
            report.started_unix_ms = std::int64_t{value} * 1000;
            message.delta->news.reports.push_back(report);
            message.delta->news.removed.push_back({.id = "r-" + std::to_string(value), .revision = value});
        }
        const auto read = decode_relay_message(as_bytes(encode_relay_message(message)));
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == message);
    });
}

TEST_CASE("NewsRelayTest.AnyBytesAreAMessageOrMalformed") {
    check_property("decoding is total", [](const std::vector<std::uint8_t>& bytes) {
        const auto read = decode_relay_message(as_bytes(bytes));
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
}

TEST_CASE("NewsRelayTest.AMessageWithAnyByteChangedIsAMessageOrMalformed") {
    check_property("decoding is total near valid messages", [] {
        auto bytes = encode_relay_message({.report = reliable_report(), .delta = make_delta(100, 3)});
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
        const auto read = decode_relay_message(as_bytes(bytes));
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
}

// --- Deltas
// -------------------------------------------------------------------------------------------------

// Guards against changes that are lost or applied out of order when they do not fit one message.
TEST_CASE("NewsRelayTest.ThePartsOfADeltaFollowOneAnotherWithoutAGap") {
    check_property("parts cover the delta", [](std::vector<std::uint8_t> steps) {
        listing_delta delta{.after_revision = 100, .news = {.revision = 100}};
        for (const auto step : steps) {
            delta.news.revision += step % 3;
            const auto id = "i-" + std::to_string(delta.news.reports.size() + delta.news.removed.size());
            if (step % 2 == 0) {
                delta.news.reports.push_back(make_report({.id = id, .revision = delta.news.revision}));
            } else {
                delta.news.removed.push_back({.id = id, .revision = delta.news.revision});
            }
        }
        std::vector<std::uint64_t> all;
        std::ranges::transform(delta.news.reports, std::back_inserter(all), &upstream_report::revision);
        std::ranges::transform(delta.news.removed, std::back_inserter(all), &removed_upstream::revision);
        std::vector<std::uint64_t> sent;
        delta.news.revision += 5;
        std::uint64_t known = delta.after_revision;
        std::size_t changes = 0;
        for (const auto& part : split_delta(delta)) {
            RC_ASSERT(part.after_revision == known);
            RC_ASSERT(part.news.revision >= known);
            RC_ASSERT(fit_of(part, known) == delta_fit::applies || part.news.revision == known);
            const auto entries = part.news.reports.size() + part.news.removed.size();
            RC_ASSERT(entries <= most_relayed_entries);
            for (const auto& report : part.news.reports) {
                RC_ASSERT(report.revision >= known);
                sent.push_back(report.revision);
            }
            for (const auto& removed : part.news.removed) {
                sent.push_back(removed.revision);
            }
            known = part.news.revision;
            changes += entries;
            // A part promises nothing that has not been sent with it or before.
            const auto is_promised = [&delta, known](std::uint64_t revision) {
                return revision > delta.after_revision && revision <= known;
            };
            const auto promised = std::ranges::count_if(all, is_promised);
            const auto delivered = std::ranges::count_if(sent, is_promised);
            RC_ASSERT(promised == delivered);
        }
        RC_ASSERT(known == delta.news.revision);
        RC_ASSERT(changes == steps.size());
    });
}

TEST_CASE("NewsRelayTest.AWholeReadingBecomesADeltaThatBringsAnotherDirectorToTheSameListing") {
    auto reader = make_directory(make_reports(4));
    auto follower = reader;
    upstream_listing listing{.revision = 200, .reports = make_reports(4)};
    listing.reports.erase(listing.reports.begin());
    listing.reports[0].phase = upstream_phase::draining;
    listing.reports[0].revision = 150;
    listing.reports.push_back(make_report({.id = "i-9", .number = 9, .revision = 180}));
    const auto changes = apply_listing(reader, listing, at_ms(0), at_ms(-60'000));
    const auto delta = delta_between(100, listing, changes);
    (void)apply_update(follower, delta.news, at_ms(1), at_ms(-60'000));
    CHECK(digest_of(follower) == digest_of(reader));
    CHECK_FALSE(follower.by_id.at("i-1").listed);
}

// Guards against a reader that missed a change, passed on later ones, and repairs only its own listing.
TEST_CASE("NewsRelayTest.AChangeThatAReaderFindsLateIsPassedOnAlthoughItsRevisionIsOld") {
    auto reader = make_directory(make_reports(2));
    upstream_listing listing{.revision = 200, .reports = make_reports(2)};
    listing.reports[0].phase = upstream_phase::draining;
    listing.reports[0].revision = 120;
    const auto changes = apply_listing(reader, listing, at_ms(0), at_ms(-60'000));
    const auto delta = delta_between(150, listing, changes);
    REQUIRE(delta.news.reports.size() == 1);
    CHECK(delta.news.reports.front().id == "i-1");
}

TEST_CASE("NewsRelayTest.TheDigestChangesWithEachChangeOfTheListing") {
    auto directory = make_directory(make_reports(3));
    const auto before = digest_of(directory);
    (void)apply_update(directory,
                       {.revision = 101, .reports = {}, .removed = {{.id = "i-2", .revision = 101}}},
                       at_ms(0), at_ms(-60'000));
    const auto without = digest_of(directory);
    CHECK(without != before);
    (void)apply_update(directory,
                       {.revision = 102,
                        .reports = {make_report({.id = "i-2", .number = 2, .revision = 102})},
                        .removed = {}},
                       at_ms(0), at_ms(-60'000));
    CHECK(digest_of(directory) != without);
    CHECK(digest_of(directory) != before);
}

// --- Readers
// ------------------------------------------------------------------------------------------------

/// A failure domain whose directors hear each other at once, run until nothing changes any more.
struct domain {
    explicit domain(std::uint8_t count, std::int64_t now_ms)
        : all(directors(count)), alive(count, true), relays(count), roles(count) {
        for (std::size_t index = 0; index < all.size(); ++index) {
            roles[index] = make_role(all[index], at_ms(now_ms));
            note_roster(roles[index], all[index], others(index), true, at_ms(now_ms));
        }
    }

    std::vector<endpoint> others(std::size_t self) const {
        auto listed = all;
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(self));
        return listed;
    }

    /// One step of 10 ms: decisions, and a report of each reader every 700 ms and when it becomes one.
    void step(std::int64_t now_ms) {
        for (std::size_t index = 0; index < all.size(); ++index) {
            if (!alive[index]) {
                continue;
            }
            const bool read_before = roles[index].reads;
            (void)update_role(roles[index], relays[index], all[index], others(index), at_ms(now_ms));
            if (roles[index].reads && (!read_before || now_ms % 700 == 0)) {
                const auto report = store_answers(index) ? reliable_report() : make_lost_report();
                for (std::size_t other = 0; other < all.size(); ++other) {
                    if (other != index && alive[other]) {
                        note_report(relays[other], all[index], report, at_ms(now_ms));
                    }
                }
            }
        }
    }

    std::ptrdiff_t readers() const {
        std::ptrdiff_t count = 0;
        for (std::size_t index = 0; index < all.size(); ++index) {
            count += alive[index] && roles[index].reads ? 1 : 0;
        }
        return count;
    }

    std::ptrdiff_t reliable_readers() const {
        std::ptrdiff_t count = 0;
        for (std::size_t index = 0; index < all.size(); ++index) {
            count += alive[index] && roles[index].reads && store_answers(index) ? 1 : 0;
        }
        return count;
    }

    std::function<bool(std::size_t)> store_answers = [](std::size_t) { return true; };
    std::vector<endpoint> all;
    std::vector<bool> alive;
    std::vector<news_relay> relays;
    std::vector<reader_role> roles;
};

// Guards against calls to the store that grow with the fleet.
TEST_CASE("NewsRelayTest.InAFailureDomainOfAnySizeTwoDirectorsRead") {
    for (const std::uint8_t count : {1, 2, 3, 30, 133}) {
        CAPTURE(count);
        domain fleet{count, 0};
        std::ptrdiff_t most = 0;
        for (std::int64_t now_ms = 0; now_ms < 5000; now_ms += 10) {
            fleet.step(now_ms);
            most = std::max(most, fleet.readers());
        }
        CHECK(fleet.readers() == std::min<std::ptrdiff_t>(count, 2));
        CHECK(most == std::min<std::ptrdiff_t>(count, 2));
    }
}

// Guards against a failure domain without news, and against all its directors asking the store at once.
TEST_CASE("NewsRelayTest.WhenBothReadersAreKilledFewOthersTakeOverWithinTwoSeconds") {
    domain fleet{30, 0};
    for (std::int64_t now_ms = 0; now_ms < 5000; now_ms += 10) {
        fleet.step(now_ms);
    }
    REQUIRE(fleet.readers() == 2);
    for (std::size_t index = 0; index < fleet.all.size(); ++index) {
        fleet.alive[index] = !fleet.roles[index].reads;
    }
    std::int64_t recovered_ms = 0;
    for (std::int64_t now_ms = 5000; now_ms < 10'000; now_ms += 10) {
        fleet.step(now_ms);
        CHECK(fleet.readers() <= 4);
        recovered_ms = recovered_ms == 0 && fleet.readers() >= 2 ? now_ms : recovered_ms;
    }
    CHECK(recovered_ms > 0);
    CHECK(recovered_ms <= 7000);
    CHECK(fleet.readers() == 2);
}

// Load pattern: the store is away for all. Guards against a failure domain whose directors all press it; and
// against one that waits for readers which the store turns away while it would serve others.
TEST_CASE("NewsRelayTest.WhileTheStoreDoesNotAnswerThoseThatTryTheOthersFollowSlowly") {
    domain fleet{133, 0};
    for (std::int64_t now_ms = 0; now_ms < 5000; now_ms += 10) {
        fleet.step(now_ms);
    }
    REQUIRE(fleet.readers() == 2);
    fleet.store_answers = [](std::size_t) { return false; };
    std::int64_t now_ms = 5000;
    for (; now_ms < 9000; now_ms += 10) {
        fleet.step(now_ms);
    }
    CHECK(fleet.readers() >= most_takeover_steps);
    CHECK(fleet.readers() <= 25);
    // The store serves every tenth director.
    fleet.store_answers = [](std::size_t index) { return index % 10 == 0; };
    for (; now_ms < 15'000; now_ms += 10) {
        fleet.step(now_ms);
    }
    CHECK(fleet.reliable_readers() == 2);
}

// Guards against news taken from a director whose own connection to the store has silently died.
TEST_CASE("NewsRelayTest.AReaderThatHasNotVerifiedItsListingLatelyIsNotReliedOn") {
    news_relay relay;
    auto report = reliable_report();
    report.verified_age_ms = 2500;
    note_report(relay, director(1), report, at_ms(0));
    CHECK_FALSE(coverage_at(relay, {.revision = 100, .digest = 7}, at_ms(1)).has_value());
    note_report(relay, director(1), make_greeting(), at_ms(2));
    CHECK_FALSE(coverage_at(relay, {.revision = 100, .digest = 7}, at_ms(3)).has_value());
}

TEST_CASE("NewsRelayTest.AReportStandsForItsSenderUntilItsValidityEnds") {
    news_relay relay;
    note_report(relay, director(1), reliable_report(), at_ms(0));
    const auto coverage = coverage_at(relay, {.revision = 100, .digest = 7}, at_ms(1499));
    REQUIRE(coverage.has_value());
    CHECK(coverage->until == at_ms(1500));
    CHECK(coverage->steady_since == at_ms(-60'000));
    CHECK_FALSE(coverage_at(relay, {.revision = 100, .digest = 7}, at_ms(1500)).has_value());
}

// Guards against a listing that stays different from the readers' after a lost or reordered message.
TEST_CASE("NewsRelayTest.AListingIsConfirmedByAnEqualDigestAndDiffersWithAnotherOne") {
    news_relay relay;
    note_report(relay, director(1), reliable_report(120, 7), at_ms(0));
    const auto equal = coverage_at(relay, {.revision = 100, .digest = 7}, at_ms(1));
    CHECK(equal->confirmed_revision == 120);
    CHECK_FALSE(equal->listing_differs);
    const auto different = coverage_at(relay, {.revision = 100, .digest = 8}, at_ms(1));
    CHECK(different->confirmed_revision == 0);
    CHECK(different->listing_differs);
    // The reader is behind this director, so its other listing means nothing.
    const auto older = coverage_at(relay, {.revision = 121, .digest = 8}, at_ms(1));
    CHECK_FALSE(older->listing_differs);
}

// --- Changes on their way
// ------------------------------------------------------------------------------------

// Load pattern: a release replaces 40% of 480 hosts while a failure domain has 70 to 133 directors. Guards
// against a reader that sends more than its machine's link and its own limit let through, after which each
// director asks the store.
TEST_CASE("NewsRelayTest.AReaderOfALargeFailureDomainSendsAChangeToFewWhoPassItOn") {
    for (const std::uint8_t count : {1, 12, 13, 70, 133}) {
        CAPTURE(count);
        const auto receivers = directors(count);
        const auto groups = spread_groups(receivers, director(200));
        std::vector<endpoint> reached;
        for (const auto& group : groups) {
            CHECK(group.others.size() <= most_passed_on);
            reached.push_back(group.head);
            reached.insert(reached.end(), group.others.begin(), group.others.end());
        }
        CHECK(groups.size() <= most_direct_receivers);
        std::ranges::sort(reached);
        CHECK(reached == receivers);
    }
}

// Guards against members that get no changes while one director is gone that passes them on.
TEST_CASE("NewsRelayTest.TwoReadersSpreadChangesThroughDifferentDirectors") {
    const auto receivers = directors(70);
    const auto first = spread_groups(receivers, director(200));
    const auto second = spread_groups(receivers, director(201));
    const auto head_of = [](const std::vector<spread_group>& groups, const endpoint& member) {
        for (const auto& group : groups) {
            if (std::ranges::count(group.others, member) > 0) {
                return group.head;
            }
        }
        return member;
    };
    const auto same = std::ranges::count_if(receivers, [&](const endpoint& member) {
        return head_of(first, member) == head_of(second, member) && head_of(first, member) != member;
    });
    CHECK(same <= 7);
}

// Load pattern: 120 hosts crash together and their entries lapse at one revision. Guards against a message
// that does not fit a datagram, after which each director asks the store.
TEST_CASE("NewsRelayTest.ManyRemovalsOfOneRevisionFitTheirMessages") {
    auto follower = make_directory(make_reports(200));
    listing_delta delta{.after_revision = 100, .news = {.revision = 101}};
    for (std::uint64_t number = 1; number <= 120; ++number) {
        delta.news.removed.push_back({.id = "i-" + std::to_string(number), .revision = 101});
    }
    std::uint64_t known = 100;
    for (const auto& part : split_delta(delta)) {
        CHECK(encode_relay_message({.report = reliable_report(), .delta = part}).size() < 1200);
        REQUIRE(fit_of(part, known) == delta_fit::applies);
        (void)apply_update(follower, part.news, at_ms(0), at_ms(-60'000));
        known = std::max(known, part.news.revision);
    }
    CHECK(known == 101);
    CHECK(std::ranges::count_if(follower.by_id, [](const auto& item) { return item.second.listed; }) == 80);
}

TEST_CASE("NewsRelayTest.ADeltaAppliesOnlyWithoutAGapAndOnce") {
    const auto delta = make_delta(100, 3);
    CHECK(fit_of(delta, 99) == delta_fit::gap);
    CHECK(fit_of(delta, 100) == delta_fit::applies);
    CHECK(fit_of(delta, 102) == delta_fit::applies);
    CHECK(fit_of(delta, 103) == delta_fit::known);
    const listing_delta promises_nothing{.after_revision = 100, .news = {.revision = 100}};
    CHECK(fit_of(promises_nothing, 100) == delta_fit::applies);
    CHECK(fit_of(promises_nothing, 101) == delta_fit::known);
}

// --- Questions
// ----------------------------------------------------------------------------------------------

// Load pattern: a director starts from a cached listing while hosts come and go, or a message is lost. Guards
// against a call to the store by each of hundreds of directors.
TEST_CASE("NewsRelayTest.ADirectorThatAsksGetsWhatItLacks") {
    auto reader = make_directory(make_reports(30));
    auto follower = reader;
    (void)apply_update(reader,
                       {.revision = 103,
                        .reports = {make_report({.id = "i-31", .number = 31, .revision = 101})},
                        .removed = {{.id = "i-3", .revision = 102}, {.id = "i-4", .revision = 103}}},
                       at_ms(0), at_ms(-60'000));
    const auto delta = delta_since(reader, 103, 100);
    REQUIRE(delta.has_value());
    CHECK(delta->news.reports.size() == 1);
    CHECK(delta->news.removed.size() == 2);
    for (const auto& part : split_delta(*delta)) {
        (void)apply_update(follower, part.news, at_ms(0), at_ms(-60'000));
    }
    CHECK(digest_of(follower) == digest_of(reader));
    CHECK(delta_since(reader, 103, 103)->news.reports.empty());
}

TEST_CASE("NewsRelayTest.ADirectorThatLacksTooMuchReadsTheStore") {
    const auto reader = make_directory(make_reports(most_asked_changes + 1));
    CHECK_FALSE(delta_since(reader, 100, 0).has_value());
}

// Guards against a question for each part of a change that comes in several messages.
TEST_CASE("NewsRelayTest.ADifferenceIsAskedForOnceAndOnlyIfItLasts") {
    news_question question;
    const listing_state own{.revision = 100, .digest = 7};
    note_difference(question, director(1), reliable_report(120, 8), own, at_ms(0));
    note_difference(question, director(2), reliable_report(120, 8), own, at_ms(10));
    CHECK(question.ask_at == at_ms(0) + ask_wait);
    CHECK(question.reader == director(1));
    note_difference(question, director(1), reliable_report(120, 7), own, at_ms(20));
    CHECK(question.ask_at == mono_time::max());
    // A reader that is behind, or not sure of its own listing, is not asked.
    note_difference(question, director(1), reliable_report(99, 8), own, at_ms(30));
    auto unsure = reliable_report(120, 8);
    unsure.verified_age_ms = 2500;
    note_difference(question, director(1), unsure, own, at_ms(30));
    CHECK(question.ask_at == mono_time::max());
}

TEST_CASE("NewsRelayTest.ADirectorThatRanksLateListensForReportsBeforeItReads") {
    const auto all = directors(20);
    std::size_t at_once = 0;
    for (const auto& self : all) {
        auto role = make_role(self, at_ms(0));
        note_roster(role, self, all, true, at_ms(0));
        (void)update_role(role, {}, self, all, at_ms(0));
        at_once += role.reads ? 1 : 0;
        (void)update_role(role, {}, self, all, at_ms(3000));
        CHECK(role.reads);
    }
    CHECK(at_once == readers_per_failure_domain);
}

}  // namespace
}  // namespace guavaramp
