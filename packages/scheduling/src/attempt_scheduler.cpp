#include "jasminewood/scheduling/attempt_scheduler.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace jasminewood::scheduling
{

namespace
{

auto reject(const std::string &reason, RunState runState, std::optional<Milliseconds> retryAfter) -> EnqueueResult
{
    return Rejected {Failure {.step_ = "queue", .reason_ = reason, .runState_ = runState, .retryAfter_ = retryAfter}};
}

auto rejectQueueFull() -> EnqueueResult
{
    return reject("queue is full", RunState::NotRun, queueFullRetryAfter);
}

// Returns the work in tokens to charge for an attempt: at least 1, so that requests that fail early are not free.
auto workToCharge(std::uint32_t tokens) -> double
{
    return std::max<double>(1, tokens);
}

} // namespace

AttemptScheduler::AttemptScheduler(SchedulerPolicy policy, QueueDiscipline discipline)
    : policy_(std::make_shared<const SchedulerPolicy>(std::move(policy)))
    , discipline_(discipline)
{
}

auto AttemptScheduler::enqueue(QueueEntry entry, TimePoint now) -> EnqueueResult
{
    if (arrivalByAttempt_.contains(entry.attempt_) || running_.contains(entry.attempt_)) {
        return reject("attempt is already queued or running", RunState::MayHaveRun, std::nullopt);
    }
    if (entry.resuming_) {
        addToQueue(std::move(entry));
        return Queued {};
    }
    if (const auto deadline = queueDeadline(entry); deadline && *deadline <= now) {
        return reject("maximum wait has passed", RunState::NotRun, std::nullopt);
    }
    auto result = std::visit(
        [&](const auto &discipline) {
            return decideEnqueue(entry, discipline);
        },
        discipline_);
    if (const auto *eviction = std::get_if<QueuedAfterEviction>(&result)) {
        removeQueued(eviction->evicted_);
    }
    if (!std::holds_alternative<Rejected>(result)) {
        addToQueue(std::move(entry));
    }
    return result;
}

auto AttemptScheduler::decideEnqueue(const QueueEntry & /*entry*/, const FirstInFirstOut & /*discipline*/)
    -> EnqueueResult
{
    return queue_.size() < policy_->queueLimit_ ? EnqueueResult(Queued {}) : rejectQueueFull();
}

auto AttemptScheduler::decideEnqueue(const QueueEntry &entry, const TierAndShare & /*discipline*/) -> EnqueueResult
{
    if (hasFreePlace(entry.requestClass_)) {
        return Queued {};
    }
    const auto evicted = findEvictable(entry.tier_);
    return evicted == queue_.end() ? rejectQueueFull() : QueuedAfterEviction {evicted->second.entry_.attempt_};
}

auto AttemptScheduler::addToQueue(QueueEntry entry) -> void
{
    const auto arrival = nextArrivalNumber_++;
    const auto deadline = queueDeadline(entry);
    if (deadline) {
        deadlines_.emplace(*deadline, arrival);
    }
    arrivalByAttempt_.emplace(entry.attempt_, arrival);
    fairQueueingByClass_[entry.requestClass_].onEnqueued(entry.account_, entry.accountWeight_);
    queue_.emplace(arrival, WaitingEntry {std::move(entry), deadline});
}

auto AttemptScheduler::queueDeadline(const QueueEntry &entry) const -> std::optional<TimePoint>
{
    if (entry.resuming_) {
        return std::nullopt;
    }
    const auto *policy = findClassPolicy(entry.requestClass_);
    const auto hasOwnLimit = entry.maximumWait_ > Milliseconds(0);
    const auto maximumWait = hasOwnLimit || policy == nullptr ? entry.maximumWait_ : policy->maximumWait_;
    return maximumWait > Milliseconds(0) ? std::optional(entry.enqueuedAt_ + maximumWait) : std::nullopt;
}

auto AttemptScheduler::startNext(TimePoint now) -> std::optional<QueueEntry>
{
    if (freeSlotCount() == 0) {
        return std::nullopt;
    }
    const auto position = std::visit(
        [&](const auto &discipline) {
            return selectNext(now, discipline);
        },
        discipline_);
    if (position == queue_.end()) {
        return std::nullopt;
    }
    return start(position, now);
}

auto AttemptScheduler::selectNext(TimePoint now, const FirstInFirstOut & /*discipline*/) const -> Queue::const_iterator
{
    return std::find_if(queue_.begin(), queue_.end(), [&](const auto &item) {
        return isStartable(item.second, now);
    });
}

auto AttemptScheduler::selectNext(TimePoint now, const TierAndShare & /*discipline*/) const -> Queue::const_iterator
{
    // Ranks classes by share deficit, then by tier and arrival of their oldest startable entry; ranks the entries of
    // one class by tier, then by start tag, then by arrival.
    using ClassRank = std::tuple<double, Tier, ArrivalNumber>;
    using EntryRank = std::tuple<Tier, double, ArrivalNumber>;
    struct ClassCandidate
    {
        ClassRank classRank_;
        EntryRank entryRank_;
        Queue::const_iterator position_;
    };
    auto bestByClass = std::map<std::string_view, ClassCandidate>();
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        const auto &[arrival, waiting] = *position;
        const auto &entry = waiting.entry_;
        if (!isStartable(waiting, now) || !fitsLongLane(entry)) {
            continue;
        }
        const auto tag = fairQueueingByClass_.at(entry.requestClass_).startTag(entry.account_);
        const auto entryRank = EntryRank(entry.tier_, tag, arrival);
        const auto found = bestByClass.find(entry.requestClass_);
        if (found == bestByClass.end()) {
            const auto classRank = ClassRank(-shareDeficit(entry.requestClass_), entry.tier_, arrival);
            bestByClass.emplace(entry.requestClass_, ClassCandidate {classRank, entryRank, position});
        } else if (entryRank < found->second.entryRank_) {
            found->second.entryRank_ = entryRank;
            found->second.position_ = position;
        }
    }
    const auto first
        = std::min_element(bestByClass.begin(), bestByClass.end(), [](const auto &left, const auto &right) {
              return left.second.classRank_ < right.second.classRank_;
          });
    return first == bestByClass.end() ? queue_.end() : first->second.position_;
}

