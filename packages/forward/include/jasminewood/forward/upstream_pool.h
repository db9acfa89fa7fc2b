#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/deadlines/deadline_class.h"
#include "jasminewood/deadlines/waiting_requests.h"
#include "jasminewood/forward/protocol_adapter.h"
#include "jasminewood/forward/wake_signal.h"
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/routing/engine_chooser.h"
#include "jasminewood/routing/peer_loads.h"
#include "jasminewood/routing/prefill_rate.h"
#include "jasminewood/routing/prefix_cache_model.h"
#include "jasminewood/routing/route_prompt_stats.h"
#include "jasminewood/routing/upstream_availability.h"
#include "jasminewood/routing/upstream_chooser.h"
#include "jasminewood/routing/upstream_health.h"
#include "jasminewood/routing/upstream_rate_limits.h"

// The load and the health of each upstream as seen by this process, and the choice of an upstream for each attempt.
//
//     const auto assignment = pool.choose({.service_ = service, .prompt_ = prompt}, Clock::now());
//     pool.recordResponseStart(*assignment, Clock::now());
//     pool.recordAttemptEnd(*assignment, AttemptResult::Responded, Clock::now());

namespace jasminewood::forward
{

// How an attempt ended.
enum class AttemptResult : std::uint8_t
{
    // The upstream sent a response, possibly a refusal.
    Responded,
    // The connection could not be opened, it broke while the caller was still connected, or the response does not
    // belong to this request.
    Failed,
    // The address belongs to another upstream.
    Misdirected,
    // The caller disconnected, or the deadline passed.
    Cancelled,
};

// How long an upstream is ejected after a failed attempt; the time doubles with each consecutive failure.
constexpr Milliseconds minimumEjectionTime = Milliseconds(500);
constexpr Milliseconds maximumEjectionTime = Milliseconds(4'000);

// Upstreams of any software version may be chosen.
struct AnyVersion
{
    auto operator<=>(const AnyVersion &) const = default;
};

// Only upstreams of these versions may be chosen, or of any version if there are none of them.
struct AllowedVersions
{
    const std::set<std::string> versions_;

    auto operator<=>(const AllowedVersions &) const = default;
};

// Only upstreams of this version may be chosen, because it began the stream that is resumed. No upstream matches an
// empty version.
struct RequiredVersion
{
    const std::string version_;

    auto operator<=>(const RequiredVersion &) const = default;
};

using VersionCriterion = std::variant<AnyVersion, AllowedVersions, RequiredVersion>;

// The properties of a request by which its upstream is chosen.
struct SelectionCriteria
{
    const std::string service_;
    const std::string route_;
    // Empty for a service that runs no model.
    const std::optional<PromptInfo> prompt_;
    // Capacity of the KV cache of one engine of the service, in tokens; 0 if unknown.
    const std::uint64_t engineCacheTokens_ = 0;
    // The time until the response should start, by the target of the route; empty without a target.
    const std::optional<Milliseconds> timeUntilDue_ = std::nullopt;
    // Ids of upstreams that were already tried for this request.
    const std::vector<std::string> excludedUpstreams_;
    // The software versions of the upstreams that may be chosen.
    const VersionCriterion versions_ = AnyVersion {};
    // The time until the timeout of the request.
    const Milliseconds timeUntilTimeout_ = Milliseconds(0);
    // The rank of the request among all by its account and route; 0 is the most urgent one.
    const std::uint32_t rank_ = 0;
    // Whether the request resumes a stream. Such a request counts as in time.
    const bool resumesStream_ = false;
};

constexpr Milliseconds noLoadReport = Milliseconds(-1);

// The upstream chosen for one attempt, and its load at that time.
struct Assignment
{
    const membership::UpstreamRecord upstream_;
    // Tokens of the prompt that the upstream has to prefill.
    const std::uint64_t prefillTokens_ = 0;
    // Tokens of other prompts that the upstream still had to prefill when it was chosen.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Requests that ran or waited at the upstream when it was chosen.
    const std::uint32_t inFlightRequests_ = 0;
    // Age of the upstream's last load report when it was chosen; noLoadReport if it had sent none.
    const Milliseconds loadReportAge_ = Milliseconds(0);
    const TimePoint startedAt_;
    // Whether the response could begin in time at the upstream.
    const deadlines::DeadlineClass deadlineClass_ = deadlines::InTime {};
    // The estimated time until the response begins; empty for a request without a prompt.
    const std::optional<Milliseconds> expectedFirstToken_ = std::nullopt;
    const std::uint32_t rank_ = 0;

    auto operator<=>(const Assignment &) const = default;
};

// What decides how long a late request waits before it is sent.
struct WaitTerms
{
    // The latency target of the route; 0 if it has none.
    const Milliseconds targetLatency_ = Milliseconds(0);
    // The total time that the request may take.
    const Milliseconds timeout_ = Milliseconds(0);
    // Orders waiting requests of one rank.
    const TimePoint arrivedAt_;
    // How long the request has waited already.
    const Milliseconds waited_ = Milliseconds(0);
    // The ticket of the wait that has ended; empty for a request that has not waited.
    const std::optional<deadlines::Ticket> ticket_ = std::nullopt;

    auto operator<=>(const WaitTerms &) const = default;
};

// The request has to wait until the signal is set, at most until the given time.
struct WaitForRoom
{
    const deadlines::Ticket ticket_ = 0;
    const std::shared_ptr<const WakeSignal> signal_;
    const TimePoint until_;
};

using AssignmentOrWait = std::variant<Assignment, WaitForRoom>;

// The segments, without the unshared last one, of a prompt that was routed to an engine.
struct RoutedPrompt
{
    const std::string engine_;
    const std::vector<routing::PromptSegment> segments_;

    auto operator<=>(const RoutedPrompt &) const = default;
};

using PromptStatsByService = std::map<std::string, std::vector<routing::RoutePromptStats>>;

// The load report of another router.
struct PeerReport
{
    // True if the router has no load on engines that the report does not list.
    const bool isFullReport_ = false;
    const routing::EngineLoads loads_;
    const std::vector<RoutedPrompt> prompts_;
    const PromptStatsByService promptStats_;

    auto operator<=>(const PeerReport &) const = default;
};

// The maximum number of prompts collected for the next report to the other routers. If there are more, those collected
// so far are dropped.
constexpr std::size_t maximumRoutedPrompts = 256;

// The half-life with which a reported slowness decays to 1. It is short since the load of other VMs on the same host
// changes quickly.
constexpr Milliseconds slownessHalfLife = Milliseconds(600);

// Thread-safe.
class UpstreamPool
{
public:
    UpstreamPool(std::uint64_t seed, const std::string &dataCentre);

    // Sets the name under which this router shares the rate limits of upstreams with the others. Called before the
    // first choose().
    auto setRouterName(const std::string &name) -> void;

    // Replaces the set of upstreams that take new requests.
    auto setUpstreams(const std::vector<membership::RoutableUpstream> &routable) -> void;

    // Records the arrival of a request. Called before its first choose().
    auto recordArrival(const SelectionCriteria &criteria, TimePoint now) -> void;

    // Returns whether there is an upstream that choose() may choose.
    auto hasEligibleUpstream(const SelectionCriteria &criteria, TimePoint now) const -> bool;

    // Returns whether an eligible upstream is not ejected. choose() falls back to ejected ones.
    auto hasWorkingUpstream(const SelectionCriteria &criteria, TimePoint now) const -> bool;

    // Chooses an upstream of the service and counts the attempt as in flight. Fails with step "choose" if there is
    // none.
    auto choose(const SelectionCriteria &criteria, TimePoint now) -> Result<Assignment>;

    // As choose(), but a late request has to wait while the engine that is best for it has too many pending prompts or
    // other late requests go first. It counts in no engine's load. After the wait the caller calls this again, or
    // endWait().
    auto chooseOrWait(const SelectionCriteria &criteria, const WaitTerms &terms, TimePoint now)
        -> Result<AssignmentOrWait>;

    // Ends the wait of a request that is not sent. A ticket whose wait has ended is ignored.
    auto endWait(deadlines::Ticket ticket, TimePoint now) -> void;

    // Returns the number of requests that wait.
    auto waitingRequests() const -> std::size_t;

    // Records that the response has started, so the prompt has been prefilled.
    auto recordResponseStart(const Assignment &assignment, TimePoint now) -> void;

    // Records the end of an attempt. Must be called once for each successful choose().
    auto recordAttemptEnd(const Assignment &assignment, AttemptResult result, TimePoint now) -> void;

    // Records that the upstream said, with a response of the attempt, that it shuts down. It is not chosen any more,
    // also if its entry is removed and comes back, until it restarts. Returns whether that was not known.
    auto recordLeaving(const Assignment &assignment) -> bool;

    // Records that the upstream refused the attempt and asked for no further requests within this time. It is not
    // chosen before the end of the time unless it restarts. Returns whether it was available before.
    auto recordRetryAfter(const Assignment &assignment, Milliseconds retryAfter, TimePoint now) -> bool;

    // Records what a response to the attempt says of the request rate that its upstream takes from all routers
    // together. The upstream is chosen no more often than this router's part allows. Returns whether the limit begins,
    // changes or ends with this response.
    auto recordRateLimit(const Assignment &assignment, const routing::RateLimitStatement &statement, TimePoint now)
        -> bool;

    // Returns what the other routers are to know of rate limits: all that upstreams told this router lately, or nothing
    // if that is not asked for and no limit has begun, changed or ended since the last call.
    auto takeRateLimitReports(bool all, TimePoint now) -> std::vector<routing::RateLimitReport>;

    // Applies the reports of another router.
    auto applyRateLimitReports(const std::vector<routing::RateLimitReport> &reports, TimePoint now) -> void;

    // Returns how long it takes until an upstream of the service takes requests; 0 if one does now, empty if none is
    // known that will.
    auto timeUntilAvailable(const std::string &service, TimePoint now) const -> std::optional<Milliseconds>;

    // Records the load that an upstream reported with a response.
    auto recordLoadReport(const std::string &id, const LoadReport &report, TimePoint now) -> void;

    // Returns the load that this router has on each engine; engines without any are left out.
    auto localEngineLoads() const -> routing::EngineLoads;

    // Sets the callback for changes of localEngineLoads(). It is called on any thread while the pool's lock is held and
    // must not call the pool.
    auto setLoadChangeCallback(std::function<auto()->void> callback) -> void;

    // Returns the statistics of the prompts that arrived at this router, by service.
    auto localPromptStats() const -> PromptStatsByService;

    // Returns the prompts that this router routed to engines since the last call, oldest first. If there were more than
    // maximumRoutedPrompts, earlier ones are missing.
    auto takeRoutedPrompts() -> std::vector<RoutedPrompt>;

    // Applies the report of another router.
    auto applyPeerReport(const std::string &router, const PeerReport &report, TimePoint now) -> void;

    // Returns the number of routers, including this one, that reported recently.
    auto routerCount(TimePoint now) const -> std::size_t;

    // Returns the number of upstreams that take new requests.
    auto size() const -> std::size_t;

    // Returns whether the pool holds this upstream.
    auto contains(const std::string &id) const -> bool;

    // Returns the present entry of an upstream; empty if the upstream takes no new requests.
    auto recordOf(const std::string &id) const -> std::optional<membership::UpstreamRecord>;

private:
    // A prompt whose prefill is pending.
    struct PendingPrompt
    {
        std::uint64_t tokens_ = 0;
        std::uint32_t rank_ = 0;
        bool isInTime_ = true;
    };

    struct Upstream
    {
        std::shared_ptr<const membership::UpstreamRecord> record_;
        // When the upstream stops being routable; empty if no end is known.
        std::optional<TimePoint> routableUntil_;
        // Attempts of this router in flight at the upstream.
        std::uint32_t inFlight_ = 0;
        // The load as last reported, and the attempts of this router that were in flight at that time.
        std::uint32_t reportedRunning_ = 0;
        std::uint32_t reportedWaiting_ = 0;
        std::uint32_t inFlightAtReport_ = 0;
        double reportedSlowness_ = 1;
        TimePoint reportedAt_;
        // The part of the engine's KV cache that is assumed to hold reusable prefixes, in tokens; 0 until the first
        // prompt for its service.
        std::uint64_t cacheCapacityTokens_ = 0;
        // The prompts of the attempts whose response has not started, by the time at which the upstream was chosen.
        std::multimap<TimePoint, PendingPrompt> pendingPrefill_;
        std::uint32_t consecutiveFailures_ = 0;
        std::optional<TimePoint> ejectedUntil_;
        // True if another upstream has this address. The upstream is not chosen until its address changes or it
        // restarts.
        bool misdirected_ = false;
    };

    // The upstream that an attempt is to have.
    struct AttemptPlan
    {
        const std::string upstreamId_;
        // Tokens of the prompt that the upstream has to prefill.
        const std::uint64_t prefillTokens_ = 0;
        const deadlines::FirstTokenEstimate firstToken_;
        const deadlines::DeadlineClass deadlineClass_;
    };

    // Chooses an upstream without counting the attempt. Fails with step "choose" if there is none.
    auto planAttempt(const SelectionCriteria &criteria, TimePoint now) -> Result<AttemptPlan>;
    // Counts the attempt as in flight. Precondition: the plan was made under the same lock.
    auto assign(const SelectionCriteria &criteria, const AttemptPlan &plan, TimePoint now) -> Assignment;
    // A request that waits, or was woken and has not chosen an engine yet.
    struct Waiter
    {
        const std::string service_;
        const std::shared_ptr<const WakeSignal> signal_;
        // The time that the engine needs for its prompt.
        const Milliseconds prefillTime_ = Milliseconds(0);
        // The engine that it was woken for; empty while it waits.
        std::string wokenFor_ = {};
    };

    // Adds a late request to the waiting ones, unless it is sent now; then returns nothing.
    auto enqueue(const SelectionCriteria &criteria, const AttemptPlan &plan, const WaitTerms &terms, TimePoint now)
        -> std::optional<WaitForRoom>;
    // Returns whether a late request is sent to the engine that is best for it.
    auto hasRoom(const SelectionCriteria &criteria, const AttemptPlan &plan, const WaitTerms &terms, TimePoint now)
        -> bool;
    // Ends the wait; returns whether the request had been woken.
    auto removeWaiter(deadlines::Ticket ticket) -> bool;
    // Returns the time that the engine needs for this many tokens.
    auto prefillTime(const Upstream &upstream, std::uint64_t tokens, TimePoint now) -> Milliseconds;
    // Returns the backlog of the engine, with the prompts of requests that were woken for it, as it is compared with
    // the bound of a late request.
    auto backlog(const Upstream &upstream, TimePoint now) -> Milliseconds;
    // Wakes the requests that go next to the engine.
    auto wakeFor(const Upstream &upstream, TimePoint now) -> void;
    // Wakes the requests that go next to any engine, at most once in wakeInterval; otherwise those for the engine with
    // this id, if it is given.
    auto wakeWaiting(const std::string &id, TimePoint now) -> void;
    // Wakes all requests that wait for an engine that is gone.
    auto wakeWaitingForRemoved(const Upstream &upstream) -> void;

    // Returns whether the upstream could be chosen if it took requests.
    static auto isRoutable(const Upstream &upstream, TimePoint now) -> bool;
    // Returns whether the upstream takes a request of this router now, by its own word.
    auto availability(const Upstream &upstream, const routing::RouterFleet &fleet, TimePoint now) const
        -> routing::AvailabilityState;
    // Returns the routers that share the rate limits; only this one if there are no limits.
    auto fleet(TimePoint now) const -> routing::RouterFleet;
    // Returns the upstreams of the service that may be chosen. Ejected ones are returned only if all are ejected.
    auto eligibleUpstreams(const SelectionCriteria &criteria, TimePoint now) const -> std::vector<const Upstream *>;
    auto chooseUpstream(const std::vector<const Upstream *> &eligible, TimePoint now) -> Result<std::string>;
    auto chooseEngine(const SelectionCriteria &criteria, const std::vector<const Upstream *> &eligible, TimePoint now)
        -> std::string;
    // Returns the prompt tokens that this router sent to the upstream and that are not prefilled yet.
    static auto pendingPrefillTokens(const Upstream &upstream) -> std::uint64_t;
    // Returns those of them that belong to requests which were late when they were sent.
    static auto latePrefillTokens(const Upstream &upstream) -> std::uint64_t;
    // Returns the pending tokens that the engine prefills after a request in time of this rank: late ones, and those
    // that this router sent for less urgent requests. The ranks of other routers' requests are not known.
    static auto laterPrefillTokens(const Upstream &upstream, const routing::EngineLoad &load, std::uint32_t rank)
        -> std::uint64_t;
    auto engineCandidate(const Upstream &upstream, const SelectionCriteria &criteria, bool inLongPromptLane,
        TimePoint now) -> routing::EngineCandidate;
    // Returns the estimated time until the first token of a prompt with this many uncached tokens.
    auto estimateFirstToken(const Upstream &upstream, const SelectionCriteria &criteria, std::uint64_t uncachedTokens,
        TimePoint now) -> deadlines::FirstTokenEstimate;
    auto prefillRate(const std::string &service) const -> routing::PrefillRate;
    // Returns the load on the engine from this router and the others.
    auto estimatedLoad(const Upstream &upstream, TimePoint now) const -> routing::EngineLoad;
    // Returns the requests that run or wait at the upstream: those of its last load report and those that this router
    // has sent since. Reports of other routers are not included.
    static auto requestsAtUpstream(const Upstream &upstream) -> std::uint32_t;
    auto slowness(const Upstream &upstream, TimePoint now) -> double;
    auto notifyLoadChange() const -> void;
    auto recordRoutedPrompt(const std::string &engine, const PromptInfo &prompt) -> void;
    // Sets the capacity of all engines of the service, so that the reports of other routers count for each of them.
    auto setCacheCapacity(const SelectionCriteria &criteria) -> void;
    auto makePromptRequest(const SelectionCriteria &criteria, bool isLongPrompt) const -> routing::PromptRequest;
    auto removePendingPrefill(Upstream &upstream, const Assignment &assignment) -> void;

    mutable std::mutex mutex_;
    routing::UpstreamChooser upstreamChooser_;
    routing::EngineChooser engineChooser_;
    routing::PrefixCacheModel prefixCacheModel_;
    routing::PeerLoads peerLoads_;
    std::vector<RoutedPrompt> routedPrompts_;
    std::function<auto()->void> loadChangeCallback_;
    // By service.
    std::map<std::string, routing::RoutePromptStatsTracker> promptStatsTrackers_;
    // The number of engines reserved for long prompts (the long-prompt lane), by service.
    std::map<std::string, std::size_t> longPromptLaneSizes_;
    std::map<std::string, Upstream> upstreams_;
    // Kept for upstreams that are not in upstreams_ too, because their entries may come back.
    routing::UpstreamAvailability availability_;
    routing::UpstreamRateLimits rateLimits_;
    bool rateLimitsChanged_ = false;
    std::string routerName_;
    std::map<std::string, routing::UpstreamHealth> health_;
    std::map<std::string, routing::PrefillRate> prefillRates_;
    // By service; services without waiting requests are left out.
    std::map<std::string, deadlines::WaitingRequests> waitingRequests_;
    std::map<deadlines::Ticket, Waiter> waiters_;
    // The time that engines need for the prompts of requests that were woken for them; engines without any are left
    // out.
    std::map<std::string, Milliseconds> wokenPrefill_;
    deadlines::Ticket nextTicket_ = 1;
    TimePoint lastWakeAt_;
};

} // namespace jasminewood::forward
