#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

// Nested CppUnit suites whose printed path reads as a sentence. The library brings main().
//
//     const testkit::TestSuite story = {"a retried booking", {
//         section("whose first router froze", {
//             test("runs at most once", [] { check(runs() <= 1); }),
//         }),
//     }};
//
// A test program may define several stories, in several files. An argument runs only the tests whose path contains it.
// If JASMINEWOOD_KNOWN_RED names a file, the tests that it lists as "test: PATH" are passed over and printed.

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

// Creates a test. The body fails by check() or by any CppUnit assertion.
auto test(const std::string &name, std::function<auto()->void> body) -> TestSuiteEntry;

// Creates a suite of tests and further suites.
auto section(const std::string &name, std::vector<TestSuiteEntry> parts) -> TestSuiteEntry;

// Registers a top-level suite with the program; define it at namespace scope.
class TestSuite
{
public:
    TestSuite(const std::string &name, std::vector<TestSuiteEntry> parts);
};

// Fails the running test at the caller's line unless the condition holds.
auto check(bool condition, const std::string &message = "condition does not hold", const char *file = __builtin_FILE(),
    int line = __builtin_LINE()) -> void;

} // namespace jasminewood::testkit
