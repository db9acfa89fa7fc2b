#include "scheduler_policies.h"

#include <utility>
#include <vector>

namespace jasminewood::agent::internal
{

namespace
{

constexpr auto percent = 100.0;

} // namespace

auto initialPolicy() -> scheduling::SchedulerPolicy
{
    return scheduling::SchedulerPolicy {.concurrency_ = 1, .longLaneSlots_ = 1, .queueLimit_ = 16};
}

auto makeSchedulerPolicy(const manifest::Manifest &manifest, const manifest::Pool &pool) -> scheduling::SchedulerPolicy
{
    auto classes = std::vector<scheduling::ClassPolicy>();
    for (const auto &[name, requestClass] : manifest.classes_) {
        classes.push_back(scheduling::ClassPolicy {.name_ = name,
            .tier_ = requestClass.tier_,
            .minimumShare_ = requestClass.minimumShare_ / percent,
            .maximumWait_ = requestClass.maximumWait_});
    }
    return scheduling::SchedulerPolicy {.classes_ = std::move(classes),
        .concurrency_ = pool.concurrency_,
        .longLaneSlots_ = pool.longLaneSlots_,
        .longAttemptTokens_ = pool.longAttemptTokens_,
        .queueLimit_ = pool.queueLimit_};
}

} // namespace jasminewood::agent::internal
