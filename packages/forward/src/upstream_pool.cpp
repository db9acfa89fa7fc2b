#include "jasminewood/forward/upstream_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

namespace jasminewood::forward
{

namespace
{

// Few routers send most of an upstream's load and know it, so they compare more upstreams than many would.
constexpr std::uint32_t draws = 4;
// The part of an engine's memory that holds prompts which are not running.
constexpr double cachePart = 0.6;

auto nodeOf(const membership::UpstreamRecord &record) -> NodeId
{
    return {.name_ = record.id_, .incarnation_ = std::uint64_t(record.incarnation_)};
}

auto tokensOf(const PromptInfo &prompt) -> std::uint64_t
{
    const auto add = [](std::uint64_t sum, const routing::PromptSegment &part) {
        return sum + part.tokens_;
    };
    const auto parts = std::accumulate(prompt.segments_.begin(), prompt.segments_.end(), std::uint64_t(0), add);
    return std::max<std::uint64_t>(prompt.promptTokens_, parts);
}

// The tokens of the part that the prompt shares with no other one.
auto ownTokens(const PromptInfo &prompt) -> std::uint64_t
{
    return prompt.segments_.empty() ? prompt.promptTokens_ : prompt.segments_.back().tokens_;
}

// The part before the last ends the longest beginning that several requests share.
auto promptRequest(const PromptInfo &prompt, bool longLane) -> routing::PromptRequest
{
    const auto shared = prompt.segments_.size() > 1;
    const auto tokens = tokensOf(prompt);
    return {.promptTokens_ = tokens,
        .isLongPrompt_ = longLane,
        .sharedPrefixId_ = shared ? prompt.segments_[prompt.segments_.size() - 2].id_ : 0,
        .sharedPrefixTokens_ = shared ? tokens - ownTokens(prompt) : 0};
}

// Returns the time until the answer began as if the same number of tokens had been read for each: engines with long
// prompts are not slower than others.
auto comparableTime(const Assignment &assignment, TimePoint now) -> Microseconds
{
    constexpr double fixedTokens = 500;
    const auto time = std::chrono::duration_cast<Microseconds>(now - assignment.startedAt_);
    const auto tokens = double(assignment.queuedPrefillTokens_ + assignment.prefillTokens_);
    return Microseconds(std::int64_t(double(time.count()) * fixedTokens / (fixedTokens + tokens)));
}

} // namespace

UpstreamPool::UpstreamPool(std::uint64_t seed, const std::string &dataCentre)
    : chooser_(seed, dataCentre)
    , engineChooser_(seed, dataCentre)
{
}

auto UpstreamPool::setUpstreams(const std::vector<membership::RoutableUpstream> &routable) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto present = std::set<std::string>();
    for (const auto &[record, until] : routable) {
        present.insert(record.id_);
        auto &upstream = upstreams_[record.id_];
        const auto restarted = upstream.record_ && upstream.record_->incarnation_ != record.incarnation_;
        const auto moved = upstream.record_ && upstream.record_->address_ != record.address_;
        if (restarted || moved) {
            prefixes_.clear(record.id_);
            upstream = Upstream {.record_ = nullptr, .until_ = std::nullopt, .outstanding_ = upstream.outstanding_};
        }
        upstream.until_ = until;
        upstream.record_ = std::make_shared<const membership::UpstreamRecord>(record);
    }
    for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
        const auto gone = !present.contains(entry->first);
        if (gone) {
            prefixes_.clear(entry->first);
        }
        entry = gone ? upstreams_.erase(entry) : std::next(entry);
    }
}

auto UpstreamPool::unread(const Upstream &upstream) -> std::uint64_t
{
    auto sum = std::uint64_t(0);
    for (const auto &[since, tokens] : upstream.unread_) {
        sum += tokens;
    }
    return sum;
}

auto UpstreamPool::busy(const Upstream &upstream) -> std::uint32_t
{
    const auto since = std::max(upstream.outstanding_, upstream.outstandingAtReport_) - upstream.outstandingAtReport_;
    return std::max(upstream.reportedRunning_ + upstream.reportedWaiting_ + since, upstream.outstanding_);
}

auto UpstreamPool::loadOf(const Upstream &upstream, TimePoint now) const -> routing::EngineLoad
{
    const auto others = peers_.loadOf(upstream.record_->id_, now);
    return {.pendingPrefillTokens_ = unread(upstream) + others.pendingPrefillTokens_,
        .inFlightRequests_ = std::max(busy(upstream), upstream.outstanding_ + others.inFlightRequests_)};
}

auto UpstreamPool::slowness(const Upstream &upstream, TimePoint now) -> double
{
    const auto age = std::chrono::duration<double>(now - upstream.reportedAt_) / slownessHalfLife;
    const auto reported = 1 + std::max(0.0, upstream.slowness_ - 1) * std::exp2(-age);
    return reported * health_[upstream.record_->service_].slowness(nodeOf(*upstream.record_), now);
}

