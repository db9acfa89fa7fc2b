#include <algorithm>
#include <filesystem>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "scenario_run.h"
#include "target_table.h"

// measure [--directory=DIR] [SCENARIO...]: measures the capacity, runs scenarios (all without arguments) at multiples
// of it and prints one JSON line per metric. measure --table: reads such lines from standard input and prints which
// targets are met.

DEFINE_bool(table, false, "Read figures from standard input and compare them with the targets.");
DEFINE_string(directory, "", "Folder for logs and records; without it a temporary one, which is deleted.");
DEFINE_double(capacity, 0, "Output tokens a second that count as load 1; 0: measured first by a closed loop.");
DEFINE_string(policies, "", "Policies to compare, separated by commas; all if empty.");

namespace
{

using namespace jasminewood;
using namespace jasminewood::testbench;
using namespace jasminewood::testbench::internal;

auto printTable() -> int
{
    auto metrics = std::vector<Metric>();
    for (auto line = std::string(); std::getline(std::cin, line);) {
        if (const auto metric = parseJsonLine(line)) {
            metrics.push_back(*metric);
        }
    }
    fmt::print("{}", targetTable(metrics));
    return 0;
}

// Prints the metrics or the failure. Returns whether there are metrics.
auto print(const std::string &name, const Result<std::vector<Metric>> &metrics) -> bool
{
    if (!metrics) {
        fmt::print(stderr, "{}: {}\n", name, toString(metrics.failure()));
        return false;
    }
    for (const auto &metric : *metrics) {
        fmt::print("{}\n", toJsonLine(metric));
    }
    std::fflush(stdout);
    return true;
}

auto isSelected(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

auto isSelectedPolicy(const std::string &name) -> bool
{
    return FLAGS_policies.empty() || ("," + FLAGS_policies + ",").find("," + name + ",") != std::string::npos;
}

// Returns the capacity that corresponds to load 1; 0 if it could not be measured.
auto baseCapacity(const std::string &directory) -> double
{
    if (FLAGS_capacity > 0) {
        return FLAGS_capacity;
    }
    const auto metrics = runCapacity(directory);
    return print("capacity", metrics) ? metrics->back().value_ : 0;
}

auto runAll(const std::vector<std::string> &names, const std::string &directory) -> bool
{
    auto complete = true;
    if (isSelected(names, "unloaded")) {
        complete = print("unloaded", runUnloaded(directory));
    }
    const auto capacity = names == std::vector<std::string> {"unloaded"} ? modelCapacity() : baseCapacity(directory);
    if (capacity <= 0) {
        return false;
    }
    for (const auto &scenario : scenarios(capacity)) {
        for (const auto &policy : comparedPolicies()) {
            if (isSelected(names, scenario.name_) && isSelectedPolicy(policy.name_)) {
                const auto metrics = runScenario(scenario, policy, directory);
                complete = print(scenario.name_ + " " + policy.name_, metrics) && complete;
            }
        }
    }
    return complete;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measure [--directory=DIR] [--policies=NAME,...] [SCENARIO...] | measure --table");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_table) {
        return printTable();
    }
    const auto names = std::vector<std::string>(argv + 1, argv + argc);
    const auto temporary = FLAGS_directory.empty();
    const auto directory = temporary
        ? (std::filesystem::temp_directory_path() / fmt::format("jasminewood-measure-{}", getpid())).string()
        : FLAGS_directory;
    const auto complete = runAll(names, directory);
    if (temporary) {
        auto problem = std::error_code();
        std::filesystem::remove_all(directory, problem);
    }
    return complete ? 0 : 1;
}
