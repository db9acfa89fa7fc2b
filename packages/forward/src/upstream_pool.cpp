#include "jasminewood/forward/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

#include "jasminewood/core/overloaded.h"
#include "upstream_node_id.h"

namespace jasminewood::forward
{

namespace
{

// Candidates compared for one choice (power of d choices). More than the usual two, because with few routers each one
// sees most of the load.
constexpr std::uint32_t candidatesPerChoice = 4;
// The share of an engine's KV cache that is assumed to hold reusable prompt prefixes. Running requests use the rest.
constexpr double prefixCacheShare = 0.6;

auto promptTokens(const PromptInfo &prompt) -> std::uint64_t
{
    const auto add = [](std::uint64_t sum, const routing::PromptSegment &segment) {
        return sum + segment.tokens_;
    };
    const auto segmentTokens = std::accumulate(prompt.segments_.begin(), prompt.segments_.end(), std::uint64_t(0), add);
    return std::max<std::uint64_t>(prompt.promptTokens_, segmentTokens);
}

// Returns the number of tokens in the last segment, which no other prompt shares; all tokens if there are no segments.
auto unsharedTokens(const PromptInfo &prompt) -> std::uint64_t
{
    return prompt.segments_.empty() ? prompt.promptTokens_ : prompt.segments_.back().tokens_;
}

// Returns the time to first token, normalised to a fixed number of prefill tokens, so that engines which receive long
// prompts do not appear slower than others.
auto normalisedTimeToFirstToken(const Assignment &assignment, TimePoint now) -> Microseconds
{
    constexpr double baseTokens = 500;
    const auto time = std::chrono::duration_cast<Microseconds>(now - assignment.startedAt_);
    const auto tokens = double(assignment.pendingPrefillTokens_ + assignment.prefillTokens_);
    return Microseconds(std::int64_t(double(time.count()) * baseTokens / (baseTokens + tokens)));
}

// Returns whether an upstream of this version meets the criterion.
auto matches(const VersionCriterion &criterion, const std::string &version) -> bool
{
    return std::visit(Overloaded {[](const AnyVersion &) {
                                      return true;
                                  },
                          [&version](const AllowedVersions &allowed) {
                              return allowed.versions_.empty() || allowed.versions_.contains(version);
                          },
                          [&version](const RequiredVersion &required) {
                              return !version.empty() && required.version_ == version;
                          }},
        criterion);
}

auto classify(const SelectionCriteria &criteria, const deadlines::FirstTokenEstimate &estimate)
    -> deadlines::DeadlineClass
{
    if (!criteria.prompt_ || criteria.resumesStream_) {
        return deadlines::InTime {};
    }
    return deadlines::classify(
        estimate, {.untilDue_ = criteria.timeUntilDue_, .untilTimeout_ = criteria.timeUntilTimeout_});
}

template <typename Element, typename Predicate>
auto filter(const std::vector<Element> &elements, Predicate predicate) -> std::vector<Element>
{
    auto matching = std::vector<Element>();
    std::copy_if(elements.begin(), elements.end(), std::back_inserter(matching), predicate);
    return matching;
}

} // namespace

UpstreamPool::UpstreamPool(std::uint64_t seed, const std::string &dataCentre)
    : upstreamChooser_(seed, dataCentre)
    , engineChooser_(seed, dataCentre)
{
}

auto UpstreamPool::setUpstreams(const std::vector<membership::RoutableUpstream> &routable) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto routableIds = std::set<std::string>();
    for (const auto &[record, routableUntil] : routable) {
        routableIds.insert(record.id_);
        auto &upstream = upstreams_[record.id_];
        const auto restarted = upstream.record_ && upstream.record_->incarnation_ != record.incarnation_;
        const auto addressChanged = upstream.record_ && upstream.record_->address_ != record.address_;
        if (restarted || addressChanged) {
            prefixCacheModel_.clear(record.id_);
            upstream = Upstream {.record_ = nullptr, .routableUntil_ = std::nullopt, .inFlight_ = upstream.inFlight_};
        }
        upstream.routableUntil_ = routableUntil;
        upstream.record_ = std::make_shared<const membership::UpstreamRecord>(record);
    }
    for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
        const auto removed = !routableIds.contains(entry->first);
        if (removed) {
            wakeWaitingForRemoved(entry->second);
            prefixCacheModel_.clear(entry->first);
        }
        entry = removed ? upstreams_.erase(entry) : std::next(entry);
    }
}

