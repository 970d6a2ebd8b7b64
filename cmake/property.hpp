#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

/// Checks a rapidcheck property inside a doctest test case. If the property does not hold, the test case
/// fails and rapidcheck prints a report with the seed and the smallest counterexample. RC_PARAMS in the
/// test's environment fixes the seed.
template <typename Property>
void check_property(const std::string& description, Property&& property) {
    const bool holds = rc::check(description, std::forward<Property>(property));
    CHECK_MESSAGE(holds, description);
}
