#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/tier.h"
#include "jasminewood/testbench/load_driver.h"

// Figures of a load run, computed from its records. All functions are pure.
//
//     for (const auto &figure : testbench::computeMetrics(run)) { fmt::print("{}\n", testbench::toJsonLine(figure)); }

namespace jasminewood::testbench
{

struct Metric
{
    const std::string scenario_;
    const std::string policy_;
    // Class or other group of requests; "all" for figures of the whole run.
    const std::string class_;
    const std::string measure_;
    const double value_ = 0;
    const std::string unit_;

    auto operator<=>(const Metric &) const = default;
};

// Returns one line of JSON without its end.
auto toJsonLine(const Metric &figure) -> std::string;

// Returns nothing if the line is no figure.
auto parseJsonLine(const std::string &line) -> std::optional<Metric>;

struct ClassTarget
{
    const Tier tier_ = lowestTier;
    // Empty: an answer meets the target if it is whole.
    const std::optional<Milliseconds> firstToken_;

    auto operator<=>(const ClassTarget &) const = default;
};

struct LoadRun
{
    const std::string scenario_;
    const std::string policy_;
    // During which requests arrived.
    const Milliseconds duration_;
    const std::map<std::string, ClassTarget> targets_;
    const std::vector<RequestRecord> records_;
    // From the engines' counters.
    const std::uint64_t generatedTokens_ = 0;
};

// Whether the answer is whole and its first token came within the class's target.
auto meetsTarget(const RequestRecord &record, const ClassTarget &target) -> bool;

// Returns the value below which the fraction of the values lies; 0 without values.
auto quantile(std::vector<double> values, double fraction) -> double;

// For each group: requests, attainment (share of all requests that met the target), first_token_p50 and first_token_p99
// (of the requests with output), completed_5s_minimum, goodput (tokens of answers that met the target and ended during
// the load), shed, failed and wrong. For "all": attainment, goodput, generated_tokens, discarded_share and
// top_tier_shed_below. The last counts requests of the highest tier that were shed although a request of a lower tier
// started or ran between their arrival and their end; starts within a minimum share are not told apart, so it is an
// upper bound.
auto computeMetrics(const LoadRun &run) -> std::vector<Metric>;

} // namespace jasminewood::testbench
