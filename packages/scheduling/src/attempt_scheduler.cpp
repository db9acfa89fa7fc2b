#include "jasminewood/scheduling/attempt_scheduler.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace jasminewood::scheduling
{

namespace
{

auto refusal(const std::string &reason, RunState runState, std::optional<Milliseconds> retryAfter) -> EnqueueResult
{
    return Refused {Failure {.step_ = "queue", .reason_ = reason, .runState_ = runState, .retryAfter_ = retryAfter}};
}

auto queueFull() -> EnqueueResult
{
    return refusal("queue is full", RunState::NotRun, queueFullRetryAfter);
}

// The smallest work that an attempt is charged, so that requests that fail early are not free.
auto chargeable(std::uint32_t tokens) -> double
{
    return std::max<double>(1, tokens);
}

} // namespace

AttemptScheduler::AttemptScheduler(SchedulerPolicy policy, QueueDiscipline order)
    : policy_(std::make_shared<const SchedulerPolicy>(std::move(policy)))
    , order_(order)
{
}

auto AttemptScheduler::enqueue(QueueEntry entry, TimePoint now) -> EnqueueResult
{
    if (arrivals_.contains(entry.attempt_) || running_.contains(entry.attempt_)) {
        return refusal("attempt is already queued or running", RunState::MayHaveRun, std::nullopt);
    }
    if (entry.resuming_) {
        admit(std::move(entry));
        return Queued {};
    }
    if (const auto limit = deadline(entry); limit && *limit <= now) {
        return refusal("maximum wait has passed", RunState::NotRun, std::nullopt);
    }
    auto admission = std::visit(
        [&](const auto &order) {
            return place(entry, order);
        },
        order_);
    if (const auto *eviction = std::get_if<QueuedAfterEviction>(&admission)) {
        removeQueued(eviction->evicted_);
    }
    if (!std::holds_alternative<Refused>(admission)) {
        admit(std::move(entry));
    }
    return admission;
}

auto AttemptScheduler::place(const QueueEntry & /*entry*/, const FirstInFirstOut & /*order*/) -> EnqueueResult
{
    return queue_.size() < policy_->queueLimit_ ? EnqueueResult(Queued {}) : queueFull();
}

auto AttemptScheduler::place(const QueueEntry &entry, const TierAndShare & /*order*/) -> EnqueueResult
{
    if (placeFree(entry.requestClass_)) {
        return Queued {};
    }
    const auto victim = evictable(entry.tier_);
    return victim == queue_.end() ? queueFull() : QueuedAfterEviction {victim->second.entry_.attempt_};
}

auto AttemptScheduler::admit(QueueEntry entry) -> void
{
    const auto arrival = nextArrival_++;
    const auto limit = deadline(entry);
    if (limit) {
        deadlines_.emplace(*limit, arrival);
    }
    arrivals_.emplace(entry.attempt_, arrival);
    accounts_[entry.requestClass_].onEnqueued(entry.account_, entry.accountWeight_);
    queue_.emplace(arrival, Waiting {std::move(entry), limit});
}

auto AttemptScheduler::deadline(const QueueEntry &entry) const -> std::optional<TimePoint>
{
    if (entry.resuming_) {
        return std::nullopt;
    }
    const auto *policy = classPolicy(entry.requestClass_);
    const auto ownWait = entry.maximumWait_ > Milliseconds(0);
    const auto wait = ownWait || policy == nullptr ? entry.maximumWait_ : policy->maximumWait_;
    return wait > Milliseconds(0) ? std::optional(entry.enqueuedAt_ + wait) : std::nullopt;
}

auto AttemptScheduler::startNext(TimePoint now) -> std::optional<QueueEntry>
{
    if (freeSlotCount() == 0) {
        return std::nullopt;
    }
    const auto position = std::visit(
        [&](const auto &order) {
            return next(now, order);
        },
        order_);
    if (position == queue_.end()) {
        return std::nullopt;
    }
    return start(position, now);
}

auto AttemptScheduler::next(TimePoint now, const FirstInFirstOut & /*order*/) const -> Queue::const_iterator
{
    return std::find_if(queue_.begin(), queue_.end(), [&](const auto &item) {
        return mayStart(item.second, now);
    });
}

auto AttemptScheduler::next(TimePoint now, const TierAndShare & /*order*/) const -> Queue::const_iterator
{
    // The class is chosen by shortfall, tier and its oldest entry; the entry within it by tier, tag and arrival.
    using ClassRank = std::tuple<double, Tier, Arrival>;
    using EntryRank = std::tuple<Tier, double, Arrival>;
    struct Best
    {
        ClassRank classRank_;
        EntryRank entryRank_;
        Queue::const_iterator position_;
    };
    auto best = std::map<std::string_view, Best>();
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        const auto &[arrival, waiting] = *position;
        const auto &entry = waiting.entry_;
        if (!mayStart(waiting, now) || !laneFree(entry)) {
            continue;
        }
        const auto tag = accounts_.at(entry.requestClass_).startTag(entry.account_);
        const auto entryRank = EntryRank(entry.tier_, tag, arrival);
        const auto found = best.find(entry.requestClass_);
        if (found == best.end()) {
            const auto classRank = ClassRank(-shortfall(entry.requestClass_), entry.tier_, arrival);
            best.emplace(entry.requestClass_, Best {classRank, entryRank, position});
        } else if (entryRank < found->second.entryRank_) {
            found->second.entryRank_ = entryRank;
            found->second.position_ = position;
        }
    }
    const auto first = std::min_element(best.begin(), best.end(), [](const auto &left, const auto &right) {
        return left.second.classRank_ < right.second.classRank_;
    });
    return first == best.end() ? queue_.end() : first->second.position_;
}

