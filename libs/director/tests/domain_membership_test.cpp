#include "director_fixture.hpp"

#include <guavaramp/director/domain_membership.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

endpoint socket_of(std::uint8_t number, std::uint16_t port) {
    return {.address = from_ipv4(0x0a010000U + number), .port = port};
}

domain_member member(std::uint8_t number, std::uint64_t incarnation = 100) {
    return {.peer = {.observation_address = socket_of(number, 7720),
                     .update_address = socket_of(number, 7721),
                     .admin_address = socket_of(number, 8166),
                     .failure_domain = "centro"},
            .incarnation = incarnation};
}

std::size_t count_at(const member_table& table, std::int64_t now_ms) {
    return live_members(table, at_ms(now_ms)).size();
}

TEST_CASE("DomainMembershipTest.DecodesAnEncodedEntry") {
    const reader_entry entry{.reader = member(1, 7), .members = {member(2), member(3)}};
    CHECK(*decode_reader_entry(encode_reader_entry(entry)) == entry);
}

TEST_CASE("DomainMembershipTest.DecodingRejectsTextsThatAreNoReadersEntry") {
    for (const auto* text :
         {"", "{}", "[]", R"({"failure_domain":"c","reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7",8]})",
          R"({"failure_domain":"c","members":[]})",
          R"({"reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7",8],"members":[]})",
          R"({"failure_domain":3,"reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7",8],"members":[]})",
          R"({"failure_domain":"c","reader":["x","1.2.3.4:6","1.2.3.4:7",8],"members":[]})",
          R"({"failure_domain":"c","reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7"],"members":[]})",
          R"({"failure_domain":"c","reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7",-8],"members":[]})",
          R"({"failure_domain":"c","reader":["1.2.3.4:5","1.2.3.4:6","1.2.3.4:7",8],"members":[3]})"}) {
        CAPTURE(text);
        CHECK(decode_reader_entry(text).error().kind == error_kind::malformed);
    }
}

// Guards against an entry, written by another program, that makes the process exit.
TEST_CASE("DomainMembershipTest.DecodesAnEntryWithOneCharacterChangedToAnEntryOrMalformed") {
    const auto text = encode_reader_entry({.reader = member(1), .members = {member(2)}});
    check_property("decoding is total", [&text](std::size_t position, char value) {
        auto changed = text;
        changed[position % changed.size()] = value;
        const auto read = decode_reader_entry(changed);
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
}

TEST_CASE("DomainMembershipTest.MemberIsLiveUntilItsLastIntroductionExpires") {
    member_table table;
    CHECK(record_introduction(table, member(1), at_ms(0)));
    CHECK_FALSE(record_introduction(table, member(1, 101), at_ms(10'000)));
    CHECK(count_at(table, 39'999) == 1);
    CHECK(count_at(table, 40'000) == 0);
    CHECK(record_introduction(table, member(1, 102), at_ms(41'000)));
}

// Guards against a director that has left and stays a member for ever because each of two readers takes it
// from the other's entry.
TEST_CASE("DomainMembershipTest.TwoReadersDoNotKeepAMemberLiveThatIsGone") {
    member_table first;
    member_table second;
    for (auto* table : {&first, &second}) {
        (void)record_introduction(*table, member(9), at_ms(0));
    }
    const auto entry_of = [](const member_table& table, std::uint8_t reader, std::int64_t now_ms) {
        return reader_entry{.reader = member(reader), .members = live_members(table, at_ms(now_ms))};
    };
    auto written_by_first = entry_of(first, 1, 0);
    auto written_by_second = entry_of(second, 2, 0);
    // Models readers that write 2 s after they have read and read 10 s after they have written; both happen
    // in one step of 10 s here.
    for (std::int64_t now_ms = 10'000; now_ms <= 120'000; now_ms += 10'000) {
        (void)record_introduction(first, member(2), at_ms(now_ms));
        (void)record_introduction(second, member(1), at_ms(now_ms));
        (void)record_listed_members(first, std::span{&written_by_second, 1}, member(1).peer.update_address,
                                    true, at_ms(now_ms));
        (void)record_listed_members(second, std::span{&written_by_first, 1}, member(2).peer.update_address,
                                    true, at_ms(now_ms));
        purge_expired_members(first, at_ms(now_ms));
        purge_expired_members(second, at_ms(now_ms));
        written_by_first = entry_of(first, 1, now_ms);
        written_by_second = entry_of(second, 2, now_ms);
    }
    CHECK(count_at(first, 120'000) == 1);
    CHECK(count_at(second, 120'000) == 1);
}

// Guards against a director that finds the entry it wrote before its restart, sends its updates to itself and
// takes its own report for that of another reader.
TEST_CASE("DomainMembershipTest.DirectorIsNotAMemberOfItsOwnTable") {
    member_table table;
    const std::vector<reader_entry> entries{{.reader = member(1), .members = {member(2)}},
                                            {.reader = member(2), .members = {member(1)}}};
    (void)record_listed_members(table, entries, member(1).peer.update_address, false, at_ms(0));
    CHECK(live_members(table, at_ms(0)) == std::vector{member(2)});
}

TEST_CASE("DomainMembershipTest.DirectorWithoutAnEntryTakesTheMembersThatReadersName") {
    member_table table;
    const reader_entry entry{.reader = member(1), .members = {member(2), member(3)}};
    CHECK(record_listed_members(table, std::span{&entry, 1}, member(7).peer.update_address, false, at_ms(0)));
    CHECK(count_at(table, 0) == 3);
    CHECK_FALSE(record_listed_members(table, std::span{&entry, 1}, member(7).peer.update_address, false,
                                      at_ms(20'000)));
    CHECK(count_at(table, 45'000) == 3);
}

// Guards against a write to the store for each director that restarts.
TEST_CASE("DomainMembershipTest.DigestStaysTheSameWhenAMemberRestarts") {
    const std::vector<domain_member> before{member(1, 100), member(2, 100)};
    const std::vector<domain_member> after{member(1, 200), member(2, 100)};
    CHECK(digest_of(before) == digest_of(after));
    CHECK(digest_of(before) != digest_of(std::span{before}.first(1)));
}

// Guards against a director whose messages are refused because its clock was set back before its restart.
TEST_CASE("DomainMembershipTest.IncarnationIsRaisedOnlyAboveAHigherOneThatOthersKnow") {
    CHECK(next_incarnation(5000, 7400) == 7401);
    CHECK(next_incarnation(5000, 4000) == 5000);
    CHECK(next_incarnation(5000, 5000) == 5000);
}

}  // namespace
}  // namespace guavaramp
