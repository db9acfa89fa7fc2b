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

// Computes the metrics of a load run from its request records. All functions are pure.
//
//     for (const auto &metric : testbench::computeMetrics(run)) { fmt::print("{}\n", testbench::toJsonLine(metric)); }

namespace jasminewood::testbench
{

struct Metric
{
    const std::string scenario_;
    const std::string policy_;
    // Class or other group of requests; "all" for metrics of the entire run.
    const std::string class_;
    const std::string measure_;
    const double value_ = 0;
    const std::string unit_;

    auto operator<=>(const Metric &) const = default;
};

// Returns one line of JSON without a line terminator.
auto toJsonLine(const Metric &metric) -> std::string;

// Returns std::nullopt if the line is not a metric.
auto parseJsonLine(const std::string &line) -> std::optional<Metric>;

struct ClassTarget
{
    const Tier tier_ = lowestTier;
    // Limit of the time to first token. Without it, every complete response meets the target.
    const std::optional<Milliseconds> firstToken_;

    auto operator<=>(const ClassTarget &) const = default;
};

struct LoadRun
{
    const std::string scenario_;
    const std::string policy_;
    // Length of the time in which requests arrived.
    const Milliseconds duration_;
    const std::map<std::string, ClassTarget> targets_;
    const std::vector<RequestRecord> records_;
    // Sum of the engines' counters of generated tokens.
    const std::uint64_t generatedTokens_ = 0;
};

// Returns whether the response is complete and its time to first token is within the target of its class.
auto meetsTarget(const RequestRecord &record, const ClassTarget &target) -> bool;

// Returns the nearest-rank quantile, for example the median for fraction 0.5; 0 if there are no values.
auto quantile(std::vector<double> values, double fraction) -> double;

// Returns for each group: requests, attainment (share of all requests that met the target), first_token_p50 and
// first_token_p99 (of the requests with output), completed_5s_minimum (fewest complete responses in any 5 s window),
// goodput (tokens of responses that met the target and ended during the load), shed, failed and wrong. For "all" it
// also returns generated_tokens, discarded_share and top_tier_shed_below. The last counts requests of the highest tier
// that were shed although a request of a lower tier started or ran between their arrival and their end. It is an upper
// bound, because it includes requests of lower tiers that were started to meet their minimum share.
auto computeMetrics(const LoadRun &run) -> std::vector<Metric>;

} // namespace jasminewood::testbench
