#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/load_metrics.h"
#include "jasminewood/testbench/load_plan.h"

// The runs that program measure knows.

namespace jasminewood::testbench::internal
{

// Engine times are those of the stand-in's defaults multiplied by this, and so are the classes' targets.
constexpr double timeScale = 0.5;
constexpr std::size_t engineCount = 12;
constexpr std::size_t engineSlots = 8;

// POST /fault of an engine.
struct Fault
{
    const std::string engine_;
    const std::string json_;
};

struct Restart
{
    const std::string engine_;
};

struct TimedAction
{
    const Milliseconds time_;
    const std::variant<Fault, Restart> action_;
};

struct Scenario
{
    const std::string name_;
    const Milliseconds duration_;
    const std::vector<Workload> kinds_;
    const std::vector<TimedAction> actions_;
    // Of the engines.
    const std::vector<std::string> engineFlags_;
};

// One way to choose upstreams and to order the queue.
struct ComparedPolicy
{
    const std::string name_;
    const std::string routing_;
    const std::string order_;
    // The baselines don't hedge.
    const bool hedge_ = false;
};

// Both baselines and the project's own.
auto comparedPolicies() -> std::vector<ComparedPolicy>;

// Output tokens a second of all engines with all slots in use, from the stand-in's model without prefill.
auto modelCapacity() -> double;

// All scenarios, with rates for this capacity in output tokens a second.
auto scenarios(double capacity) -> std::vector<Scenario>;

// The mix of classes at a multiple of the capacity.
auto mixedLoad(double capacity, double factor, const RateProfile &profile) -> std::vector<Workload>;

auto classTargets() -> std::map<std::string, ClassTarget>;

// The manifest with these classes and targets.
auto measuredManifest(bool hedge) -> std::string;

} // namespace jasminewood::testbench::internal
