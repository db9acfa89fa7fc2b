#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/routing/engine_chooser.h"
#include "jasminewood/routing/peer_loads.h"
#include "jasminewood/routing/prefix_cache_model.h"
#include "jasminewood/routing/route_prompt_stats.h"
#include "jasminewood/routing/upstream_chooser.h"
#include "jasminewood/routing/upstream_health.h"

// What this process knows of each upstream, and the choice among them.
//
//     const auto chosen = pool.choose({.service_ = service, .prompt_ = prompt}, Clock::now());
//     pool.begun(*chosen, Clock::now());
//     pool.released(*chosen, AttemptResult::Answered, Clock::now());

namespace jasminewood::forward
{

// What an attempt showed about its upstream.
enum class AttemptResult : std::uint8_t
{
    Answered,
    // No connection, or one that broke without the caller's doing.
    Failed,
    // The address belongs to another upstream.
    AddressReused,
    // The caller left, or the time was over.
    Cancelled,
};

// After a failed connection an upstream gets no work for this time; it grows with each further one.
constexpr Milliseconds minimumEjectionTime = Milliseconds(500);
constexpr Milliseconds maximumEjectionTime = Milliseconds(4'000);

// What the choice depends on in a request.
struct SelectionRequest
{
    const std::string service_;
    const std::string route_;
    // Empty for a service that runs no model.
    const std::optional<PromptInfo> prompt_;
    // Tokens that the memory of one engine of the service holds.
    const std::uint64_t engineCacheTokens_ = 0;
    // Ids of upstreams that were already tried.
    const std::vector<std::string> excludedUpstreams_;
};

// One attempt at an upstream.
struct Assignment
{
    const membership::UpstreamRecord upstream_;
    // Tokens of the prompt that the upstream has to read.
    const std::uint64_t prefillTokens_ = 0;
    // What was known of the upstream: tokens of other prompts to be read before, requests that run or wait, and the age
    // of its last report.
    const std::uint64_t queuedPrefillTokens_ = 0;
    const std::uint32_t requestsInFlight_ = 0;
    const Milliseconds loadReportAge_ = Milliseconds(0);
    const TimePoint startedAt_;

    auto operator<=>(const Assignment &) const = default;
};

// The shared parts of a prompt that went to one engine.
struct RoutedPrompt
{
    const std::string engine_;
    const std::vector<routing::PromptSegment> segments_;

    auto operator<=>(const RoutedPrompt &) const = default;
};

using PromptStatsByService = std::map<std::string, std::vector<routing::RoutePromptStats>>;

// What another router told.
struct PeerReport
{
    // True if the router has nothing at engines that are not named.
    const bool isFullReport_ = false;
    const routing::EngineLoads loads_;
    const std::vector<RoutedPrompt> prompts_;
    const PromptStatsByService promptStats_;

    auto operator<=>(const PeerReport &) const = default;
};

// Prompts that wait to be told to the other routers.
constexpr std::size_t maximumQueuedPrompts = 256;

// A reported slowness loses half of its excess in this time: neighbours of an upstream's VM come and go.
constexpr Milliseconds slownessHalfLife = Milliseconds(600);

// Thread-safe.
class UpstreamPool
{
public:
    UpstreamPool(std::uint64_t seed, const std::string &dataCentre);

    // Replaces the upstreams that take new work.
    auto setUpstreams(const std::vector<membership::RoutableUpstream> &routable) -> void;

    // A request arrived, before its first choose().
    auto recordArrival(const SelectionRequest &wanted, TimePoint now) -> void;

    // Chooses an upstream of the service and counts the attempt. Fails with step "choose" if there is none.
    auto choose(const SelectionRequest &wanted, TimePoint now) -> Result<Assignment>;

    // The answer has begun, so that the prompt has been read.
    auto recordResponseStart(const Assignment &assignment, TimePoint now) -> void;

    // The attempt is over. Each choose() that succeeds is followed by one call.
    auto recordAttemptEnd(const Assignment &assignment, AttemptResult result, TimePoint now) -> void;

    // The upstream's answer stated its load.
    auto recordLoadReport(const std::string &id, const LoadReport &report, TimePoint now) -> void;

    // What this process has at engines, by engine; engines at which it has nothing are left out.
    auto localEngineLoads() const -> routing::EngineLoads;

    // Called, on any thread and under the pool's lock, when engineLoads() changes. The callback must not call the pool.
    auto setLoadChangeCallback(std::function<auto()->void> callback) -> void;

    // The mixes of prompts that arrived here, by service.
    auto localPromptStats() const -> PromptStatsByService;

    // Returns the prompts that this process gave to engines since the last call, the oldest first; of many only the
    // newest.
    auto takeRoutedPrompts() -> std::vector<RoutedPrompt>;

    // Another router's report.
    auto applyPeerReport(const std::string &router, const PeerReport &report, TimePoint now) -> void;

    // Returns the number of routers that reported lately, and this one.
    auto routerCount(TimePoint now) const -> std::size_t;

    // Returns the number of upstreams that take work.
    auto size() const -> std::size_t;

    // Returns whether the upstream takes work.
    auto contains(const std::string &id) const -> bool;

private:
    struct Upstream
    {
        std::shared_ptr<const membership::UpstreamRecord> record_;
        // When the upstream stops to be routable.
        std::optional<TimePoint> until_;
        std::uint32_t outstanding_ = 0;
        // The load as last reported, and the attempts of this process that were outstanding then.
        std::uint32_t reportedRunning_ = 0;
        std::uint32_t reportedWaiting_ = 0;
        std::uint32_t outstandingAtReport_ = 0;
        double slowness_ = 1;
        TimePoint reportedAt_;
        // Tokens of prompts that the engine keeps.
        std::uint64_t cacheTokens_ = 0;
        // The prompts of attempts whose answer has not begun, by the time of the choice.
        std::multimap<TimePoint, std::uint64_t> unread_;
        std::uint32_t failures_ = 0;
        std::optional<TimePoint> restsUntil_;
        bool replaced_ = false;
    };

    // The upstreams of the service that may be chosen; those that rest only if there is no other.
    auto eligible(const SelectionRequest &wanted, TimePoint now) const -> std::vector<const Upstream *>;
    auto pickUpstream(const std::vector<const Upstream *> &eligible, TimePoint now) -> Result<std::string>;
    auto pickEngine(const SelectionRequest &wanted, const std::vector<const Upstream *> &eligible, TimePoint now)
        -> std::string;
    // Tokens that this process sent there and that are not read yet.
    static auto unread(const Upstream &upstream) -> std::uint64_t;
    // What this process and the others have at the engine.
    auto loadOf(const Upstream &upstream, TimePoint now) const -> routing::EngineLoad;
    // Requests that run or wait at the upstream, as far as this process knows without the other ones.
    static auto busy(const Upstream &upstream) -> std::uint32_t;
    auto slowness(const Upstream &upstream, TimePoint now) -> double;
    auto noteLoadChange() const -> void;
    auto noteGiven(const std::string &engine, const PromptInfo &prompt) -> void;
    auto dropUnread(Upstream &upstream, const Assignment &assignment) -> void;

    mutable std::mutex mutex_;
    routing::UpstreamChooser chooser_;
    routing::EngineChooser engineChooser_;
    routing::PrefixCacheModel prefixes_;
    routing::PeerLoads peers_;
    std::vector<RoutedPrompt> given_;
    std::function<auto()->void> loadChanged_;
    // By service: its mix of prompts, and how many of its engines are for long ones.
    std::map<std::string, routing::RoutePromptStatsTracker> mixes_;
    std::map<std::string, std::size_t> laneSizes_;
    std::map<std::string, Upstream> upstreams_;
    std::map<std::string, routing::UpstreamHealth> health_;
};

} // namespace jasminewood::forward
