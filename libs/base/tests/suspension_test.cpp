#include <guavaramp/base/suspension.hpp>

#include <doctest/doctest.h>

namespace guavaramp {
namespace {

using std::chrono::milliseconds;

// Guards against taking the delay between the readings of the two clocks for a suspension.
TEST_CASE("SuspensionTest.ReportsNoSuspensionBetweenTwoImmediateReadings") {
    const auto before = suspended_time();
    CHECK_FALSE(was_suspended(before, suspended_time()));
}

// Guards against taking clock jitter, or a suspended time that is smaller than before, for a suspension.
TEST_CASE("SuspensionTest.ReportsSuspensionOnlyWhenSuspendedTimeGrewByTheMinimum") {
    CHECK(was_suspended(milliseconds{10}, milliseconds{3010}));
    CHECK_FALSE(was_suspended(milliseconds{10}, milliseconds{11}));
    CHECK_FALSE(was_suspended(milliseconds{3010}, milliseconds{10}));
}

}  // namespace
}  // namespace guavaramp