auto UpstreamPool::pendingPrefillTokens(const Upstream &upstream) -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto &[chosenAt, prompt] : upstream.pendingPrefill_) {
        sum += prompt.tokens_;
    }
    return sum;
}

auto UpstreamPool::requestsAtUpstream(const Upstream &upstream) -> std::uint32_t
{
    const auto startedSinceReport
        = std::max(upstream.inFlight_, upstream.inFlightAtReport_) - upstream.inFlightAtReport_;
    return std::max(upstream.reportedRunning_ + upstream.reportedWaiting_ + startedSinceReport, upstream.inFlight_);
}

auto UpstreamPool::estimatedLoad(const Upstream &upstream, TimePoint now) const -> routing::EngineLoad
{
    const auto peerLoad = peerLoads_.loadOf(upstream.record_->id_, now);
    return {.pendingPrefillTokens_ = pendingPrefillTokens(upstream) + peerLoad.pendingPrefillTokens_,
        .inFlightRequests_ = std::max(requestsAtUpstream(upstream), upstream.inFlight_ + peerLoad.inFlightRequests_),
        .latePrefillTokens_ = latePrefillTokens(upstream) + peerLoad.latePrefillTokens_};
}

auto UpstreamPool::slowness(const Upstream &upstream, TimePoint now) -> double
{
    const auto age = std::chrono::duration<double>(now - upstream.reportedAt_) / slownessHalfLife;
    const auto decayedSlowness = 1 + std::max(0.0, upstream.reportedSlowness_ - 1) * std::exp2(-age);
    return decayedSlowness * health_[upstream.record_->service_].slowness(internal::nodeIdOf(*upstream.record_), now);
}

auto UpstreamPool::setRouterName(const std::string &name) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    routerName_ = name;
}

auto UpstreamPool::eligibleUpstreams(const SelectionCriteria &criteria, TimePoint now) const
    -> std::vector<const Upstream *>
{
    const auto routers = fleet(now);
    auto eligible = std::vector<const Upstream *>();
    for (const auto &[id, upstream] : upstreams_) {
        const auto alreadyTried = std::find(criteria.excludedUpstreams_.begin(), criteria.excludedUpstreams_.end(), id)
            != criteria.excludedUpstreams_.end();
        if (upstream.record_->service_ == criteria.service_ && !alreadyTried && isRoutable(upstream, now)
            && std::holds_alternative<routing::Available>(availability(upstream, routers, now))) {
            eligible.push_back(&upstream);
        }
    }
    const auto hasVersion = [&criteria](const Upstream *upstream) {
        return matches(criteria.versions_, upstream->record_->version_);
    };
    const auto isAvailable = [now](const Upstream *upstream) {
        return !upstream->ejectedUntil_ || now >= *upstream->ejectedUntil_;
    };
    const auto candidates = filter(eligible, hasVersion);
    const auto available = filter(candidates, isAvailable);
    return available.empty() ? candidates : available;
}

auto UpstreamPool::chooseUpstream(const std::vector<const Upstream *> &eligible, TimePoint now) -> Result<std::string>
{
    auto candidates = std::vector<routing::UpstreamCandidate>();
    for (const auto *upstream : eligible) {
        const auto load = requestsAtUpstream(*upstream);
        const auto slots = upstream->record_->slots_;
        candidates.push_back({.node_ = internal::nodeIdOf(*upstream->record_),
            .dataCentre_ = upstream->record_->dataCentre_,
            .inFlight_ = load,
            .reportedAhead_ = upstream->reportedWaiting_,
            .freeSlots_ = slots > load ? slots - load : 0,
            .slowness_ = slowness(*upstream, now)});
    }
    const auto node
        = upstreamChooser_.choose(routing::PowerOfChoices {.choices_ = candidatesPerChoice}, {}, candidates);
    if (!node) {
        return node.failure();
    }
    return node->name_;
}

