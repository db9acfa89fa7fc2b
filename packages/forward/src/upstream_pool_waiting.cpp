#include <algorithm>
#include <limits>

#include <fmt/format.h>
#include <xxhash.h>

#include "jasminewood/forward/upstream_pool.h"

// Late requests that wait in this router for room at an engine.

namespace jasminewood::forward
{

namespace
{

// Finding the requests that go next to any engine takes time in proportion to the engines and routers, and the reports
// of other routers arrive every few ms.
constexpr Milliseconds wakeInterval = Milliseconds(25);
// The interval for which a router keeps its draw for an engine: about as long as it takes until the other routers know
// of a prompt.
constexpr Milliseconds drawInterval = Milliseconds(200);

// Returns a number from 0 to 1, which differs by router, engine and interval.
auto drawFor(const std::string &router, const std::string &engine, TimePoint now) -> double
{
    const auto interval = std::uint64_t(now.time_since_epoch() / drawInterval);
    const auto key = fmt::format("{}/{}", router, engine);
    const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), interval);
    return double(hash) / double(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

auto UpstreamPool::chooseOrWait(const SelectionCriteria &criteria, const WaitTerms &terms, TimePoint now)
    -> Result<AssignmentOrWait>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto plan = planAttempt(criteria, now);
    if (plan && !deadlines::isInTime(plan->deadlineClass_)) {
        if (const auto wait = enqueue(criteria, *plan, terms, now)) {
            return AssignmentOrWait(*wait);
        }
    }
    if (terms.ticket_) {
        removeWaiter(*terms.ticket_);
    }
    return plan ? Result<AssignmentOrWait>(assign(criteria, *plan, now)) : plan.failure();
}

auto UpstreamPool::enqueue(const SelectionCriteria &criteria, const AttemptPlan &plan, const WaitTerms &terms,
    TimePoint now) -> std::optional<WaitForRoom>
{
    const auto sendsNow = hasRoom(criteria, plan, terms, now);
    if (terms.ticket_) {
        removeWaiter(*terms.ticket_);
    }
    const auto &upstream = upstreams_.at(plan.upstreamId_);
    const auto ownPrefill = prefillTime(upstream, plan.prefillTokens_, now);
    const auto longestWait
        = deadlines::maximumWait({.timeout_ = terms.timeout_,
                                     .remaining_ = criteria.timeUntilTimeout_,
                                     .firstToken_ = ownPrefill + deadlines::backlogBound(terms.targetLatency_)},
            terms.waited_);
    const auto signal = sendsNow || longestWait.count() == 0 ? nullptr : WakeSignal::create();
    if (!signal) {
        return std::nullopt;
    }
    const auto ticket = nextTicket_++;
    waitingRequests_[criteria.service_].add(ticket,
        {.rank_ = criteria.rank_,
            .arrival_ = std::uint64_t(terms.arrivedAt_.time_since_epoch().count()),
            .engine_ = plan.upstreamId_,
            .bound_ = deadlines::backlogBound(terms.targetLatency_),
            .chosenAt_ = now});
    waiters_.emplace(ticket, Waiter {.service_ = criteria.service_, .signal_ = signal, .prefillTime_ = ownPrefill});
    wakeFor(upstream, now);
    return WaitForRoom {.ticket_ = ticket, .signal_ = signal, .until_ = now + longestWait};
}

auto UpstreamPool::hasRoom(
    const SelectionCriteria &criteria, const AttemptPlan &plan, const WaitTerms &terms, TimePoint now) -> bool
{
    const auto waiter = terms.ticket_ ? waiters_.find(*terms.ticket_) : waiters_.end();
    if (waiter != waiters_.end() && waiter->second.wokenFor_ == plan.upstreamId_) {
        return true;
    }
    const auto waiting = waitingRequests_.find(criteria.service_);
    const auto arrival = std::uint64_t(terms.arrivedAt_.time_since_epoch().count());
    const auto othersFirst
        = waiting != waitingRequests_.end() && waiting->second.hasBefore(plan.upstreamId_, criteria.rank_, arrival);
    return !othersFirst
        && backlog(upstreams_.at(plan.upstreamId_), now) <= deadlines::backlogBound(terms.targetLatency_);
}

auto UpstreamPool::removeWaiter(deadlines::Ticket ticket) -> bool
{
    const auto found = waiters_.find(ticket);
    if (found == waiters_.end()) {
        return false;
    }
    const auto wasWoken = !found->second.wokenFor_.empty();
    if (wasWoken) {
        const auto woken = wokenPrefill_.find(found->second.wokenFor_);
        woken->second -= found->second.prefillTime_;
        if (woken->second.count() <= 0) {
            wokenPrefill_.erase(woken);
        }
    }
    const auto waiting = waitingRequests_.find(found->second.service_);
    if (waiting != waitingRequests_.end()) {
        waiting->second.remove(ticket);
        if (waiting->second.size() == 0) {
            waitingRequests_.erase(waiting);
        }
    }
    waiters_.erase(found);
    return wasWoken;
}

auto UpstreamPool::endWait(deadlines::Ticket ticket, TimePoint now) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = waiters_.find(ticket);
    const auto engine = found == waiters_.end() ? "" : found->second.wokenFor_;
    if (removeWaiter(ticket)) {
        wakeWaiting(engine, now);
    }
}