auto AttemptScheduler::mayStart(const Waiting &waiting, TimePoint now) const -> bool
{
    const auto expired = waiting.deadline_ && *waiting.deadline_ <= now;
    return !expired && !(waiting.entry_.crashSuspect_ && runningSuspects_ > 0);
}

auto AttemptScheduler::laneFree(const QueueEntry &entry) const -> bool
{
    return !entry.expectedLong_ || runningLong_ < policy_->longLaneSlots_;
}

auto AttemptScheduler::evictable(Tier arriving) const -> Queue::const_iterator
{
    auto victim = queue_.end();
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        const auto &entry = position->second.entry_;
        const auto lower = entry.tier_ > arriving && !entry.resuming_;
        const auto lowestSoFar = victim == queue_.end() || entry.tier_ >= victim->second.entry_.tier_;
        if (lower && lowestSoFar && waitingOf(entry.requestClass_) > reservedPlaces(entry.requestClass_)) {
            victim = position;
        }
    }
    return victim;
}

auto AttemptScheduler::start(Queue::const_iterator position, TimePoint now) -> QueueEntry
{
    const auto entry = position->second.entry_;
    const auto work = chargeable(entry.costEstimate_);
    auto &accounts = accounts_.at(entry.requestClass_);
    accounts.onStarted(entry.account_, work);
    // Work that no other class waited for took nothing from anyone, so it does not count against a class's share.
    const auto shared = accounts.queuedCount() + 1 < queue_.size();
    if (shared) {
        shares_.addWork(entry.requestClass_, work, now);
    }
    running_.emplace(entry.attempt_, Running {entry, entry.expectedLong_, work, shared, ++starts_, false});
    runningLong_ += entry.expectedLong_ ? 1 : 0;
    runningSuspects_ += entry.crashSuspect_ ? 1 : 0;
    drop(position);
    return entry;
}

auto AttemptScheduler::drop(Queue::const_iterator position) -> void
{
    const auto &[arrival, waiting] = *position;
    if (waiting.deadline_) {
        deadlines_.erase({*waiting.deadline_, arrival});
    }
    arrivals_.erase(waiting.entry_.attempt_);
    queue_.erase(position);
}

auto AttemptScheduler::removeExpired(TimePoint now) -> std::vector<AttemptId>
{
    auto expired = std::vector<AttemptId>();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto &entry = queue_.at(deadlines_.begin()->second).entry_;
        expired.push_back(entry.attempt_);
        removeQueued(expired.back());
    }
    return expired;
}

auto AttemptScheduler::nextExpiryTime() const -> std::optional<TimePoint>
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

auto AttemptScheduler::choosePreemption(TimePoint now) -> std::optional<AttemptId>
{
    if (!std::holds_alternative<TierAndShare>(order_) || freeSlotCount() > 0) {
        return std::nullopt;
    }
    auto waited = std::vector<Tier>();
    for (const auto &[arrival, waiting] : queue_) {
        if (mayStart(waiting, now) && laneFree(waiting.entry_) && now - waiting.entry_.enqueuedAt_ >= preemptionDelay) {
            waited.push_back(waiting.entry_.tier_);
        }
    }
    if (waited.size() <= preempting_) {
        return std::nullopt;
    }
    // Slots on their way go to the highest tiers; the next one decides whether another attempt has to go.
    std::sort(waited.begin(), waited.end());
    auto *victim = victimFor(waited[preempting_]);
    if (victim == nullptr) {
        return std::nullopt;
    }
    victim->preempting_ = true;
    ++preempting_;
    return victim->entry_.attempt_;
}

auto AttemptScheduler::nextPreemptionTime(TimePoint now) const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[arrival, waiting] : queue_) {
        const auto due = waiting.entry_.enqueuedAt_ + preemptionDelay;
        if (due > now && (!next || due < *next)) {
            next = due;
        }
    }
    return next;
}