auto UpstreamPool::chooseEngine(
    const SelectionCriteria &criteria, const std::vector<const Upstream *> &eligible, TimePoint now) -> std::string
{
    const auto &promptStats = promptStatsTrackers_[criteria.service_];
    auto ids = std::vector<std::string>();
    for (const auto *upstream : eligible) {
        ids.push_back(upstream->record_->id_);
    }
    auto &laneSize = longPromptLaneSizes_[criteria.service_];
    laneSize = routing::longPromptLaneSize(promptStats.longPromptLaneShare(), ids.size(), laneSize);
    const auto inLongPromptLane = routing::selectLongPromptLane(ids, laneSize);
    auto candidates = std::vector<routing::EngineCandidate>();
    for (auto index = std::size_t(0); index < ids.size(); ++index) {
        candidates.push_back(engineCandidate(*eligible[index], criteria, inLongPromptLane[index], now));
    }
    return ids[engineChooser_.choose(
        makePromptRequest(criteria, promptStats.hasLongPrompts(criteria.route_)), candidates)];
}

// The prefix that other requests may share ends with the second to last segment, whose id identifies it.
auto UpstreamPool::makePromptRequest(const SelectionCriteria &criteria, bool isLongPrompt) const
    -> routing::PromptRequest
{
    const auto &prompt = *criteria.prompt_;
    const auto hasSharedPrefix = prompt.segments_.size() > 1;
    const auto tokens = promptTokens(prompt);
    return {.promptTokens_ = tokens,
        .isLongPrompt_ = isLongPrompt,
        .sharedPrefixId_ = hasSharedPrefix ? prompt.segments_[prompt.segments_.size() - 2].id_ : 0,
        .sharedPrefixTokens_ = hasSharedPrefix ? tokens - unsharedTokens(prompt) : 0,
        .tokensUntilDue_ = criteria.timeUntilDue_
            ? std::optional(
                prefillRate(criteria.service_).tokensIn(*criteria.timeUntilDue_ - deadlines::firstTokenMargin))
            : std::nullopt};
}

auto UpstreamPool::recordArrival(const SelectionCriteria &criteria, TimePoint now) -> void
{
    if (criteria.prompt_) {
        const auto lock = std::scoped_lock(mutex_);
        promptStatsTrackers_[criteria.service_].recordArrival(criteria.route_, unsharedTokens(*criteria.prompt_), now);
    }
}

auto UpstreamPool::setCacheCapacity(const SelectionCriteria &criteria) -> void
{
    const auto capacity = std::uint64_t(prefixCacheShare * double(criteria.engineCacheTokens_));
    for (auto &[id, upstream] : upstreams_) {
        if (upstream.record_->service_ == criteria.service_) {
            upstream.cacheCapacityTokens_ = capacity;
        }
    }
}

auto UpstreamPool::hasEligibleUpstream(const SelectionCriteria &criteria, TimePoint now) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return !eligibleUpstreams(criteria, now).empty();
}

auto UpstreamPool::hasWorkingUpstream(const SelectionCriteria &criteria, TimePoint now) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    const auto eligible = eligibleUpstreams(criteria, now);
    return std::any_of(eligible.begin(), eligible.end(), [now](const auto *upstream) {
        return !upstream->ejectedUntil_ || now >= *upstream->ejectedUntil_;
    });
}

auto UpstreamPool::choose(const SelectionCriteria &criteria, TimePoint now) -> Result<Assignment>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto plan = planAttempt(criteria, now);
    return plan ? Result<Assignment>(assign(criteria, *plan, now)) : plan.failure();
}

auto UpstreamPool::planAttempt(const SelectionCriteria &criteria, TimePoint now) -> Result<AttemptPlan>
{
    if (criteria.prompt_) {
        setCacheCapacity(criteria);
    }
    const auto candidates = eligibleUpstreams(criteria, now);
    const auto chosenId = criteria.prompt_ && !candidates.empty()
        ? Result<std::string>(chooseEngine(criteria, candidates, now))
        : chooseUpstream(candidates, now);
    if (!chosenId) {
        return chosenId.failure();
    }
    const auto cachedTokens = criteria.prompt_
        ? prefixCacheModel_.cachedPrefixTokens(*chosenId, criteria.prompt_->segments_)
        : std::uint64_t(0);
    const auto prefillTokens = criteria.prompt_ ? promptTokens(*criteria.prompt_) - cachedTokens : std::uint64_t(0);
    const auto estimate = criteria.prompt_ ? estimateFirstToken(upstreams_.at(*chosenId), criteria, prefillTokens, now)
                                           : deadlines::FirstTokenEstimate();
    return AttemptPlan {.upstreamId_ = *chosenId,
        .prefillTokens_ = prefillTokens,
        .firstToken_ = estimate,
        .deadlineClass_ = classify(criteria, estimate)};
}

