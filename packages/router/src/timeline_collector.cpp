#include "jasminewood/router/timeline_collector.h"

#include <utility>

namespace jasminewood::router
{

auto TimelineCollector::start(const kernel::ServiceRegistry &services) -> Status
{
    return services.require("environment", environment_);
}

auto TimelineCollector::stop() -> void
{
}

auto TimelineCollector::addBroadcaster(TimelineBroadcaster sender) -> void
{
    const auto lock = std::lock_guard(mutex_);
    senders_.push_back(std::move(sender));
}

auto TimelineCollector::localReply(const wire::TimelineQuery &query) const -> wire::TimelineReply
{
    auto &timeline = environment_->timeline();
    const auto events = query.request_.empty()
        ? timeline.selectSpan(static_cast<std::int64_t>(query.fromMicros_), static_cast<std::int64_t>(query.toMicros_))
        : timeline.select(query.request_);
    return wire::TimelineReply {.query_ = query.query_, .events_ = observe::toJson(events)};
}

auto TimelineCollector::onReply(const wire::TimelineReply &reply) -> void
{
    const auto events = observe::eventsFromJson(reply.events_);
    const auto lock = std::lock_guard(mutex_);
    const auto collection = collections_.find(reply.query_);
    if (collection == collections_.end()) {
        return;
    }
    ++collection->second.replies_;
    if (events) {
        for (const auto &event : *events) {
            collection->second.events_.push_back(event);
        }
    }
    replied_.notify_all();
}

auto TimelineCollector::collect(const TimelineSelection &selection) -> std::vector<observe::MergedEvent>
{
    auto senders = std::vector<TimelineBroadcaster>();
    auto query = std::uint64_t(0);
    {
        const auto lock = std::lock_guard(mutex_);
        query = nextQuery_++;
        collections_.emplace(query, Collection {});
        senders = senders_;
    }
    const auto message = wire::TimelineQuery {.query_ = query,
        .request_ = selection.requestId_,
        .fromMicros_ = selection.fromMicros_,
        .toMicros_ = selection.toMicros_};
    auto asked = std::size_t(1);
    onReply(localReply(message));
    for (const auto &send : senders) {
        asked += send(message);
    }
    auto lock = std::unique_lock(mutex_);
    replied_.wait_for(lock, timelineReplyTimeout, [&]() -> bool {
        return collections_[query].replies_ >= asked;
    });
    const auto events = std::move(collections_[query].events_);
    collections_.erase(query);
    return observe::merge(events);
}

} // namespace jasminewood::router
