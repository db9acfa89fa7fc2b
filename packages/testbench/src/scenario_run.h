#pragma once

#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/testbench/load_metrics.h"
#include "scenarios.h"

// Runs scenarios on deployments of real processes.

namespace jasminewood::testbench::internal
{

// Runs one scenario with one policy on a separate deployment. Writes logs and request records to the directory.
auto runScenario(const Scenario &scenario, const ComparedPolicy &policy, const std::string &directory)
    -> Result<std::vector<Metric>>;

// Runs a closed loop that keeps all slots busy. Returns the theoretical capacity of the engine model and the measured
// capacity, in output tokens per second.
auto runCapacity(const std::string &directory) -> Result<std::vector<Metric>>;

// Measures the latency that the router and the agent add to a request, and their memory and CPU use when idle.
auto runUnloaded(const std::string &directory) -> Result<std::vector<Metric>>;

} // namespace jasminewood::testbench::internal