auto UpstreamPool::assign(const SelectionCriteria &criteria, const AttemptPlan &plan, TimePoint now) -> Assignment
{
    auto &upstream = upstreams_.at(plan.upstreamId_);
    const auto loadBefore = estimatedLoad(upstream, now);
    const auto isInTime = deadlines::isInTime(plan.deadlineClass_);
    ++upstream.inFlight_;
    rateLimits_.recordRequest(internal::nodeIdOf(*upstream.record_), fleet(now), now);
    if (criteria.prompt_) {
        prefixCacheModel_.recordPrompt(plan.upstreamId_, criteria.prompt_->segments_, upstream.cacheCapacityTokens_);
        recordRoutedPrompt(plan.upstreamId_, *criteria.prompt_);
        upstream.pendingPrefill_.emplace(
            now, PendingPrompt {.tokens_ = plan.prefillTokens_, .rank_ = criteria.rank_, .isInTime_ = isInTime});
        notifyLoadChange();
    }
    const auto firstToken = isInTime ? plan.firstToken_.inTime_ : plan.firstToken_.behindAll_;
    return Assignment {.upstream_ = *upstream.record_,
        .prefillTokens_ = plan.prefillTokens_,
        .pendingPrefillTokens_ = loadBefore.pendingPrefillTokens_,
        .inFlightRequests_ = loadBefore.inFlightRequests_,
        .loadReportAge_ = upstream.reportedAt_ == TimePoint()
            ? noLoadReport
            : std::chrono::duration_cast<Milliseconds>(now - upstream.reportedAt_),
        .startedAt_ = now,
        .deadlineClass_ = plan.deadlineClass_,
        .expectedFirstToken_ = criteria.prompt_ ? std::optional(firstToken) : std::nullopt,
        .rank_ = criteria.rank_};
}

auto UpstreamPool::removePendingPrefill(Upstream &upstream, const Assignment &assignment) -> void
{
    const auto [first, last] = upstream.pendingPrefill_.equal_range(assignment.startedAt_);
    const auto found = std::find_if(first, last, [&assignment](const auto &entry) {
        return entry.second.tokens_ == assignment.prefillTokens_ && entry.second.rank_ == assignment.rank_
            && entry.second.isInTime_ == deadlines::isInTime(assignment.deadlineClass_);
    });
    if (found != last) {
        upstream.pendingPrefill_.erase(found);
    }
}

auto UpstreamPool::recordResponseStart(const Assignment &assignment, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(assignment.upstream_.id_);
    if (found == upstreams_.end()) {
        return;
    }
    removePendingPrefill(found->second, assignment);
    notifyLoadChange();
    health_[assignment.upstream_.service_].recordTimeToFirstToken(
        internal::nodeIdOf(assignment.upstream_), normalisedTimeToFirstToken(assignment, now), now);
    if (assignment.pendingPrefillTokens_ == 0) {
        prefillRates_[assignment.upstream_.service_].record(
            assignment.prefillTokens_, std::max(1.0, found->second.reportedSlowness_), now - assignment.startedAt_);
    }
    wakeWaiting(assignment.upstream_.id_, now);
}