auto AttemptScheduler::isStartable(const WaitingEntry &waiting, TimePoint now) const -> bool
{
    const auto expired = waiting.deadline_ && *waiting.deadline_ <= now;
    return !expired && !(waiting.entry_.crashSuspect_ && runningSuspectCount_ > 0);
}

auto AttemptScheduler::fitsLongLane(const QueueEntry &entry) const -> bool
{
    return !entry.expectedLong_ || runningLongCount_ < policy_->longLaneSlots_;
}

auto AttemptScheduler::findEvictable(Tier arrivingTier) const -> Queue::const_iterator
{
    auto evicted = queue_.end();
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        const auto &entry = position->second.entry_;
        const auto isCandidate = entry.tier_ > arrivingTier && !entry.resuming_;
        const auto isLowestTierSoFar = evicted == queue_.end() || entry.tier_ >= evicted->second.entry_.tier_;
        if (isCandidate && isLowestTierSoFar
            && queuedInClass(entry.requestClass_) > reservedQueuePlaces(entry.requestClass_)) {
            evicted = position;
        }
    }
    return evicted;
}

auto AttemptScheduler::start(Queue::const_iterator position, TimePoint now) -> QueueEntry
{
    const auto entry = position->second.entry_;
    const auto work = workToCharge(entry.costEstimate_);
    auto &fairQueueing = fairQueueingByClass_.at(entry.requestClass_);
    fairQueueing.onStarted(entry.account_, work);
    // Work that starts while no other class has queued entries delays no other class, so it does not count against the
    // class's share.
    const auto countsTowardShare = fairQueueing.queuedCount() + 1 < queue_.size();
    if (countsTowardShare) {
        shareWindow_.addWork(entry.requestClass_, work, now);
    }
    running_.emplace(entry.attempt_,
        RunningAttempt {entry, entry.expectedLong_, work, countsTowardShare, ++lastStartNumber_, false});
    runningLongCount_ += entry.expectedLong_ ? 1 : 0;
    runningSuspectCount_ += entry.crashSuspect_ ? 1 : 0;
    eraseFromQueue(position);
    return entry;
}

auto AttemptScheduler::eraseFromQueue(Queue::const_iterator position) -> void
{
    const auto &[arrival, waiting] = *position;
    if (waiting.deadline_) {
        deadlines_.erase({*waiting.deadline_, arrival});
    }
    arrivalByAttempt_.erase(waiting.entry_.attempt_);
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
    if (!std::holds_alternative<TierAndShare>(discipline_) || freeSlotCount() > 0) {
        return std::nullopt;
    }
    auto eligibleTiers = std::vector<Tier>();
    for (const auto &[arrival, waiting] : queue_) {
        if (isStartable(waiting, now) && fitsLongLane(waiting.entry_)
            && now - waiting.entry_.enqueuedAt_ >= preemptionDelay) {
            eligibleTiers.push_back(waiting.entry_.tier_);
        }
    }
    if (eligibleTiers.size() <= beingPreemptedCount_) {
        return std::nullopt;
    }
    // The slots of attempts that are already being preempted go to the entries of the highest tiers. The next entry
    // decides whether another attempt must be preempted.
    std::sort(eligibleTiers.begin(), eligibleTiers.end());
    auto *victim = selectPreemptionVictim(eligibleTiers[beingPreemptedCount_]);
    if (victim == nullptr) {
        return std::nullopt;
    }
    victim->beingPreempted_ = true;
    ++beingPreemptedCount_;
    return victim->entry_.attempt_;
}

auto AttemptScheduler::nextPreemptionTime(TimePoint now) const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &[arrival, waiting] : queue_) {
        const auto preemptionTime = waiting.entry_.enqueuedAt_ + preemptionDelay;
        if (preemptionTime > now && (!earliest || preemptionTime < *earliest)) {
            earliest = preemptionTime;
        }
    }
    return earliest;
}

