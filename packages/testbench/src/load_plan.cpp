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
                          [](const SineRate &swing) -> double {
                              return std::max(swing.low_, swing.high_);
                          },
                          [](const BurstRate &burst) -> double {
                              return std::max(1.0, burst.factor_);
                          }},
        profile);
}

// Thinning: arrivals at the highest rate, of which each is kept with the probability of the rate at its time.
auto arrivals(const Workload &kind, Milliseconds duration, std::mt19937_64 &random) -> std::vector<Microseconds>
{
    const auto highest = highestFactor(kind.profile_);
    auto gap = std::exponential_distribution<double>(kind.requestsPerSecond_ * highest);
    auto keep = std::uniform_real_distribution<double>(0.0, highest);
    auto times = std::vector<Microseconds>();
    auto time = Seconds(0);
    while (kind.requestsPerSecond_ > 0) {
        time += Seconds(gap(random));
        if (time >= duration) {
            break;
        }
        const auto arrival = std::chrono::duration_cast<Microseconds>(time);
        if (keep(random) < rateFactorAt(kind.profile_, arrival)) {
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
                          [&](const SineRate &swing) -> double {
                              const auto phase = Seconds(time) / Seconds(swing.period_);
                              const auto wave = std::sin(2.0 * std::numbers::pi * phase);
                              return swing.low_ + (swing.high_ - swing.low_) * (1.0 + wave) / 2.0;
                          },
                          [&](const BurstRate &burst) -> double {
                              return time >= burst.begin_ && time < burst.end_ ? burst.factor_ : 1.0;
                          }},
        profile);
}

auto planLoad(const std::vector<Workload> &kinds, Milliseconds duration, std::uint64_t seed)
    -> std::vector<PlannedRequest>
{
    struct Arrival
    {
        Microseconds time_;
        std::size_t kind_ = 0;
    };

    auto random = std::mt19937_64(seed);
    auto all = std::vector<Arrival>();
    for (auto kind = std::size_t(0); kind < kinds.size(); ++kind) {
        for (const auto time : arrivals(kinds[kind], duration, random)) {
            all.push_back(Arrival {.time_ = time, .kind_ = kind});
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Arrival &left, const Arrival &right) -> bool {
        return left.time_ < right.time_;
    });
    auto plan = std::vector<PlannedRequest>();
    for (const auto &[time, index] : all) {
        const auto &kind = kinds[index];
        auto length = std::uniform_int_distribution<std::size_t>(kind.meanTokens_ / 2, kind.meanTokens_ * 3 / 2);
        const auto tokens = std::max(std::size_t(1), length(random));
        plan.push_back(PlannedRequest {.arrival_ = time,
            .group_ = kind.group_,
            .requestClass_ = kind.requestClass_,
            .account_ = kind.account_,
            .model_ = kind.model_,
            .message_ = fmt::format("request {} of {} [tokens={}]", plan.size(), kind.account_, tokens),
            .tokens_ = tokens});
    }
    return plan;
}

} // namespace jasminewood::testbench
