#pragma once

#include <string>
#include <vector>

#include "jasminewood/testbench/load_metrics.h"

// The targets of section 4 of docs/design.md, compared with the metrics of a run.

namespace jasminewood::testbench::internal
{

// Returns a table with one line for each target: met, missed, or not measured if its metrics are missing.
auto targetTable(const std::vector<Metric> &metrics) -> std::string;

} // namespace jasminewood::testbench::internal
