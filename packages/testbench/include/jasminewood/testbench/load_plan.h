#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Arrivals of a load run, planned in advance, so that each policy under comparison receives the same requests.
//
//     const auto plan = testbench::planLoad(kinds, Milliseconds(8000), seed);

namespace jasminewood::testbench
{

// The rate stays the same.
struct ConstantRate
{
    auto operator<=>(const ConstantRate &) const = default;
};

// The rate swings as a sine between two factors, beginning in the middle and rising.
struct SineRate
{
    const double low_ = 0.5;
    const double high_ = 1.5;
    const Milliseconds period_ = Milliseconds(4'000);

    auto operator<=>(const SineRate &) const = default;
};

// The rate is multiplied during one spell.
struct BurstRate
{
    const double factor_ = 1.0;
    const Milliseconds begin_ = Milliseconds(0);
    const Milliseconds end_ = Milliseconds(0);

    auto operator<=>(const BurstRate &) const = default;
};

using RateProfile = std::variant<ConstantRate, SineRate, BurstRate>;

// Returns the factor of the rate at a time since the start.
auto rateFactorAt(const RateProfile &profile, Microseconds time) -> double;

// Requests of one kind arrive as a Poisson process.
struct Workload
{
    // Under which the figures of these requests are reported.
    const std::string group_;
    const std::string requestClass_;
    const std::string account_;
    const std::string model_;
    // Output tokens vary evenly between a half and three halves of this.
    const std::size_t meanTokens_ = 60;
    const double requestsPerSecond_ = 1.0;
    const RateProfile profile_;

    auto operator<=>(const Workload &) const = default;
};

struct PlannedRequest
{
    // Since the start of the run.
    const Microseconds arrival_;
    const std::string group_;
    const std::string requestClass_;
    const std::string account_;
    const std::string model_;
    // Unique in the plan; it also fixes the answer of fake-engine.
    const std::string message_;
    const std::size_t tokens_ = 0;

    auto operator<=>(const PlannedRequest &) const = default;
};

// Returns the requests in order of arrival. The same seed gives the same plan.
auto planLoad(const std::vector<Workload> &kinds, Milliseconds duration, std::uint64_t seed)
    -> std::vector<PlannedRequest>;

} // namespace jasminewood::testbench
