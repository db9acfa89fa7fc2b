#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <variant>
#include <vector>

// Nested CppUnit suites whose printed path reads as a sentence. The library defines main().
//
//     const testkit::TestSuite suite = {"a retried booking", {
//         section("whose first router froze", {
//             test("runs at most once", [] { check(runs() <= 1); }),
//         }),
//     }};
//
// A test program may define several suites, in several files. An argument runs only the tests whose path contains it.
// If the environment variable JASMINEWOOD_KNOWN_RED names a file, the tests that it lists as "test: PATH" are printed
// and skipped.

namespace jasminewood::testkit
{

struct Test
{
    const std::string name_;
    const std::function<auto()->void> body_;
};

struct TestSection;

using TestSuiteEntry = std::variant<Test, TestSection>;

struct TestSection
{
    const std::string name_;
    const std::vector<TestSuiteEntry> entries_;
};

// Creates a test, which fails if check() or any CppUnit assertion in its body fails.
auto test(const std::string &name, std::function<auto()->void> body) -> TestSuiteEntry;

// Creates a suite of tests and further suites.
auto section(const std::string &name, std::vector<TestSuiteEntry> entries) -> TestSuiteEntry;

// Registers a top-level suite with the test program. Define it at namespace scope.
class TestSuite
{
public:
    TestSuite(const std::string &name, std::vector<TestSuiteEntry> entries);
};

// Fails the running test, with the caller's file and line, unless the condition holds.
auto check(bool condition, const std::string &message = "condition does not hold", const char *file = __builtin_FILE(),
    int line = __builtin_LINE()) -> void;

// Runs the function on a thread with a stack of this size and waits for it. Passes on an exception.
auto runWithStack(std::size_t bytes, const std::function<auto()->void> &body) -> void;

} // namespace jasminewood::testkit
