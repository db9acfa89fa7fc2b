#include "sample.h"

#include <fmt/format.h>

namespace jasminewood::slopes
{

namespace
{

auto poolsAndModels() -> std::string
{
    auto text = std::string();
    for (auto index = std::size_t(0); index < sampleModels; ++index) {
        text += fmt::format("[pool engines-{0:02}]\nkind = engine\nconcurrency = 32\nlong_lane = 8\nlong_tokens = 800\n"
                            "queue_limit = 128\nfencing = checked\n\n"
                            "[model model-{0:02}]\nversions = 1, 2\npool = engines-{0:02}\n\n",
            index);
    }
    return text;
}

auto classes() -> std::string
{
    auto text = std::string();
    for (auto tier = std::size_t(0); tier < sampleClasses; ++tier) {
        text += fmt::format("[class class-{0}]\ntier = {0}\nfirst_token_ms = 570\nbetween_tokens_ms = 33\n"
                            "maximum_wait_ms = 8000\nminimum_share = 5\nmodels = model-{0:02}\npool = engines-{0:02}\n"
                            "cost_estimate = 365\n\n",
            tier);
    }
    return text;
}

} // namespace

auto accountName(std::size_t index) -> std::string
{
    return fmt::format("account-{:05}", index);
}

auto manifestText(std::size_t accounts) -> std::string
{
    auto text = poolsAndModels() + classes();
    for (auto index = std::size_t(0); index < accounts; ++index) {
        text += fmt::format("[account {}]\nkey_sha256 = {:064x}\ndefault_class = class-1\n"
                            "classes = class-0, class-1, class-2\nrequests_per_second = 20\nwork_per_second = 8000\n"
                            "weight = 1\n\n",
            accountName(index), index + 1);
    }
    return text;
}

auto usageOf(std::size_t accounts) -> wire::AccountUsageReport
{
    auto totals = std::map<std::string, wire::AccountUsage>();
    for (auto index = std::size_t(0); index < accounts; ++index) {
        totals.emplace(accountName(index), wire::AccountUsage {.requests_ = 4000 + index, .work_ = 1'500'000 + index});
    }
    return wire::AccountUsageReport {.router_ = {.name_ = "router-lj-a-01", .incarnation_ = 1'796'371'200'000'000'000},
        .accounts_ = std::move(totals)};
}

auto loadedHeartbeat() -> wire::Heartbeat
{
    return wire::Heartbeat {.sequence_ = 100'000,
        .load_ = wire::LoadReport {.running_ = 21,
            .freeSlots_ = 11,
            .queuedByTier_ = {1, 2, 30, 40},
            .timeToFirstToken_ = Microseconds(210'000),
            .interTokenLatency_ = Microseconds(30'000)}};
}

} // namespace jasminewood::slopes
