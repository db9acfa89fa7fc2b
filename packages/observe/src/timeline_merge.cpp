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

// Identifies an event.
using Position = std::pair<std::string, std::uint64_t>;

struct Precedence
{
    const TimelineEvent *earlier_;
    const TimelineEvent *later_;
};

auto positionOf(const TimelineEvent &event) -> Position
{
    return {event.process_, event.sequence_};
}

// First event of each attempt with this step.
auto eventsByAttempt(const std::vector<TimelineEvent> &events, std::string_view step)
    -> std::map<std::pair<std::string, std::uint32_t>, const TimelineEvent *>
{
    auto found = std::map<std::pair<std::string, std::uint32_t>, const TimelineEvent *>();
    for (const auto &event : events) {
        if (event.step_ != step) {
            continue;
        }
        auto &first = found[{event.request_, event.attempt_}];
        if (first == nullptr || positionOf(event) < positionOf(*first)) {
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

// lowerBounds[P][Q]: the least value of offset(Q) - offset(P) that contradicts no pair from P to Q.
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

// Estimate of offset(to) - offset(from), or nothing if no pair connects them. 0 is preferred where it contradicts no
// pair, since most clocks agree; else the middle of the possible range, as in NTP.
auto relativeOffset(const LowerBounds &bounds, const std::string &from, const std::string &to)
    -> std::optional<std::int64_t>
{
    const auto lower = bound(bounds, from, to);
    const auto reverse = bound(bounds, to, from);
    if (!lower && !reverse) {
        return std::nullopt;
    }
    const auto least = lower.value_or(std::numeric_limits<std::int64_t>::min());
    const auto most = reverse ? -*reverse : std::numeric_limits<std::int64_t>::max();
    if (least <= 0 && most >= 0) {
        return 0;
    }
    if (lower && reverse) {
        return least + (most - least) / 2;
    }
    return lower ? least : most;
}

auto spreadFrom(const std::string &start, const LowerBounds &bounds, const std::set<std::string> &processes,
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
    auto byPosition = std::map<Position, const TimelineEvent *>();
    for (const auto &event : events) {
        byPosition.emplace(positionOf(event), &event);
    }
    const auto offsets = clockOffsets(events);
    auto queues = std::vector<Queue>();
    for (const auto &[position, event] : byPosition) {
        if (queues.empty() || queues.back().events_.front()->process_ != position.first) {
            queues.push_back(Queue {.events_ = {}, .next_ = 0, .offset_ = offsets.at(position.first)});
        }
        queues.back().events_.push_back(event);
    }
    return queues;
}

// Events that each event has to wait for.
using Waits = std::map<Position, std::vector<Position>>;

auto isBlocked(const TimelineEvent &event, const Waits &waits, const std::set<Position> &merged) -> bool
{
    const auto found = waits.find(positionOf(event));
    return found != waits.end()
        && std::any_of(found->second.begin(), found->second.end(), [&merged](const Position &earlier) -> bool {
               return !merged.contains(earlier);
           });
}

// The earliest head that is not blocked. If the events contradict each other, all heads are blocked and the earliest is
// taken all the same.
auto nextQueue(std::vector<Queue> &queues, const Waits &waits, const std::set<Position> &merged) -> Queue *
{
    auto *best = static_cast<Queue *>(nullptr);
    auto bestRank = std::pair(true, std::numeric_limits<std::int64_t>::max());
    for (auto &queue : queues) {
        if (queue.isEmpty()) {
            continue;
        }
        const auto rank = std::pair(isBlocked(queue.head(), waits, merged), queue.headMicros());
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
                spreadFrom(start, bounds, processes, offsets);
            }
        }
    }
    return offsets;
}

auto merge(const std::vector<TimelineEvent> &events) -> std::vector<MergedEvent>
{
    auto waits = Waits();
    for (const auto &pair : precedences(events)) {
        waits[positionOf(*pair.later_)].push_back(positionOf(*pair.earlier_));
    }
    auto queues = makeQueues(events);
    auto merged = std::set<Position>();
    auto list = std::vector<MergedEvent>();
    auto lastMicros = std::numeric_limits<std::int64_t>::min();
    while (auto *queue = nextQueue(queues, waits, merged)) {
        lastMicros = std::max(lastMicros, queue->headMicros());
        list.push_back(MergedEvent {.alignedMicros_ = lastMicros, .event_ = queue->head()});
        merged.insert(positionOf(queue->head()));
        ++queue->next_;
    }
    return list;
}

} // namespace jasminewood::observe