auto UpstreamPool::eligible(const SelectionRequest &wanted, TimePoint now) const -> std::vector<const Upstream *>
{
    auto rested = std::vector<const Upstream *>();
    auto resting = std::vector<const Upstream *>();
    for (const auto &[id, upstream] : upstreams_) {
        const auto tried = std::find(wanted.excludedUpstreams_.begin(), wanted.excludedUpstreams_.end(), id)
            != wanted.excludedUpstreams_.end();
        const auto ended = upstream.replaced_ || (upstream.until_ && now >= *upstream.until_);
        if (upstream.record_->service_ == wanted.service_ && !ended && !tried) {
            const auto rests = upstream.restsUntil_ && now < *upstream.restsUntil_;
            (rests ? resting : rested).push_back(&upstream);
        }
    }
    return rested.empty() ? resting : rested;
}

auto UpstreamPool::pickUpstream(const std::vector<const Upstream *> &eligible, TimePoint now) -> Result<std::string>
{
    auto candidates = std::vector<routing::UpstreamCandidate>();
    for (const auto *upstream : eligible) {
        const auto load = busy(*upstream);
        const auto slots = upstream->record_->slots_;
        candidates.push_back({.node_ = nodeOf(*upstream->record_),
            .dataCentre_ = upstream->record_->dataCentre_,
            .outstanding_ = load,
            .queuedAhead_ = upstream->reportedWaiting_,
            .freeSlots_ = slots > load ? slots - load : 0,
            .slowness_ = slowness(*upstream, now)});
    }
    const auto node = chooser_.choose(routing::PowerOfChoices {.choices_ = draws}, {}, candidates);
    if (!node) {
        return node.failure();
    }
    return node->name_;
}

auto UpstreamPool::pickEngine(
    const SelectionRequest &wanted, const std::vector<const Upstream *> &eligible, TimePoint now) -> std::string
{
    const auto &mix = mixes_[wanted.service_];
    auto ids = std::vector<std::string>();
    for (const auto *upstream : eligible) {
        ids.push_back(upstream->record_->id_);
    }
    auto &size = laneSizes_[wanted.service_];
    size = routing::longPromptLaneSize(mix.longPromptLaneShare(), ids.size(), size);
    const auto lanes = routing::selectLongPromptLane(ids, size);
    auto candidates = std::vector<routing::EngineCandidate>();
    for (auto index = std::size_t(0); index < ids.size(); ++index) {
        const auto &upstream = *eligible[index];
        const auto load = loadOf(upstream, now);
        candidates.push_back({.id_ = ids[index],
            .dataCentre_ = upstream.record_->dataCentre_,
            .pendingPrefillTokens_ = load.pendingPrefillTokens_,
            .cachedPrefixTokens_ = prefixes_.cachedPrefixTokens(ids[index], wanted.prompt_->segments_),
            .activeRequests_ = load.inFlightRequests_,
            .slots_ = upstream.record_->slots_,
            .slowness_ = slowness(upstream, now),
            .inLongPromptLane_ = lanes[index]});
    }
    return ids[engineChooser_.choose(promptRequest(*wanted.prompt_, mix.hasLongPrompts(wanted.route_)), candidates)];
}

auto UpstreamPool::recordArrival(const SelectionRequest &wanted, TimePoint now) -> void
{
    if (wanted.prompt_) {
        const auto lock = std::scoped_lock(mutex_);
        mixes_[wanted.service_].recordArrival(wanted.route_, ownTokens(*wanted.prompt_), now);
    }
}

auto UpstreamPool::choose(const SelectionRequest &wanted, TimePoint now) -> Result<Assignment>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto candidates = eligible(wanted, now);
    const auto picked = wanted.prompt_ && !candidates.empty() ? Result<std::string>(pickEngine(wanted, candidates, now))
                                                              : pickUpstream(candidates, now);
    if (!picked) {
        return picked.failure();
    }
    auto &upstream = upstreams_.at(*picked);
    const auto before = loadOf(upstream, now);
    ++upstream.outstanding_;
    auto unreadTokens = std::uint64_t(0);
    if (wanted.prompt_) {
        unreadTokens = tokensOf(*wanted.prompt_) - prefixes_.cachedPrefixTokens(*picked, wanted.prompt_->segments_);
        upstream.cacheTokens_ = std::uint64_t(cachePart * double(wanted.engineCacheTokens_));
        prefixes_.recordPrompt(*picked, wanted.prompt_->segments_, upstream.cacheTokens_);
        noteGiven(*picked, *wanted.prompt_);
        upstream.unread_.emplace(now, unreadTokens);
        noteLoadChange();
    }
    return Assignment {.upstream_ = *upstream.record_,
        .prefillTokens_ = unreadTokens,
        .queuedPrefillTokens_ = before.pendingPrefillTokens_,
        .requestsInFlight_ = before.inFlightRequests_,
        .loadReportAge_ = std::chrono::duration_cast<Milliseconds>(now - upstream.reportedAt_),
        .startedAt_ = now};
}