auto AttemptScheduler::selectPreemptionVictim(Tier tier) -> RunningAttempt *
{
    RunningAttempt *victim = nullptr;
    for (auto &[attempt, running] : running_) {
        const auto isCandidate = running.entry_.tier_ > tier && running.entry_.preemptible_;
        if (!isCandidate || running.beingPreempted_ || !isAboveMinimumShare(running.entry_.requestClass_)) {
            continue;
        }
        const auto rank = std::pair(running.entry_.tier_, running.startNumber_);
        if (victim == nullptr || rank > std::pair(victim->entry_.tier_, victim->startNumber_)) {
            victim = &running;
        }
    }
    return victim;
}

auto AttemptScheduler::isAboveMinimumShare(const std::string &requestClass) const -> bool
{
    const auto *policy = findClassPolicy(requestClass);
    return policy == nullptr || policy->minimumShare_ <= 0 || shareWindow_.share(requestClass) > policy->minimumShare_;
}

auto AttemptScheduler::onProgress(const AttemptId &attempt, std::uint32_t outputTokens) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    auto &running = found->second;
    if (!running.countsAsLong_ && outputTokens > policy_->longAttemptTokens_) {
        running.countsAsLong_ = true;
        ++runningLongCount_;
    }
    adjustChargedWork(running, std::max(running.chargedWork_, workToCharge(outputTokens)));
}

auto AttemptScheduler::onFinished(const AttemptId &attempt, std::uint32_t outputTokens) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    auto &running = found->second;
    adjustChargedWork(running, workToCharge(outputTokens));
    runningLongCount_ -= running.countsAsLong_ ? 1 : 0;
    runningSuspectCount_ -= running.entry_.crashSuspect_ ? 1 : 0;
    beingPreemptedCount_ -= running.beingPreempted_ ? 1 : 0;
    fairQueueingByClass_.at(running.entry_.requestClass_).onFinished(running.entry_.account_);
    running_.erase(found);
}

auto AttemptScheduler::adjustChargedWork(RunningAttempt &running, double work) -> void
{
    const auto difference = work - running.chargedWork_;
    running.chargedWork_ = work;
    fairQueueingByClass_.at(running.entry_.requestClass_).adjustWork(running.entry_.account_, difference);
    if (running.countsTowardShare_) {
        shareWindow_.adjustWork(running.entry_.requestClass_, difference);
    }
}

auto AttemptScheduler::removeQueued(const AttemptId &attempt) -> bool
{
    const auto found = arrivalByAttempt_.find(attempt);
    if (found == arrivalByAttempt_.end()) {
        return false;
    }
    const auto position = queue_.find(found->second);
    const auto &entry = position->second.entry_;
    fairQueueingByClass_.at(entry.requestClass_).onRemoved(entry.account_);
    eraseFromQueue(position);
    return true;
}

auto AttemptScheduler::runningCount() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(running_.size());
}

auto AttemptScheduler::runningLongCount() const -> std::uint32_t
{
    return runningLongCount_;
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

auto AttemptScheduler::queuedInClass(const std::string &requestClass) const -> std::uint32_t
{
    const auto found = fairQueueingByClass_.find(requestClass);
    return found == fairQueueingByClass_.end() ? 0 : found->second.queuedCount();
}

auto AttemptScheduler::findClassPolicy(const std::string &requestClass) const -> const ClassPolicy *
{
    const auto found = std::find_if(policy_->classes_.begin(), policy_->classes_.end(), [&](const auto &candidate) {
        return candidate.name_ == requestClass;
    });
    return found == policy_->classes_.end() ? nullptr : &*found;
}

auto AttemptScheduler::reservedQueuePlaces(const std::string &requestClass) const -> std::uint32_t
{
    const auto *policy = findClassPolicy(requestClass);
    if (policy == nullptr || policy->minimumShare_ <= 0) {
        return 0;
    }
    return std::max(1U, static_cast<std::uint32_t>(policy->minimumShare_ * policy_->queueLimit_));
}

auto AttemptScheduler::hasFreePlace(const std::string &requestClass) const -> bool
{
    if (queue_.size() >= policy_->queueLimit_) {
        return false;
    }
    if (queuedInClass(requestClass) < reservedQueuePlaces(requestClass)) {
        return true;
    }
    // Unused places that are reserved for other classes are not available to this class.
    auto unusedReservedPlaces = std::uint32_t(0);
    for (const auto &other : policy_->classes_) {
        const auto reserved = reservedQueuePlaces(other.name_);
        unusedReservedPlaces += reserved - std::min(reserved, queuedInClass(other.name_));
    }
    return queue_.size() + unusedReservedPlaces < policy_->queueLimit_;
}

auto AttemptScheduler::shareDeficit(const std::string &requestClass) const -> double
{
    const auto *policy = findClassPolicy(requestClass);
    return policy == nullptr ? 0 : std::max(0.0, policy->minimumShare_ - shareWindow_.share(requestClass));
}

} // namespace jasminewood::scheduling
