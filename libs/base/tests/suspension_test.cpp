#include <guavaramp/base/suspension.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

TEST_CASE("SuspensionTest.AMachineThatWasNotSuspendedMeanwhileIsNotSaidToHaveBeen") {
    const auto before = suspended_time();
    CHECK_FALSE(was_suspended(before, suspended_time()));
}

TEST_CASE("SuspensionTest.OnlyGrowthOfTheSuspendedTimeIsASuspension") {
    CHECK(was_suspended(milliseconds{10}, milliseconds{3010}));
    CHECK_FALSE(was_suspended(milliseconds{10}, milliseconds{11}));
    CHECK_FALSE(was_suspended(milliseconds{3010}, milliseconds{10}));
}

}  // namespace
}  // namespace guavaramp
