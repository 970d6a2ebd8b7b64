#include "director_fixture.hpp"

#include <guavaramp/director/neighbours.hpp>

#include <property.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

known_neighbour make_neighbour(const char* packet_address, const char* failure_domain,
                               std::int64_t answered_at_ms) {
    return {.answer = {.packet_address = *parse_endpoint(packet_address),
                       .failure_domain = failure_domain,
                       .domain_admin_addresses = {}},
            .answered_at = at_ms(answered_at_ms)};
}

TEST_CASE("NeighboursTest.DecodesAnEncodedAnswer") {
    const neighbour_answer answer{.packet_address = *parse_endpoint("10.1.0.10:8172"),
                                  .failure_domain = "centro",
                                  .domain_admin_addresses = {*parse_endpoint("10.1.0.11:8166")}};
    CHECK(*decode_neighbour_answer(encode_neighbour_answer(answer)) == answer);
}

TEST_CASE("NeighboursTest.DecodesAnyTextToAnAnswerOrMalformed") {
    check_property("decoding is total", [](const std::string& text) {
        const auto read = decode_neighbour_answer(text);
        RC_ASSERT((read.has_value() || read.error().kind == error_kind::malformed));
    });
    for (const auto* text :
         {"{}", R"({"packets":"x","failure_domain":"c","others":[]})",
          R"({"packets":"1.2.3.4:5","others":[]})", R"({"packets":5,"failure_domain":"c","others":[]})",
          R"({"packets":"1.2.3.4:5","failure_domain":"c"})",
          R"({"packets":"1.2.3.4:5","failure_domain":"c","others":[4]})"}) {
        CAPTURE(text);
        CHECK(decode_neighbour_answer(text).error().kind == error_kind::malformed);
    }
}

// Guards against packets that are passed on to another failure domain, which a partition may have cut off.
TEST_CASE("NeighboursTest.PrefersANeighbourOfTheOwnFailureDomain") {
    const std::vector neighbours{make_neighbour("10.2.0.1:8172", "gualaceo", 0),
                                 make_neighbour("10.1.0.1:8172", "centro", 0),
                                 make_neighbour("10.1.0.2:8172", "centro", 0)};
    CHECK(choose_neighbour(neighbours, "centro", at_ms(1)) == parse_endpoint("10.1.0.1:8172").value());
    CHECK(choose_neighbour(neighbours, "azogues", at_ms(1)) == parse_endpoint("10.2.0.1:8172").value());
}

// Replays a fleet of 300 directors that all start while the store is unavailable. Guards against three
// directors that the others poll a thousand times a second.
TEST_CASE("NeighboursTest.PollWaitGrowsUpToALimitWhileNoNeighbourAnswers") {
    std::chrono::milliseconds wait{neighbour_search_delay};
    std::int64_t poll_count = 0;
    for (std::chrono::milliseconds at = wait; at < std::chrono::seconds{10}; at += wait) {
        ++poll_count;
        wait = next_neighbour_poll_wait(wait, false);
    }
    CHECK(poll_count <= std::chrono::seconds{10} / max_neighbour_poll_period + 1);
    CHECK(wait == max_neighbour_poll_period);
    CHECK(next_neighbour_poll_wait(wait, true) == neighbour_poll_period);
}

// Guards against packets that are passed on to a director which is gone.
TEST_CASE("NeighboursTest.DoesNotChooseANeighbourWhoseAnswerHasExpired") {
    const std::vector neighbours{make_neighbour("10.1.0.1:8172", "centro", 0), known_neighbour{}};
    CHECK(choose_neighbour(neighbours, "centro", at_ms(0) + neighbour_answer_validity - milliseconds{1})
              .has_value());
    CHECK_FALSE(choose_neighbour(neighbours, "centro", at_ms(0) + neighbour_answer_validity).has_value());
}

}  // namespace
}  // namespace guavaramp
