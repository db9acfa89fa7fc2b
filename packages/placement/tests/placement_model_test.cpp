#include "placement_model.h"

#include <iostream>
#include <random>

#include "jasminewood/testkit/property.h"

namespace
{

using namespace jasminewood;
using namespace jasminewood::placement;
using manifest::Fencing;
using testkit::check;
using testkit::property;
using testkit::section;
using testkit::test;

constexpr std::uint32_t searchSeed = 20261204;
constexpr auto searchRuns = 4'000;
constexpr auto runLength = 4'000;
constexpr std::size_t stepsBeforeRecovery = 1'000;

struct SearchResult
{
    const int violationCount_ = 0;
    const std::size_t loadCount_ = 0;
    const std::string firstViolation_;
};

auto runRandomSteps(const SafetyMechanisms &mechanisms, Fencing fencing) -> SearchResult
{
    auto random = std::mt19937(searchSeed);
    auto violations = 0;
    auto loads = std::size_t(0);
    auto firstViolation = std::string();
    for (auto run = 0; run < searchRuns; ++run) {
        auto steps = std::vector<RandomStep>();
        for (auto step = 0; step < runLength; ++step) {
            steps.emplace_back(random() % 256, random() % 256, random() % 256);
        }
        auto model = PlacementModel(mechanisms, fencing);
        model.run(steps);
        loads += model.loadCount();
        if (!model.violation().empty()) {
            firstViolation
                = firstViolation.empty() ? "run " + std::to_string(run) + ": " + model.violation() : firstViolation;
            ++violations;
        }
    }
    std::cout << "       " << violations << " of " << searchRuns << " runs fail, " << loads << " loads; "
              << firstViolation << std::endl;
    return SearchResult {.violationCount_ = violations, .loadCount_ = loads, .firstViolation_ = firstViolation};
}

const testkit::TestSuite suite = {"commands of routers that pause, lose responses and lose their lease",
    {
        section("to agents that restart",
            {
                // Guards against a command of an older leader after one of a newer leader, and against loads that
                // exceed the bandwidth or leave fewer than the minimum in service, whether or not the engines check the
                // fencing token.
                test("run in the order of the leaders, within the bandwidth, and leave enough upstreams in service",
                    [] {
                        const auto ignored = runRandomSteps({}, Fencing::Ignored);
                        check(ignored.violationCount_ == 0, ignored.firstViolation_);
                        check(ignored.loadCount_ > searchRuns / 10, "too few loads for a meaningful result");
                        const auto checked = runRandomSteps({}, Fencing::Checked);
                        check(checked.violationCount_ == 0, checked.firstViolation_);
                    }),
                // Guards against a state in which the leader never starts a load again.
                property("meet the demand of the classes once there are no more faults",
                    [] {
                        const auto steps = *rc::gen::container<std::vector<RandomStep>>(
                            stepsBeforeRecovery, rc::gen::arbitrary<RandomStep>());
                        auto model = PlacementModel({});
                        model.run(steps);
                        RC_ASSERT(model.satisfiesDemandAfterRecovery());
                        RC_ASSERT(model.violation() == "");
                    }),
            }),
        section("without one of the safety mechanisms",
            {
                // Guards against a simulation whose checks cannot fail.
                test("violate a guarantee when agents execute commands that the fence rejects",
                    [] {
                        check(runRandomSteps({.fencingEnabled_ = false}, Fencing::Ignored).violationCount_ > 0);
                    }),
                test("violate a guarantee when a restarted agent accepts any first number",
                    [] {
                        check(runRandomSteps({.confirmsLeaderAfterRestart_ = false}, Fencing::Checked).violationCount_
                            > 0);
                    }),
            }),
    }};

} // namespace
