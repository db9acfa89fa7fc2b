#pragma once

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/load_metrics.h"
#include "jasminewood/testbench/load_plan.h"

// The scenarios of the measure program.

namespace jasminewood::testbench::internal
{

// Factor applied to the default times of fake-engine and to the latency targets of the classes.
constexpr double timeScale = 0.5;
constexpr std::size_t engineCount = 12;
constexpr std::size_t engineSlots = 8;

// A fault that is injected by POST /fault at an engine.
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
    const std::vector<Workload> workloads_;
    const std::vector<TimedAction> actions_;
    // Additional command-line flags of the engines.
    const std::vector<std::string> engineFlags_;
};

// A combination of routing policy and queue order.
struct ComparedPolicy
{
    const std::string name_;
    const std::string routing_;
    const std::string order_;
    // The baselines don't hedge.
    const bool hedge_ = false;
};

// Returns both baseline policies and, last, Jasminewood's own.
auto comparedPolicies() -> std::vector<ComparedPolicy>;

// Returns the output tokens per second of all engines with all slots busy, computed from fake-engine's model without
// prefill.
auto modelCapacity() -> double;

// Returns all scenarios, with arrival rates for this capacity in output tokens per second.
auto scenarios(double capacity) -> std::vector<Scenario>;

// Returns the workloads of all classes at a multiple of the capacity.
auto mixedLoad(double capacity, double factor, const RateProfile &profile) -> std::vector<Workload>;

auto classTargets() -> std::map<std::string, ClassTarget>;

// Returns the manifest with the classes and targets of the scenarios.
auto measuredManifest(bool hedge) -> std::string;

} // namespace jasminewood::testbench::internal
