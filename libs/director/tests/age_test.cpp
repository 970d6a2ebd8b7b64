#include "director_fixture.hpp"

#include <guavaramp/director/age.hpp>

namespace guavaramp {
namespace {

using namespace director_fixture;

// Guards against an age that wraps around, which makes a time that was never set look recent.
TEST_CASE("AgeTest.IsNeverNegativeAndNeverWraps") {
    CHECK(age_ms(at_ms(10), at_ms(35)) == 25);
    CHECK(age_ms(at_ms(35), at_ms(10)) == 0);
    CHECK(age_ms(at_ms(0), at_ms(std::int64_t{1} << 40)) == 0xffff'ffffU);
}

}  // namespace
}  // namespace guavaramp
