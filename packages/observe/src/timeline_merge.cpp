#include "jasminewood/observe/timeline_merge.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace jasminewood::observe
{

namespace
{

// Identifies an event: its process and sequence number.
using EventKey = std::pair<std::string, std::uint64_t>;

struct Precedence
{
    const TimelineEvent *earlier_;
    const TimelineEvent *later_;
};

auto keyOf(const TimelineEvent &event) -> EventKey
{
    return {event.process_, event.sequence_};
}

// Returns the first event with this step for each attempt.
auto eventsByAttempt(const std::vector<TimelineEvent> &events, std::string_view step)
    -> std::map<std::pair<std::string, std::uint32_t>, const TimelineEvent *>
{
    auto found = std::map<std::pair<std::string, std::uint32_t>, const TimelineEvent *>();
    for (const auto &event : events) {
        if (event.step_ != step) {
            continue;
        }
        auto &first = found[{event.request_, event.attempt_}];
        if (first == nullptr || keyOf(event) < keyOf(*first)) {
            first = &event;
        }
    }
    return found;
}

auto precedences(const std::vector<TimelineEvent> &events) -> std::vector<Precedence>
{
    auto pairs = std::vector<Precedence>();
    for (const auto &[earlierStep, laterStep] :
        {std::pair(dispatchStep, receiveStep), std::pair(finishStep, answerStep)}) {
        const auto laterEvents = eventsByAttempt(events, laterStep);
        for (const auto &[attempt, earlier] : eventsByAttempt(events, earlierStep)) {
            const auto later = laterEvents.find(attempt);
            if (later != laterEvents.end() && later->second->process_ != earlier->process_) {
                pairs.push_back(Precedence {.earlier_ = earlier, .later_ = later->second});
            }
        }
    }
    return pairs;
}

// lowerBounds[P][Q] is the minimum of offset(Q) - offset(P) that contradicts no pair from P to Q.
using LowerBounds = std::map<std::string, std::map<std::string, std::int64_t>>;

auto lowerBounds(const std::vector<Precedence> &pairs) -> LowerBounds
{
    auto bounds = LowerBounds();
    for (const auto &pair : pairs) {
        const auto bound = pair.earlier_->wallMicros_ - pair.later_->wallMicros_;
        const auto [entry, isNew] = bounds[pair.earlier_->process_].try_emplace(pair.later_->process_, bound);
        entry->second = std::max(entry->second, bound);
    }
    return bounds;
}

auto bound(const LowerBounds &bounds, const std::string &from, const std::string &to) -> std::optional<std::int64_t>
{
    const auto row = bounds.find(from);
    if (row == bounds.end()) {
        return std::nullopt;
    }
    const auto entry = row->second.find(to);
    return entry == row->second.end() ? std::nullopt : std::optional(entry->second);
}

// Estimates offset(to) - offset(from). Returns nothing if no pair connects the processes. Prefers 0 where it
// contradicts no pair, since clocks usually agree; else the middle of the possible range, as in NTP.
auto relativeOffset(const LowerBounds &bounds, const std::string &from, const std::string &to)
    -> std::optional<std::int64_t>
{
    const auto lower = bound(bounds, from, to);
    const auto reverse = bound(bounds, to, from);
    if (!lower && !reverse) {
        return std::nullopt;
    }
    const auto minimum = lower.value_or(std::numeric_limits<std::int64_t>::min());
    const auto maximum = reverse ? -*reverse : std::numeric_limits<std::int64_t>::max();
    if (minimum <= 0 && maximum >= 0) {
        return 0;
    }
    if (lower && reverse) {
        return minimum + (maximum - minimum) / 2;
    }
    return lower ? minimum : maximum;
}

// Sets the offsets of all processes that pairs connect with the start, directly or through others.
auto propagateOffsets(const std::string &start, const LowerBounds &bounds, const std::set<std::string> &processes,
    std::map<std::string, std::int64_t> &offsets) -> void
{
    offsets.emplace(start, 0);
    auto pending = std::vector<std::string> {start};
    for (auto next = std::size_t(0); next < pending.size(); ++next) {
        const auto from = pending[next];
        for (const auto &process : processes) {
            const auto relative = offsets.contains(process) ? std::nullopt : relativeOffset(bounds, from, process);
            if (relative) {
                offsets.emplace(process, offsets.at(from) + *relative);
                pending.push_back(process);
            }
        }
    }
}

// The events of one process that are not merged yet.
struct Queue
{
    std::vector<const TimelineEvent *> events_;
    std::size_t next_ = 0;
    std::int64_t offset_ = 0;

    auto isEmpty() const -> bool
    {
        return next_ == events_.size();
    }

    auto head() const -> const TimelineEvent &
    {
        return *events_[next_];
    }

    auto headMicros() const -> std::int64_t
    {
        return head().wallMicros_ + offset_;
    }
};

auto makeQueues(const std::vector<TimelineEvent> &events) -> std::vector<Queue>
{
    auto byKey = std::map<EventKey, const TimelineEvent *>();
    for (const auto &event : events) {
        byKey.emplace(keyOf(event), &event);
    }
    const auto offsets = clockOffsets(events);
    auto queues = std::vector<Queue>();
    for (const auto &[key, event] : byKey) {
        if (queues.empty() || queues.back().events_.front()->process_ != key.first) {
            queues.push_back(Queue {.events_ = {}, .next_ = 0, .offset_ = offsets.at(key.first)});
        }
        queues.back().events_.push_back(event);
    }
    return queues;
}

// The events that must precede each event.
using Predecessors = std::map<EventKey, std::vector<EventKey>>;

auto isBlocked(const TimelineEvent &event, const Predecessors &predecessors, const std::set<EventKey> &merged) -> bool
{
    const auto found = predecessors.find(keyOf(event));
    return found != predecessors.end()
        && std::any_of(found->second.begin(), found->second.end(), [&merged](const EventKey &earlier) -> bool {
               return !merged.contains(earlier);
           });
}

// Returns the queue with the earliest head that is not blocked. If the events contradict each other, all heads are
// blocked and the earliest of them is chosen, so that the merge ends.
auto nextQueue(std::vector<Queue> &queues, const Predecessors &predecessors, const std::set<EventKey> &merged)
    -> Queue *
{
    auto *best = static_cast<Queue *>(nullptr);
    auto bestRank = std::pair(true, std::numeric_limits<std::int64_t>::max());
    for (auto &queue : queues) {
        if (queue.isEmpty()) {
            continue;
        }
        const auto rank = std::pair(isBlocked(queue.head(), predecessors, merged), queue.headMicros());
        if (best == nullptr || rank < bestRank) {
            best = &queue;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace

auto clockOffsets(const std::vector<TimelineEvent> &events) -> std::map<std::string, std::int64_t>
{
    auto processes = std::set<std::string>();
    auto routers = std::set<std::string>();
    for (const auto &event : events) {
        processes.insert(event.process_);
        if (event.step_ == dispatchStep) {
            routers.insert(event.process_);
        }
    }
    const auto bounds = lowerBounds(precedences(events));
    auto offsets = std::map<std::string, std::int64_t>();
    for (const auto &starts : {routers, processes}) {
        for (const auto &start : starts) {
            if (!offsets.contains(start)) {
                propagateOffsets(start, bounds, processes, offsets);
            }
        }
    }
    return offsets;
}

auto merge(const std::vector<TimelineEvent> &events) -> std::vector<MergedEvent>
{
    auto predecessors = Predecessors();
    for (const auto &pair : precedences(events)) {
        predecessors[keyOf(*pair.later_)].push_back(keyOf(*pair.earlier_));
    }
    auto queues = makeQueues(events);
    auto merged = std::set<EventKey>();
    auto list = std::vector<MergedEvent>();
    auto lastMicros = std::numeric_limits<std::int64_t>::min();
    while (auto *queue = nextQueue(queues, predecessors, merged)) {
        lastMicros = std::max(lastMicros, queue->headMicros());
        list.push_back(MergedEvent {.alignedMicros_ = lastMicros, .event_ = queue->head()});
        merged.insert(keyOf(queue->head()));
        ++queue->next_;
    }
    return list;
}

} // namespace jasminewood::observe
