#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/manifest/manifest.h"

// Which upstream loads which model next. The leader alone plans, and gives the steps under its fencing number.
//
//     for (const auto &step : placement::planLoads(manifest, upstreams, demand, limits)) {
//         give(step);
//     }

namespace jasminewood::placement
{

// Percent of a pool's upstreams that stay in service whatever is to be loaded.
constexpr std::uint32_t minimumInServicePercent = 75;

struct ModelVersion
{
    const std::string model_;
    const std::string version_;

    auto operator<=>(const ModelVersion &) const = default;
};

// One upstream as the leader knows it.
struct UpstreamState
{
    const std::string name_;
    const std::string pool_;
    const std::uint64_t agentIncarnation_ = 0;
    // The agent answered QueryState under the present leader's number. Until then a command of an earlier leader may start
    // there, so the upstream counts as loading and as out of service.
    const bool confirmed_ = false;
    // Takes requests of the callers.
    const bool inService_ = false;
    // Loads now, or a command was sent whose end is not known.
    const bool loading_ = false;
    // What the load under way will yield; empty if unknown.
    const std::optional<ModelVersion> target_;
    const std::vector<ModelVersion> loaded_;

    auto operator<=>(const UpstreamState &) const = default;
};

// Attempts at a time that each class needs, by class name. A class that is missing needs none.
using DemandByClass = std::map<std::string, std::uint32_t, std::less<>>;

struct LoadLimits
{
    // What one upstream draws from the weight store while it loads.
    const std::uint64_t upstreamBytesPerSecond_ = 0;
    // Versions that one upstream holds at a time.
    const std::uint32_t modelsPerUpstream_ = 1;
    const std::uint32_t minimumInServicePercent_ = minimumInServicePercent;

    auto operator<=>(const LoadLimits &) const = default;
};

struct LoadStep
{
    const std::string upstream_;
    const std::uint64_t agentIncarnation_ = 0;
    const ModelVersion target_;
    // What the upstream no longer holds afterwards.
    const std::optional<ModelVersion> evicted_;

    auto operator<=>(const LoadStep &) const = default;
};

// Returns how many upstreams of the pool may load at a time. An upstream that alone could draw more than the rate is
// limited by the weight store, so one may always load; none may if the pool has no weight store.
auto maximumConcurrentLoads(const manifest::Pool &pool, const LoadLimits &limits) -> std::uint32_t;

// Returns the steps to give now, at most one for each upstream. Each model that a class may use is due at least one
// upstream, and enough for its part of the class's demand; the highest tier is served first. An upstream is taken out
// of service only if the minimum stays in service and no model has fewer upstreams in service than are due to it.
auto planLoads(const manifest::Manifest &manifest, const std::vector<UpstreamState> &upstreams,
    const DemandByClass &demand, const LoadLimits &limits) -> std::vector<LoadStep>;

} // namespace jasminewood::placement
