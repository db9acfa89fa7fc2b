#pragma once

#include <rapidcheck.h>

#include "jasminewood/testkit/test_suite.h"

// RapidCheck properties as tests of a suite. The seed is fixed unless RC_PARAMS is set, so that every run of the tests
// has the same result. RapidCheck prints the seed and the shrunk counterexample of a failure.

namespace jasminewood::testkit
{

template <typename Testable>
auto property(const std::string &name, Testable testable) -> TestSuiteEntry
{
    return test(name, [name, testable = std::move(testable)] {
        check(rc::check(name, testable), "property does not hold");
    });
}

} // namespace jasminewood::testkit
