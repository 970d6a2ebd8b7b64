#include <guavaramp/base/nearest_word.hpp>

#include <property.hpp>

#include <vector>

namespace guavaramp {
namespace {

// Guards against a hint that suggests an unrelated word, and against a missing hint for a common typing
// mistake.
TEST_CASE("NearestWordTest.SuggestsCandidateOnlyForLikelyTypingMistake") {
    const std::vector<std::string> words{"dispatch", "records", "show"};
    CHECK(nearest_word("dispacth", words) == "dispatch");
    CHECK(nearest_word("recrods", words) == "records");
    CHECK(nearest_word("shwo", words) == "show");
    CHECK_FALSE(nearest_word("kiln", words).has_value());
    CHECK(nearest_word_hint("shw", words) == "; did you mean 'show'?");
}

// Guards against out-of-bounds reads when the lengths of the texts differ, and against an asymmetric
// distance.
TEST_CASE("NearestWordTest.EditDistanceIsSymmetricAndBoundedByLongerLength") {
    check_property("distance properties", [](const std::string& left, const std::string& right) {
        const auto distance = edit_distance(left, right);
        RC_ASSERT(distance == edit_distance(right, left));
        RC_ASSERT(distance <= std::max(left.size(), right.size()));
        RC_ASSERT((distance == 0) == (left == right));
    });
}

}  // namespace
}  // namespace guavaramp
