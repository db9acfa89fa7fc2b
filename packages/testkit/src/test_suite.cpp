#include "jasminewood/testkit/test_suite.h"

#include <chrono>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <utility>

#include <cppunit/Asserter.h>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestSuite.h>
#include <pthread.h>

namespace jasminewood::testkit
{

namespace
{

constexpr const char *defaultRapidCheckParameters = "seed=20261204";

auto registeredSuites() -> std::vector<TestSection> &
{
    static auto suites = std::vector<TestSection>();
    return suites;
}

class FunctionTest : public CppUnit::TestCase
{
public:
    FunctionTest(const std::string &path, std::function<auto()->void> body)
        : CppUnit::TestCase(path)
        , body_(std::move(body))
    {
    }

    auto runTest() -> void override
    {
        body_();
    }

private:
    std::function<auto()->void> body_;
};

// Returns the test paths in the file that the environment variable JASMINEWOOD_KNOWN_RED names, usually KNOWN-RED.txt.
auto knownRedPaths() -> const std::set<std::string> &
{
    static const auto paths = []() -> std::set<std::string> {
        constexpr auto prefix = std::string_view("test: ");
        const auto *name = std::getenv("JASMINEWOOD_KNOWN_RED");
        auto file = std::ifstream(name == nullptr ? "" : name);
        auto listed = std::set<std::string>();
        for (auto line = std::string(); std::getline(file, line);) {
            if (line.starts_with(prefix)) {
                listed.insert(line.substr(prefix.size()));
            }
        }
        return listed;
    }();
    return paths;
}

// Returns a suite that the caller owns. CppUnit requires that a suite owns the tests that are added to it.
auto makeSuite(const TestSection &section, const std::string &parentPath, const std::string &filter)
    -> CppUnit::TestSuite *
{
    const auto path = parentPath.empty() ? section.name_ : parentPath + " / " + section.name_;
    auto suite = std::make_unique<CppUnit::TestSuite>(path);
    for (const auto &entry : section.entries_) {
        if (const auto *nested = std::get_if<TestSection>(&entry)) {
            suite->addTest(makeSuite(*nested, path, filter));
            continue;
        }
        const auto &single = std::get<Test>(entry);
        const auto testPath = path + " / " + single.name_;
        if (knownRedPaths().count(testPath) > 0) {
            std::cout << "known red, passed over: " << testPath << std::endl;
        } else if (testPath.find(filter) != std::string::npos) {
            suite->addTest(std::make_unique<FunctionTest>(testPath, single.body_).release());
        }
    }
    return suite.release();
}

class ResultPrinter : public CppUnit::TestListener
{
public:
    auto startTest(CppUnit::Test * /*test*/) -> void override
    {
        failed_ = false;
        started_ = std::chrono::steady_clock::now();
    }

    auto addFailure(const CppUnit::TestFailure &failure) -> void override
    {
        failed_ = true;
        const auto line = failure.sourceLine();
        std::cout << "FAILED " << failure.failedTestName() << "\n    " << line.fileName() << ":" << line.lineNumber()
                  << ": " << failure.thrownException()->what() << std::endl;
    }

    auto endTest(CppUnit::Test *test) -> void override
    {
        const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started_);
        (failed_ ? ++failures_ : ++passes_);
        if (!failed_) {
            std::cout << "ok     " << test->getName() << " (" << elapsed.count() << " ms)" << std::endl;
        }
    }

    auto passes() const -> int
    {
        return passes_;
    }

    auto failures() const -> int
    {
        return failures_;
    }

private:
    bool failed_ = false;
    std::chrono::steady_clock::time_point started_;
    int passes_ = 0;
    int failures_ = 0;
};

struct ContainedRun
{
    const std::function<auto()->void> &body_;
    std::exception_ptr failure_;
};

// The start routine of a thread; the argument is a ContainedRun.
auto runContained(void *argument) -> void *
{
    auto &run = *static_cast<ContainedRun *>(argument);
    try {
        run.body_();
    } catch (...) {
        run.failure_ = std::current_exception();
    }
    return nullptr;
}

} // namespace

auto test(const std::string &name, std::function<auto()->void> body) -> TestSuiteEntry
{
    return Test {.name_ = name, .body_ = std::move(body)};
}

auto section(const std::string &name, std::vector<TestSuiteEntry> entries) -> TestSuiteEntry
{
    return TestSection {.name_ = name, .entries_ = std::move(entries)};
}

TestSuite::TestSuite(const std::string &name, std::vector<TestSuiteEntry> entries)
{
    registeredSuites().push_back(TestSection {.name_ = name, .entries_ = std::move(entries)});
}

auto check(bool condition, const std::string &message, const char *file, int line) -> void
{
    CppUnit::Asserter::failIf(!condition, message, CppUnit::SourceLine(file, line));
}

auto runWithStack(std::size_t bytes, const std::function<auto()->void> &body) -> void
{
    auto run = ContainedRun {.body_ = body, .failure_ = nullptr};
    auto attributes = pthread_attr_t {};
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, bytes);
    auto thread = pthread_t {};
    const auto error = pthread_create(&thread, &attributes, &runContained, &run);
    pthread_attr_destroy(&attributes);
    check(error == 0, "the thread did not start");
    pthread_join(thread, nullptr);
    if (run.failure_) {
        std::rethrow_exception(run.failure_);
    }
}

} // namespace jasminewood::testkit

auto main(int argc, char **argv) -> int
{
    using namespace jasminewood::testkit;
    setenv("RC_PARAMS", defaultRapidCheckParameters, 0);
    const auto filter = std::string(argc > 1 ? argv[1] : "");
    auto result = CppUnit::TestResult();
    auto printer = ResultPrinter();
    result.addListener(&printer);
    for (const auto &registered : registeredSuites()) {
        const auto suite = std::unique_ptr<CppUnit::TestSuite>(makeSuite(registered, "", filter));
        suite->run(&result);
    }
    std::cout << printer.passes() << " passed, " << printer.failures() << " failed" << std::endl;
    return printer.failures() == 0 && printer.passes() > 0 ? 0 : 1;
}