auto AttemptScheduler::victimFor(Tier tier) -> Running *
{
    Running *victim = nullptr;
    for (auto &[attempt, running] : running_) {
        const auto lower = running.entry_.tier_ > tier && running.entry_.preemptible_;
        if (!lower || running.preempting_ || !aboveShare(running.entry_.requestClass_)) {
            continue;
        }
        const auto rank = std::pair(running.entry_.tier_, running.started_);
        if (victim == nullptr || rank > std::pair(victim->entry_.tier_, victim->started_)) {
            victim = &running;
        }
    }
    return victim;
}

auto AttemptScheduler::aboveShare(const std::string &requestClass) const -> bool
{
    const auto *policy = classPolicy(requestClass);
    return policy == nullptr || policy->minimumShare_ <= 0 || shares_.share(requestClass) > policy->minimumShare_;
}

auto AttemptScheduler::onProgress(const AttemptId &attempt, std::uint32_t outputTokens) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    auto &running = found->second;
    if (!running.long_ && outputTokens > policy_->longTokens_) {
        running.long_ = true;
        ++runningLong_;
    }
    settle(running, std::max(running.charged_, chargeable(outputTokens)));
}

auto AttemptScheduler::onFinished(const AttemptId &attempt, std::uint32_t outputTokens) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    auto &running = found->second;
    settle(running, chargeable(outputTokens));
    runningLong_ -= running.long_ ? 1 : 0;
    runningSuspects_ -= running.entry_.crashSuspect_ ? 1 : 0;
    preempting_ -= running.preempting_ ? 1 : 0;
    accounts_.at(running.entry_.requestClass_).onFinished(running.entry_.account_);
    running_.erase(found);
}

auto AttemptScheduler::settle(Running &running, double work) -> void
{
    const auto difference = work - running.charged_;
    running.charged_ = work;
    accounts_.at(running.entry_.requestClass_).adjustWork(running.entry_.account_, difference);
    if (running.shared_) {
        shares_.adjustWork(running.entry_.requestClass_, difference);
    }
}

auto AttemptScheduler::removeQueued(const AttemptId &attempt) -> bool
{
    const auto found = arrivals_.find(attempt);
    if (found == arrivals_.end()) {
        return false;
    }
    const auto position = queue_.find(found->second);
    const auto &entry = position->second.entry_;
    accounts_.at(entry.requestClass_).onRemoved(entry.account_);
    drop(position);
    return true;
}

auto AttemptScheduler::runningCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(running_.size());
}

auto AttemptScheduler::runningLongCount() const -> std::uint32_t
{
    return runningLong_;
}

auto AttemptScheduler::freeSlotCount() const -> std::uint32_t
{
    return policy_->concurrency_ > runningCount() ? policy_->concurrency_ - runningCount() : 0;
}

auto AttemptScheduler::queuedCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(queue_.size());
}

auto AttemptScheduler::queuedCountByTier() const -> std::array<std::uint32_t, tierCount>
{
    auto counts = std::array<std::uint32_t, tierCount>();
    for (const auto &[arrival, waiting] : queue_) {
        ++counts.at(std::min(waiting.entry_.tier_, lowestTier));
    }
    return counts;
}

auto AttemptScheduler::replacePolicy(SchedulerPolicy policy) -> void
{
    policy_ = std::make_shared<const SchedulerPolicy>(std::move(policy));
}

auto AttemptScheduler::waitingOf(const std::string &requestClass) const -> std::uint32_t
{
    const auto found = accounts_.find(requestClass);
    return found == accounts_.end() ? 0 : found->second.queuedCount();
}

auto AttemptScheduler::classPolicy(const std::string &requestClass) const -> const ClassPolicy *
{
    const auto found = std::find_if(policy_->classes_.begin(), policy_->classes_.end(), [&](const auto &candidate) {
        return candidate.name_ == requestClass;
    });
    return found == policy_->classes_.end() ? nullptr : &*found;
}

auto AttemptScheduler::reservedPlaces(const std::string &requestClass) const -> std::uint32_t
{
    const auto *policy = classPolicy(requestClass);
    if (policy == nullptr || policy->minimumShare_ <= 0) {
        return 0;
    }
    return std::max(1U, static_cast<std::uint32_t>(policy->minimumShare_ * policy_->queueLimit_));
}

auto AttemptScheduler::placeFree(const std::string &requestClass) const -> bool
{
    if (queue_.size() >= policy_->queueLimit_) {
        return false;
    }
    if (waitingOf(requestClass) < reservedPlaces(requestClass)) {
        return true;
    }
    // Places that other classes may still claim by their reservation are not free for this one.
    auto unclaimed = std::uint32_t(0);
    for (const auto &other : policy_->classes_) {
        const auto reserved = reservedPlaces(other.name_);
        unclaimed += reserved - std::min(reserved, waitingOf(other.name_));
    }
    return queue_.size() + unclaimed < policy_->queueLimit_;
}

auto AttemptScheduler::shortfall(const std::string &requestClass) const -> double
{
    const auto *policy = classPolicy(requestClass);
    return policy == nullptr ? 0 : std::max(0.0, policy->minimumShare_ - shares_.share(requestClass));
}

} // namespace jasminewood::scheduling
