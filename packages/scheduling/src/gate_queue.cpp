#include "jasminewood/scheduling/gate_queue.h"

#include <algorithm>
#include <cassert>
#include <tuple>
#include <utility>

namespace jasminewood::scheduling
{

namespace
{

auto refusal(const std::string &reason, RunState runState, std::optional<Milliseconds> retryAfter) -> Admission
{
    return Refused {Failure {.step_ = "queue", .reason_ = reason, .runState_ = runState, .retryAfter_ = retryAfter}};
}

auto queueFull() -> Admission
{
    return refusal("queue is full", RunState::NotRun, refusedRetryAfter);
}

// The smallest work that an attempt is charged, so that requests that fail early are not free.
auto chargeable(std::uint32_t tokens) -> double
{
    return std::max<double>(1, tokens);
}

} // namespace

GateQueue::GateQueue(GatePolicy policy, QueueOrder order)
    : policy_(std::make_shared<const GatePolicy>(std::move(policy)))
    , order_(order)
{
}

auto GateQueue::enqueue(Entry entry, TimePoint now) -> Admission
{
    if (arrivals_.contains(entry.attempt_) || running_.contains(entry.attempt_)) {
        return refusal("attempt is already queued or running", RunState::MayHaveRun, std::nullopt);
    }
    if (entry.continues_) {
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
    if (const auto *eviction = std::get_if<QueuedEvicting>(&admission)) {
        remove(eviction->evicted_);
    }
    if (!std::holds_alternative<Refused>(admission)) {
        admit(std::move(entry));
    }
    return admission;
}

auto GateQueue::place(const Entry & /*entry*/, const FirstInFirstOut & /*order*/) -> Admission
{
    return queue_.size() < policy_->queueLimit_ ? Admission(Queued {}) : queueFull();
}

auto GateQueue::place(const Entry &entry, const TierAndShare & /*order*/) -> Admission
{
    if (placeFree(entry.requestClass_)) {
        return Queued {};
    }
    const auto victim = evictable(entry.tier_);
    return victim == queue_.end() ? queueFull() : QueuedEvicting {victim->second.entry_.attempt_};
}

auto GateQueue::admit(Entry entry) -> void
{
    const auto arrival = nextArrival_++;
    const auto limit = deadline(entry);
    if (limit) {
        deadlines_.emplace(*limit, arrival);
    }
    arrivals_.emplace(entry.attempt_, arrival);
    accounts_[entry.requestClass_].enqueued(entry.account_, entry.accountWeight_);
    queue_.emplace(arrival, Waiting {std::move(entry), limit});
}

auto GateQueue::deadline(const Entry &entry) const -> std::optional<TimePoint>
{
    if (entry.continues_) {
        return std::nullopt;
    }
    const auto *policy = classPolicy(entry.requestClass_);
    const auto ownWait = entry.maximumWait_ > Milliseconds(0);
    const auto wait = ownWait || policy == nullptr ? entry.maximumWait_ : policy->maximumWait_;
    return wait > Milliseconds(0) ? std::optional(entry.enqueuedAt_ + wait) : std::nullopt;
}

auto GateQueue::takeNext(TimePoint now) -> std::optional<Entry>
{
    if (freeSlots() == 0) {
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

auto GateQueue::next(TimePoint now, const FirstInFirstOut & /*order*/) const -> Queue::const_iterator
{
    return std::find_if(queue_.begin(), queue_.end(), [&](const auto &item) {
        return mayStart(item.second, now);
    });
}

auto GateQueue::next(TimePoint now, const TierAndShare & /*order*/) const -> Queue::const_iterator
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
        const auto tag = accounts_.at(entry.requestClass_).tag(entry.account_);
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

auto GateQueue::mayStart(const Waiting &waiting, TimePoint now) const -> bool
{
    const auto expired = waiting.deadline_ && *waiting.deadline_ <= now;
    return !expired && !(waiting.entry_.suspect_ && runningSuspects_ > 0);
}

auto GateQueue::laneFree(const Entry &entry) const -> bool
{
    return !entry.longExpected_ || runningLong_ < policy_->longLaneSlots_;
}

auto GateQueue::evictable(Tier arriving) const -> Queue::const_iterator
{
    auto victim = queue_.end();
    for (auto position = queue_.begin(); position != queue_.end(); ++position) {
        const auto &entry = position->second.entry_;
        const auto lower = entry.tier_ > arriving && !entry.continues_;
        const auto lowestSoFar = victim == queue_.end() || entry.tier_ >= victim->second.entry_.tier_;
        if (lower && lowestSoFar && waitingOf(entry.requestClass_) > reservedPlaces(entry.requestClass_)) {
            victim = position;
        }
    }
    return victim;
}

auto GateQueue::start(Queue::const_iterator position, TimePoint now) -> Entry
{
    const auto entry = position->second.entry_;
    const auto work = chargeable(entry.costEstimate_);
    auto &accounts = accounts_.at(entry.requestClass_);
    accounts.started(entry.account_, work);
    // Work that no other class waited for took nothing from anyone, so it does not count against a class's share.
    const auto shared = accounts.queued() + 1 < queue_.size();
    if (shared) {
        shares_.charge(entry.requestClass_, work, now);
    }
    running_.emplace(entry.attempt_, Running {entry, entry.longExpected_, work, shared, ++starts_, false});
    runningLong_ += entry.longExpected_ ? 1 : 0;
    runningSuspects_ += entry.suspect_ ? 1 : 0;
    drop(position);
    return entry;
}

auto GateQueue::drop(Queue::const_iterator position) -> void
{
    const auto &[arrival, waiting] = *position;
    if (waiting.deadline_) {
        deadlines_.erase({*waiting.deadline_, arrival});
    }
    arrivals_.erase(waiting.entry_.attempt_);
    queue_.erase(position);
}

auto GateQueue::expire(TimePoint now) -> std::vector<AttemptId>
{
    auto expired = std::vector<AttemptId>();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        const auto &entry = queue_.at(deadlines_.begin()->second).entry_;
        expired.push_back(entry.attempt_);
        remove(expired.back());
    }
    return expired;
}

auto GateQueue::nextExpiry() const -> std::optional<TimePoint>
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

auto GateQueue::preempt(TimePoint now) -> std::optional<AttemptId>
{
    if (!std::holds_alternative<TierAndShare>(order_) || freeSlots() > 0) {
        return std::nullopt;
    }
    auto waited = std::vector<Tier>();
    for (const auto &[arrival, waiting] : queue_) {
        if (mayStart(waiting, now) && laneFree(waiting.entry_) && now - waiting.entry_.enqueuedAt_ >= preemptAfter) {
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

auto GateQueue::nextPreemption(TimePoint now) const -> std::optional<TimePoint>
{
    auto next = std::optional<TimePoint>();
    for (const auto &[arrival, waiting] : queue_) {
        const auto due = waiting.entry_.enqueuedAt_ + preemptAfter;
        if (due > now && (!next || due < *next)) {
            next = due;
        }
    }
    return next;
}

auto GateQueue::victimFor(Tier tier) -> Running *
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

auto GateQueue::aboveShare(const std::string &requestClass) const -> bool
{
    const auto *policy = classPolicy(requestClass);
    return policy == nullptr || policy->minimumShare_ <= 0 || shares_.share(requestClass) > policy->minimumShare_;
}

auto GateQueue::progress(const AttemptId &attempt, std::uint32_t outputTokens) -> void
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

auto GateQueue::finished(const AttemptId &attempt, std::uint32_t outputTokens) -> void
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    auto &running = found->second;
    settle(running, chargeable(outputTokens));
    runningLong_ -= running.long_ ? 1 : 0;
    runningSuspects_ -= running.entry_.suspect_ ? 1 : 0;
    preempting_ -= running.preempting_ ? 1 : 0;
    accounts_.at(running.entry_.requestClass_).finished(running.entry_.account_);
    running_.erase(found);
}

auto GateQueue::settle(Running &running, double work) -> void
{
    const auto difference = work - running.charged_;
    running.charged_ = work;
    accounts_.at(running.entry_.requestClass_).corrected(running.entry_.account_, difference);
    if (running.shared_) {
        shares_.correct(running.entry_.requestClass_, difference);
    }
}

auto GateQueue::remove(const AttemptId &attempt) -> bool
{
    const auto found = arrivals_.find(attempt);
    if (found == arrivals_.end()) {
        return false;
    }
    const auto position = queue_.find(found->second);
    const auto &entry = position->second.entry_;
    accounts_.at(entry.requestClass_).removed(entry.account_);
    drop(position);
    return true;
}

auto GateQueue::running() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(running_.size());
}

auto GateQueue::runningLong() const -> std::uint32_t
{
    return runningLong_;
}

auto GateQueue::freeSlots() const -> std::uint32_t
{
    return policy_->concurrency_ > running() ? policy_->concurrency_ - running() : 0;
}

auto GateQueue::queued() const -> std::uint32_t
{
    return static_cast<std::uint32_t>(queue_.size());
}

auto GateQueue::queuedByTier() const -> std::array<std::uint32_t, tierCount>
{
    auto counts = std::array<std::uint32_t, tierCount>();
    for (const auto &[arrival, waiting] : queue_) {
        ++counts.at(std::min(waiting.entry_.tier_, lowestTier));
    }
    return counts;
}

auto GateQueue::replacePolicy(GatePolicy policy) -> void
{
    policy_ = std::make_shared<const GatePolicy>(std::move(policy));
}

auto GateQueue::waitingOf(const std::string &requestClass) const -> std::uint32_t
{
    const auto found = accounts_.find(requestClass);
    return found == accounts_.end() ? 0 : found->second.queued();
}

auto GateQueue::classPolicy(const std::string &requestClass) const -> const ClassPolicy *
{
    const auto found = std::find_if(policy_->classes_.begin(), policy_->classes_.end(), [&](const auto &candidate) {
        return candidate.name_ == requestClass;
    });
    return found == policy_->classes_.end() ? nullptr : &*found;
}

auto GateQueue::reservedPlaces(const std::string &requestClass) const -> std::uint32_t
{
    const auto *policy = classPolicy(requestClass);
    if (policy == nullptr || policy->minimumShare_ <= 0) {
        return 0;
    }
    return std::max(1U, static_cast<std::uint32_t>(policy->minimumShare_ * policy_->queueLimit_));
}

auto GateQueue::placeFree(const std::string &requestClass) const -> bool
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

auto GateQueue::shortfall(const std::string &requestClass) const -> double
{
    const auto *policy = classPolicy(requestClass);
    return policy == nullptr ? 0 : std::max(0.0, policy->minimumShare_ - shares_.share(requestClass));
}

} // namespace jasminewood::scheduling
