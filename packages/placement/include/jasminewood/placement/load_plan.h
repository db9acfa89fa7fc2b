#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/manifest/manifest.h"

// Plans which upstream loads which model next. Only the leader plans; it issues the steps under its fencing token.
//
//     for (const auto &step : placement::planLoads(manifest, upstreams, demand, limits)) {
//         sendCommand(step);
//     }

namespace jasminewood::placement
{

// Percentage of a pool's upstreams that stay in service regardless of the demand for other models.
constexpr std::uint32_t minimumInServicePercent = 75;

struct ModelVersion
{
    const std::string model_;
    const std::string version_;

    auto operator<=>(const ModelVersion &) const = default;
};

// State of one upstream as last reported to the leader.
struct UpstreamState
{
    const std::string name_;
    const std::string pool_;
    const std::uint64_t agentIncarnation_ = 0;
    // The agent replied to a QueryState with the current leader's fencing token. Until then a command of an earlier
    // leader may start there, so the upstream counts as loading and as out of service.
    const bool confirmed_ = false;
    // Accepts callers' requests.
    const bool inService_ = false;
    // A load is running, or a command was sent whose outcome is unknown.
    const bool loading_ = false;
    // Version that the running load will provide; empty if unknown.
    const std::optional<ModelVersion> target_;
    const std::vector<ModelVersion> loaded_;

    auto operator<=>(const UpstreamState &) const = default;
};

// Concurrent attempts that each class needs, by class name. A class that is missing needs none.
using DemandByClass = std::map<std::string, std::uint32_t, std::less<>>;

struct LoadLimits
{
    // Bandwidth that one upstream uses from the weight store while it loads.
    const std::uint64_t upstreamBytesPerSecond_ = 0;
    // Maximum number of versions that one upstream holds at a time.
    const std::uint32_t modelsPerUpstream_ = 1;
    const std::uint32_t minimumInServicePercent_ = minimumInServicePercent;

    auto operator<=>(const LoadLimits &) const = default;
};

struct LoadStep
{
    const std::string upstream_;
    const std::uint64_t agentIncarnation_ = 0;
    const ModelVersion target_;
    // Version that the load removes from the upstream; empty if none.
    const std::optional<ModelVersion> evicted_;

    auto operator<=>(const LoadStep &) const = default;
};

// Returns how many upstreams of the pool may load at a time. If one upstream could use more than the whole bandwidth,
// the weight store limits it, so at least one may always load; none may if the pool has no weight store.
auto maximumConcurrentLoads(const manifest::Pool &pool, const LoadLimits &limits) -> std::uint32_t;

// Returns the loads to start now, at most one for each upstream. Each model that a class may use needs at least one
// upstream, and enough for its share of the class's demand; the highest tier is planned first. An upstream is taken out
// of service only if the minimum stays in service and no model is left with fewer upstreams in service than it needs.
auto planLoads(const manifest::Manifest &manifest, const std::vector<UpstreamState> &upstreams,
    const DemandByClass &demand, const LoadLimits &limits) -> std::vector<LoadStep>;

} // namespace jasminewood::placement
