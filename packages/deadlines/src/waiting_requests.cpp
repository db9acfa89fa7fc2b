#include "jasminewood/deadlines/waiting_requests.h"

#include <algorithm>
#include <cassert>

namespace jasminewood::deadlines
{

namespace
{

// The number of requests that are examined for one decision, so that its time is bounded. Bounds differ by route only.
constexpr std::size_t maximumExamined = 32;
// Keeps the quotient within the range of its type.
constexpr double smallestDraw = 0.001;
constexpr Milliseconds noBacklog = Milliseconds(0);

auto share(Milliseconds time, double fraction) -> Milliseconds
{
    return Milliseconds(std::int64_t(double(time.count()) * fraction));
}

} // namespace

auto WaitingRequests::positionOf(Ticket ticket, const WaitingRequest &request) -> Position
{
    return {.rank_ = request.rank_, .arrival_ = request.arrival_, .ticket_ = ticket};
}

auto WaitingRequests::add(Ticket ticket, const WaitingRequest &request) -> void
{
    const auto inserted = requests_.emplace(ticket, request).second;
    assert(inserted);
    static_cast<void>(inserted);
    order_.insert(positionOf(ticket, request));
    orderByEngine_[request.engine_].insert(positionOf(ticket, request));
}

auto WaitingRequests::remove(Ticket ticket) -> void
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) {
        return;
    }
    const auto position = positionOf(ticket, found->second);
    const auto ofEngine = orderByEngine_.find(found->second.engine_);
    order_.erase(position);
    ofEngine->second.erase(position);
    if (ofEngine->second.empty()) {
        orderByEngine_.erase(ofEngine);
    }
    requests_.erase(found);
}

auto WaitingRequests::takeNext(const std::string &engine, Milliseconds backlog, TimePoint now) -> std::optional<Ticket>
{
    const auto found = orderByEngine_.find(engine);
    const auto hasOwn = found != orderByEngine_.end();
    auto next = hasOwn ? firstWithin(found->second, backlog) : std::optional<Ticket>();
    if (!hasOwn && backlog <= noBacklog) {
        next = firstToRechoose(now);
    }
    if (next) {
        remove(*next);
    }
    return next;
}

auto WaitingRequests::takeWaitingFor(const std::string &engine) -> std::optional<Ticket>
{
    const auto found = orderByEngine_.find(engine);
    if (found == orderByEngine_.end()) {
        return std::nullopt;
    }
    const auto first = found->second.begin()->ticket_;
    remove(first);
    return first;
}

auto WaitingRequests::firstWithin(const Order &order, Milliseconds backlog) const -> std::optional<Ticket>
{
    auto examined = std::size_t(0);
    for (auto position = order.begin(); position != order.end() && examined < maximumExamined; ++position, ++examined) {
        if (backlog <= requests_.at(position->ticket_).bound_) {
            return position->ticket_;
        }
    }
    return std::nullopt;
}

auto WaitingRequests::firstToRechoose(TimePoint now) const -> std::optional<Ticket>
{
    auto examined = std::size_t(0);
    for (auto position = order_.begin(); position != order_.end() && examined < maximumExamined;
         ++position, ++examined) {
        if (now - requests_.at(position->ticket_).chosenAt_ >= rechoiceInterval) {
            return position->ticket_;
        }
    }
    return std::nullopt;
}

auto WaitingRequests::hasBefore(const std::string &engine, std::uint32_t rank, std::uint64_t arrival) const -> bool
{
    const auto found = orderByEngine_.find(engine);
    return found != orderByEngine_.end()
        && *found->second.begin() < Position {.rank_ = rank, .arrival_ = arrival, .ticket_ = 0};
}

auto WaitingRequests::size() const -> std::size_t
{
    return requests_.size();
}

auto maximumWait(const WaitLimits &limits, Milliseconds alreadyWaited) -> Milliseconds
{
    const auto ofTimeout = share(limits.timeout_, maximumWaitShare) - alreadyWaited;
    const auto untilNeeded = limits.remaining_ - limits.firstToken_ - share(limits.timeout_, responseShare);
    return std::max(Milliseconds(0), std::min(ofTimeout, untilNeeded));
}

auto backlogBound(Milliseconds targetLatency) -> Milliseconds
{
    return targetLatency / 2;
}

auto comparedBacklog(Milliseconds backlog, std::size_t routers, double draw) -> Milliseconds
{
    return routers > 1 ? share(backlog, 1 / std::clamp(draw, smallestDraw, 1.0)) : backlog;
}

} // namespace jasminewood::deadlines