auto UpstreamPool::dropUnread(Upstream &upstream, const Assignment &assignment) -> void
{
    const auto [first, last] = upstream.unread_.equal_range(assignment.startedAt_);
    const auto found = std::find_if(first, last, [&assignment](const auto &entry) {
        return entry.second == assignment.prefillTokens_;
    });
    if (found != last) {
        upstream.unread_.erase(found);
    }
}

auto UpstreamPool::recordResponseStart(const Assignment &assignment, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(assignment.upstream_.id_);
    if (found == upstreams_.end()) {
        return;
    }
    dropUnread(found->second, assignment);
    noteLoadChange();
    health_[assignment.upstream_.service_].recordTimeToFirstToken(
        nodeOf(assignment.upstream_), comparableTime(assignment, now), now);
}

auto UpstreamPool::recordAttemptEnd(const Assignment &assignment, AttemptResult result, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(assignment.upstream_.id_);
    if (found == upstreams_.end()) {
        return;
    }
    auto &upstream = found->second;
    dropUnread(upstream, assignment);
    upstream.outstanding_ -= std::min(upstream.outstanding_, 1U);
    noteLoadChange();
    upstream.outstandingAtReport_ = std::min(upstream.outstandingAtReport_, upstream.outstanding_);
    if (result == AttemptResult::Answered) {
        upstream.failures_ = 0;
        upstream.restsUntil_.reset();
    } else if (result == AttemptResult::Failed) {
        const auto rest = std::min(maximumEjectionTime, minimumEjectionTime * (1 << std::min(upstream.failures_, 3U)));
        ++upstream.failures_;
        upstream.restsUntil_ = now + rest;
        health_[upstream.record_->service_].recordFailure(nodeOf(*upstream.record_), now);
    } else if (result == AttemptResult::AddressReused) {
        upstream.replaced_ = true;
    }
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
    upstream.outstandingAtReport_ = upstream.outstanding_;
    upstream.slowness_ = report.slowness_;
    upstream.reportedAt_ = now;
}

auto UpstreamPool::localEngineLoads() const -> routing::EngineLoads
{
    const auto lock = std::scoped_lock(mutex_);
    auto loads = routing::EngineLoads();
    for (const auto &[id, upstream] : upstreams_) {
        // Only engines have a cache.
        if (upstream.cacheTokens_ > 0 && upstream.outstanding_ > 0) {
            loads.emplace(id,
                routing::EngineLoad {
                    .pendingPrefillTokens_ = unread(upstream), .inFlightRequests_ = upstream.outstanding_});
        }
    }
    return loads;
}

auto UpstreamPool::localPromptStats() const -> PromptStatsByService
{
    const auto lock = std::scoped_lock(mutex_);
    auto flows = PromptStatsByService();
    for (const auto &[service, mix] : mixes_) {
        flows.emplace(service, mix.localStats());
    }
    return flows;
}

auto UpstreamPool::setLoadChangeCallback(std::function<auto()->void> callback) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    loadChanged_ = std::move(callback);
}

auto UpstreamPool::noteLoadChange() const -> void
{
    if (loadChanged_) {
        loadChanged_();
    }
}

auto UpstreamPool::noteGiven(const std::string &engine, const PromptInfo &prompt) -> void
{
    if (prompt.segments_.size() < 2) {
        return;
    }
    if (given_.size() >= maximumQueuedPrompts) {
        given_.clear();
    }
    given_.push_back({.engine_ = engine, .segments_ = {prompt.segments_.begin(), prompt.segments_.end() - 1}});
}

auto UpstreamPool::takeRoutedPrompts() -> std::vector<RoutedPrompt>
{
    const auto lock = std::scoped_lock(mutex_);
    return std::exchange(given_, {});
}

auto UpstreamPool::applyPeerReport(const std::string &router, const PeerReport &report, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    peers_.applyReport(router, report.isFullReport_, report.loads_, now);
    for (const auto &prompt : report.prompts_) {
        const auto found = upstreams_.find(prompt.engine_);
        if (found != upstreams_.end() && found->second.cacheTokens_ > 0) {
            prefixes_.recordPrompt(prompt.engine_, prompt.segments_, found->second.cacheTokens_);
        }
    }
    for (const auto &[service, flows] : report.promptStats_) {
        mixes_[service].applyPeerReport(router, flows, now);
    }
}

auto UpstreamPool::routerCount(TimePoint now) const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return peers_.peerCount(now) + 1;
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

} // namespace jasminewood::forward
