#pragma once

#include <string>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/testbench/load_metrics.h"
#include "scenarios.h"

// Runs scenarios on deployments of real processes.

namespace jasminewood::testbench::internal
{

// Runs one scenario under one policy on a deployment of its own, with logs and the records in the directory.
auto runScenario(const Scenario &scenario, const ComparedPolicy &policy, const std::string &directory)
    -> Result<std::vector<Metric>>;

// Runs a closed loop that keeps all slots busy, and returns the capacity of the engine model and the measured one, in
// output tokens a second.
auto runCapacity(const std::string &directory) -> Result<std::vector<Metric>>;

// Measures the time that the router and the agent add to a request, and memory and processor time when idle.
auto runUnloaded(const std::string &directory) -> Result<std::vector<Metric>>;

} // namespace jasminewood::testbench::internal
