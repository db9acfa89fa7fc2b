#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Plans the arrivals of a load run in advance, so that all compared policies receive the same requests.
//
//     const auto plan = testbench::planLoad(workloads, Milliseconds(8000), seed);

namespace jasminewood::testbench
{

// The rate stays the same.
struct ConstantRate
{
    auto operator<=>(const ConstantRate &) const = default;
};

// The rate follows a sine wave between two factors. It starts at the mean of the two and rises first.
struct SineRate
{
    const double low_ = 0.5;
    const double high_ = 1.5;
    const Milliseconds period_ = Milliseconds(4'000);

    auto operator<=>(const SineRate &) const = default;
};

// The rate is multiplied by the factor from begin_ to end_.
struct BurstRate
{
    const double factor_ = 1.0;
    const Milliseconds begin_ = Milliseconds(0);
    const Milliseconds end_ = Milliseconds(0);

    auto operator<=>(const BurstRate &) const = default;
};

using RateProfile = std::variant<ConstantRate, SineRate, BurstRate>;

// Returns the factor that applies to the rate at a time since the start of the run.
auto rateFactorAt(const RateProfile &profile, Microseconds time) -> double;

// Requests of one kind, which arrive as a Poisson process.
struct Workload
{
    // Group under which the metrics of these requests are reported.
    const std::string group_;
    const std::string requestClass_;
    const std::string account_;
    const std::string model_;
    // The number of output tokens is uniformly distributed between 0.5 and 1.5 times this value.
    const std::size_t meanTokens_ = 60;
    const double requestsPerSecond_ = 1.0;
    const RateProfile profile_;

    auto operator<=>(const Workload &) const = default;
};

struct PlannedRequest
{
    // Time since the start of the run.
    const Microseconds arrival_;
    const std::string group_;
    const std::string requestClass_;
    const std::string account_;
    const std::string model_;
    // Unique in the plan. The output of fake-engine is a function of it.
    const std::string message_;
    const std::size_t tokens_ = 0;

    auto operator<=>(const PlannedRequest &) const = default;
};

// Returns the requests in order of arrival. The result is deterministic for a given seed.
auto planLoad(const std::vector<Workload> &workloads, Milliseconds duration, std::uint64_t seed)
    -> std::vector<PlannedRequest>;

} // namespace jasminewood::testbench