auto UpstreamPool::recordAttemptEnd(const Assignment &assignment, AttemptResult result, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(assignment.upstream_.id_);
    if (found == upstreams_.end()) {
        return;
    }
    auto &upstream = found->second;
    removePendingPrefill(upstream, assignment);
    upstream.inFlight_ -= std::min(upstream.inFlight_, 1U);
    notifyLoadChange();
    upstream.inFlightAtReport_ = std::min(upstream.inFlightAtReport_, upstream.inFlight_);
    if (result == AttemptResult::Responded) {
        upstream.consecutiveFailures_ = 0;
        upstream.ejectedUntil_.reset();
    } else if (result == AttemptResult::Failed) {
        const auto ejectionTime
            = std::min(maximumEjectionTime, minimumEjectionTime * (1 << std::min(upstream.consecutiveFailures_, 3U)));
        ++upstream.consecutiveFailures_;
        upstream.ejectedUntil_ = now + ejectionTime;
        health_[upstream.record_->service_].recordFailure(internal::nodeIdOf(*upstream.record_), now);
    } else if (result == AttemptResult::Misdirected) {
        upstream.misdirected_ = true;
    }
    wakeWaiting(assignment.upstream_.id_, now);
}

auto UpstreamPool::recordLoadReport(const std::string &id, const LoadReport &report, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    auto &upstream = found->second;
    upstream.reportedRunning_ = report.running_;
    upstream.reportedWaiting_ = report.waiting_;
    upstream.inFlightAtReport_ = upstream.inFlight_;
    upstream.reportedSlowness_ = report.slowness_;
    upstream.reportedAt_ = now;
}

auto UpstreamPool::localEngineLoads() const -> routing::EngineLoads
{
    const auto lock = std::scoped_lock(mutex_);
    auto loads = routing::EngineLoads();
    for (const auto &[id, upstream] : upstreams_) {
        // Only model engines have a prefix cache.
        if (upstream.cacheCapacityTokens_ > 0 && upstream.inFlight_ > 0) {
            loads.emplace(id,
                routing::EngineLoad {.pendingPrefillTokens_ = pendingPrefillTokens(upstream),
                    .inFlightRequests_ = upstream.inFlight_,
                    .latePrefillTokens_ = latePrefillTokens(upstream)});
        }
    }
    return loads;
}

auto UpstreamPool::localPromptStats() const -> PromptStatsByService
{
    const auto lock = std::scoped_lock(mutex_);
    auto statsByService = PromptStatsByService();
    for (const auto &[service, promptStats] : promptStatsTrackers_) {
        statsByService.emplace(service, promptStats.localStats());
    }
    return statsByService;
}

auto UpstreamPool::setLoadChangeCallback(std::function<auto()->void> callback) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    loadChangeCallback_ = std::move(callback);
}

auto UpstreamPool::notifyLoadChange() const -> void
{
    if (loadChangeCallback_) {
        loadChangeCallback_();
    }
}

auto UpstreamPool::recordRoutedPrompt(const std::string &engine, const PromptInfo &prompt) -> void
{
    if (prompt.segments_.size() < 2) {
        return;
    }
    if (routedPrompts_.size() >= maximumRoutedPrompts) {
        routedPrompts_.clear();
    }
    routedPrompts_.push_back({.engine_ = engine, .segments_ = {prompt.segments_.begin(), prompt.segments_.end() - 1}});
}

auto UpstreamPool::takeRoutedPrompts() -> std::vector<RoutedPrompt>
{
    const auto lock = std::scoped_lock(mutex_);
    return std::exchange(routedPrompts_, {});
}

auto UpstreamPool::applyPeerReport(const std::string &router, const PeerReport &report, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    peerLoads_.applyReport(router, report.isFullReport_, report.loads_, now);
    for (const auto &prompt : report.prompts_) {
        const auto found = upstreams_.find(prompt.engine_);
        if (found != upstreams_.end() && found->second.cacheCapacityTokens_ > 0) {
            prefixCacheModel_.recordPrompt(prompt.engine_, prompt.segments_, found->second.cacheCapacityTokens_);
        }
    }
    for (const auto &[service, routeStats] : report.promptStats_) {
        promptStatsTrackers_[service].applyPeerReport(router, routeStats, now);
    }
    wakeWaiting("", now);
}

auto UpstreamPool::routerCount(TimePoint now) const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return peerLoads_.peerCount(now) + 1;
}

auto UpstreamPool::size() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return upstreams_.size();
}

auto UpstreamPool::contains(const std::string &id) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return upstreams_.contains(id);
}

auto UpstreamPool::recordOf(const std::string &id) const -> std::optional<membership::UpstreamRecord>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? std::nullopt : std::optional(*found->second.record_);
}

} // namespace jasminewood::forward