auto UpstreamPool::waitingRequests() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return waiters_.size();
}

auto UpstreamPool::prefillTime(const Upstream &upstream, std::uint64_t tokens, TimePoint now) -> Milliseconds
{
    const auto rate = prefillRate(upstream.record_->service_).tokensPerMillisecond();
    return deadlines::estimateFirstToken(
        {.slowness_ = slowness(upstream, now)}, tokens, rate, deadlines::PrefillScope::All);
}

auto UpstreamPool::backlog(const Upstream &upstream, TimePoint now) -> Milliseconds
{
    const auto &id = upstream.record_->id_;
    const auto pending = prefillTime(upstream, estimatedLoad(upstream, now).pendingPrefillTokens_, now);
    const auto woken = wokenPrefill_.find(id);
    const auto time = pending + (woken == wokenPrefill_.end() ? Milliseconds(0) : woken->second);
    return deadlines::comparedBacklog(time, peerLoads_.peerCount(now) + 1, drawFor(routerName_, id, now));
}

auto UpstreamPool::wakeFor(const Upstream &upstream, TimePoint now) -> void
{
    const auto found = waitingRequests_.find(upstream.record_->service_);
    if (found == waitingRequests_.end()) {
        return;
    }
    const auto &id = upstream.record_->id_;
    while (const auto ticket = found->second.takeNext(id, backlog(upstream, now), now)) {
        auto &waiter = waiters_.at(*ticket);
        waiter.wokenFor_ = id;
        wokenPrefill_[id] += waiter.prefillTime_;
        waiter.signal_->wake();
    }
    if (found->second.size() == 0) {
        waitingRequests_.erase(found);
    }
}

auto UpstreamPool::wakeWaiting(const std::string &id, TimePoint now) -> void
{
    if (waitingRequests_.empty()) {
        return;
    }
    if (now - lastWakeAt_ < wakeInterval) {
        const auto found = upstreams_.find(id);
        if (found != upstreams_.end()) {
            wakeFor(found->second, now);
        }
        return;
    }
    lastWakeAt_ = now;
    for (const auto &[upstreamId, upstream] : upstreams_) {
        if (isRoutable(upstream, now)) {
            wakeFor(upstream, now);
        }
    }
}

auto UpstreamPool::wakeWaitingForRemoved(const Upstream &upstream) -> void
{
    const auto found = waitingRequests_.find(upstream.record_->service_);
    if (found == waitingRequests_.end()) {
        return;
    }
    // They choose another engine, so none of them has room there yet.
    for (auto ticket = found->second.takeWaitingFor(upstream.record_->id_); ticket;
         ticket = found->second.takeWaitingFor(upstream.record_->id_)) {
        waiters_.at(*ticket).signal_->wake();
    }
}

} // namespace jasminewood::forward
