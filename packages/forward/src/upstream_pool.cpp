#include "jasminewood/forward/upstream_pool.h"

#include <algorithm>
#include <set>

namespace jasminewood::forward
{

namespace
{

// Few routers send most of an upstream's load and know it, so they compare more upstreams than many would.
constexpr std::uint32_t draws = 4;

auto nodeOf(const membership::UpstreamRecord &record) -> NodeId
{
    return {.name_ = record.id_, .incarnation_ = std::uint64_t(record.incarnation_)};
}

// The part before the last is the longest one that several requests share.
auto sharedPart(const std::optional<Prompt> &prompt) -> std::uint64_t
{
    return prompt && prompt->parts_.size() > 1 ? prompt->parts_[prompt->parts_.size() - 2].id_ : 0;
}

} // namespace

UpstreamPool::UpstreamPool(std::uint64_t seed, const std::string &dataCentre)
    : chooser_(seed, dataCentre)
{
}

auto UpstreamPool::replace(const std::vector<membership::UpstreamRecord> &records) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    auto present = std::set<std::string>();
    for (const auto &record : records) {
        present.insert(record.id_);
        auto &upstream = upstreams_[record.id_];
        const auto restarted = upstream.record_ && upstream.record_->incarnation_ != record.incarnation_;
        const auto moved = upstream.record_ && upstream.record_->address_ != record.address_;
        if (restarted || moved) {
            upstream = Upstream {.record_ = nullptr, .outstanding_ = upstream.outstanding_};
        }
        upstream.record_ = std::make_shared<const membership::UpstreamRecord>(record);
    }
    for (auto entry = upstreams_.begin(); entry != upstreams_.end();) {
        const auto gone = !present.contains(entry->first);
        entry = gone ? upstreams_.erase(entry) : std::next(entry);
    }
}

auto UpstreamPool::candidate(const Upstream &upstream, routing::UpstreamHealth &health, TimePoint now) const
    -> routing::Candidate
{
    const auto node = nodeOf(*upstream.record_);
    const auto own = std::max(upstream.outstanding_, upstream.outstandingAtReport_) - upstream.outstandingAtReport_;
    const auto busy = upstream.reportedRunning_ + upstream.reportedWaiting_ + own;
    const auto load = std::max(busy, upstream.outstanding_);
    const auto slots = upstream.record_->slots_;
    return {.node_ = node,
        .dataCentre_ = upstream.record_->dataCentre_,
        .outstanding_ = load,
        .queuedAhead_ = upstream.reportedWaiting_,
        .freeSlots_ = slots > load ? slots - load : 0,
        .slowness_ = health.slowness(node, now) * std::max(1.0, upstream.slowness_)};
}

auto UpstreamPool::choose(const std::string &service, const std::optional<Prompt> &prompt,
    const std::vector<std::string> &excluded, TimePoint now) -> Result<membership::UpstreamRecord>
{
    const auto lock = std::scoped_lock(mutex_);
    auto rested = std::vector<routing::Candidate>();
    auto resting = std::vector<routing::Candidate>();
    auto &health = health_[service];
    for (const auto &[id, upstream] : upstreams_) {
        const auto tried = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        if (upstream.record_->service_ == service && !upstream.replaced_ && !tried) {
            const auto rests = upstream.restsUntil_ && now < *upstream.restsUntil_;
            (rests ? resting : rested).push_back(candidate(upstream, health, now));
        }
    }
    const auto request = routing::Request {.prefixHash_ = sharedPart(prompt)};
    const auto policy = routing::Weighted {.draws_ = draws};
    const auto node = chooser_.choose(policy, request, rested.empty() ? resting : rested);
    if (!node) {
        return node.reason();
    }
    auto &upstream = upstreams_.at(node->name_);
    ++upstream.outstanding_;
    return *upstream.record_;
}

auto UpstreamPool::released(const std::string &id, AttemptResult result, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end()) {
        return;
    }
    auto &upstream = found->second;
    upstream.outstanding_ -= std::min(upstream.outstanding_, 1U);
    upstream.outstandingAtReport_ = std::min(upstream.outstandingAtReport_, upstream.outstanding_);
    if (result == AttemptResult::Answered) {
        upstream.failures_ = 0;
        upstream.restsUntil_.reset();
    } else if (result == AttemptResult::Broken) {
        const auto rest = std::min(longestRest, firstRest * (1 << std::min(upstream.failures_, 3U)));
        ++upstream.failures_;
        upstream.restsUntil_ = now + rest;
        health_[upstream.record_->service_].failed(nodeOf(*upstream.record_), now);
    } else if (result == AttemptResult::Replaced) {
        upstream.replaced_ = true;
    }
}

auto UpstreamPool::reported(const std::string &id, const LoadReport &report) -> void
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
}

auto UpstreamPool::answeredAfter(const std::string &id, Microseconds time, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end()) {
        health_[found->second.record_->service_].firstToken(nodeOf(*found->second.record_), time, now);
    }
}

auto UpstreamPool::serves(const std::string &service) const -> bool
{
    const auto lock = std::scoped_lock(mutex_);
    return std::any_of(upstreams_.begin(), upstreams_.end(), [&service](const auto &entry) {
        return entry.second.record_->service_ == service;
    });
}

} // namespace jasminewood::forward
