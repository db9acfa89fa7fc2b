#include "jasminewood/testbench/load_plan.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

#include <fmt/format.h>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::testbench
{

namespace
{

using Seconds = std::chrono::duration<double>;

auto highestFactor(const RateProfile &profile) -> double
{
    return std::visit(Overloaded {[](const ConstantRate & /*steady*/) -> double {
                                      return 1.0;
                                  },
                          [](const SineRate &sine) -> double {
                              return std::max(sine.low_, sine.high_);
                          },
                          [](const BurstRate &burst) -> double {
                              return std::max(1.0, burst.factor_);
                          }},
        profile);
}

// Generates a non-homogeneous Poisson process by thinning: draws arrivals at the highest rate and keeps each with the
// ratio of the rate at its time to the highest rate as probability.
auto arrivals(const Workload &workload, Milliseconds duration, std::mt19937_64 &random) -> std::vector<Microseconds>
{
    const auto highest = highestFactor(workload.profile_);
    auto interArrival = std::exponential_distribution<double>(workload.requestsPerSecond_ * highest);
    auto thinning = std::uniform_real_distribution<double>(0.0, highest);
    auto times = std::vector<Microseconds>();
    auto time = Seconds(0);
    while (workload.requestsPerSecond_ > 0) {
        time += Seconds(interArrival(random));
        if (time >= duration) {
            break;
        }
        const auto arrival = std::chrono::duration_cast<Microseconds>(time);
        if (thinning(random) < rateFactorAt(workload.profile_, arrival)) {
            times.push_back(arrival);
        }
    }
    return times;
}

} // namespace

auto rateFactorAt(const RateProfile &profile, Microseconds time) -> double
{
    return std::visit(Overloaded {[](const ConstantRate & /*steady*/) -> double {
                                      return 1.0;
                                  },
                          [&](const SineRate &sine) -> double {
                              const auto phase = Seconds(time) / Seconds(sine.period_);
                              const auto wave = std::sin(2.0 * std::numbers::pi * phase);
                              return sine.low_ + (sine.high_ - sine.low_) * (1.0 + wave) / 2.0;
                          },
                          [&](const BurstRate &burst) -> double {
                              return time >= burst.begin_ && time < burst.end_ ? burst.factor_ : 1.0;
                          }},
        profile);
}

auto planLoad(const std::vector<Workload> &workloads, Milliseconds duration, std::uint64_t seed)
    -> std::vector<PlannedRequest>
{
    struct Arrival
    {
        Microseconds time_;
        std::size_t workload_ = 0;
    };

    auto random = std::mt19937_64(seed);
    auto all = std::vector<Arrival>();
    for (auto workload = std::size_t(0); workload < workloads.size(); ++workload) {
        for (const auto time : arrivals(workloads[workload], duration, random)) {
            all.push_back(Arrival {.time_ = time, .workload_ = workload});
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Arrival &left, const Arrival &right) -> bool {
        return left.time_ < right.time_;
    });
    auto plan = std::vector<PlannedRequest>();
    for (const auto &[time, index] : all) {
        const auto &workload = workloads[index];
        auto length
            = std::uniform_int_distribution<std::size_t>(workload.meanTokens_ / 2, workload.meanTokens_ * 3 / 2);
        const auto tokens = std::max(std::size_t(1), length(random));
        plan.push_back(PlannedRequest {.arrival_ = time,
            .group_ = workload.group_,
            .requestClass_ = workload.requestClass_,
            .account_ = workload.account_,
            .model_ = workload.model_,
            .message_ = fmt::format("request {} of {} [tokens={}]", plan.size(), workload.account_, tokens),
            .tokens_ = tokens});
    }
    return plan;
}

} // namespace jasminewood::testbench
