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
constexpr std::size_t healthyAfter = 1'000;

struct Search
{
    const int violations_ = 0;
    const std::size_t loads_ = 0;
    const std::string first_;
};

auto search(const Mechanisms &mechanisms, Fencing fencing) -> Search
{
    auto random = std::mt19937(searchSeed);
    auto violations = 0;
    auto loads = std::size_t(0);
    auto first = std::string();
    for (auto run = 0; run < searchRuns; ++run) {
        auto choices = std::vector<Choice>();
        for (auto step = 0; step < runLength; ++step) {
            choices.emplace_back(random() % 256, random() % 256, random() % 256);
        }
        auto model = PlacementModel(mechanisms, fencing);
        model.run(choices);
        loads += model.loads();
        if (!model.violation().empty()) {
            first = first.empty() ? "run " + std::to_string(run) + ": " + model.violation() : first;
            ++violations;
        }
    }
    std::cout << "       " << violations << " of " << searchRuns << " runs fail, " << loads << " loads; " << first
              << std::endl;
    return Search {.violations_ = violations, .loads_ = loads, .first_ = first};
}

const testkit::TestSuite story = {"commands of routers that pause, lose answers and lose their lease",
    {
        section("to agents that restart",
            {
                // Guards against an older leader's command after a newer one's, and against exceeding the rate or the
                // minimum in service, whether or not the engines check the number.
                test("run in the order of the leaders, within the rate and the service",
                    [] {
                        const auto ignored = search({}, Fencing::Ignored);
                        check(ignored.violations_ == 0, ignored.first_);
                        check(ignored.loads_ > searchRuns / 10, "too few loads to show anything");
                        const auto checked = search({}, Fencing::Checked);
                        check(checked.violations_ == 0, checked.first_);
                    }),
                // Guards against a state from which the leader never loads again.
                property("reach what the classes need once all is healthy",
                    [] {
                        const auto choices
                            = *rc::gen::container<std::vector<Choice>>(healthyAfter, rc::gen::arbitrary<Choice>());
                        auto model = PlacementModel({});
                        model.run(choices);
                        RC_ASSERT(model.satisfiesDemandAfterwards());
                        RC_ASSERT(model.violation() == "");
                    }),
            }),
        section("without one of the mechanisms",
            {
                // Guards against a model that cannot fail.
                test("fail when agents do not ask the fence",
                    [] {
                        check(search({.fenced_ = false}, Fencing::Ignored).violations_ > 0);
                    }),
                test("fail when a restarted agent takes any first number",
                    [] {
                        check(search({.confirmsAfterRestart_ = false}, Fencing::Checked).violations_ > 0);
                    }),
            }),
    }};

} // namespace
