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

auto TimelineCollector::addBroadcaster(TimelineBroadcaster broadcaster) -> void
{
    const auto lock = std::lock_guard(mutex_);
    broadcasters_.push_back(std::move(broadcaster));
}

auto TimelineCollector::localReply(const wire::TimelineQuery &query) const -> wire::TimelineReply
{
    auto &timeline = environment_->timeline();
    const auto events = query.requestId_.empty()
        ? timeline.selectSpan(static_cast<std::int64_t>(query.fromMicros_), static_cast<std::int64_t>(query.toMicros_))
        : timeline.select(query.requestId_);
    return wire::TimelineReply {.queryId_ = query.queryId_, .events_ = observe::toJson(events)};
}

auto TimelineCollector::onReply(const wire::TimelineReply &reply) -> void
{
    const auto events = observe::eventsFromJson(reply.events_);
    const auto lock = std::lock_guard(mutex_);
    const auto collection = pendingCollections_.find(reply.queryId_);
    if (collection == pendingCollections_.end()) {
        return;
    }
    ++collection->second.replyCount_;
    if (events) {
        for (const auto &event : *events) {
            collection->second.events_.push_back(event);
        }
    }
    replyArrived_.notify_all();
}

auto TimelineCollector::collect(const TimelineSelection &selection) -> std::vector<observe::MergedEvent>
{
    auto broadcasters = std::vector<TimelineBroadcaster>();
    auto queryId = std::uint64_t(0);
    {
        const auto lock = std::lock_guard(mutex_);
        queryId = nextQueryId_++;
        pendingCollections_.emplace(queryId, PendingCollection {});
        broadcasters = broadcasters_;
    }
    const auto message = wire::TimelineQuery {.queryId_ = queryId,
        .requestId_ = selection.requestId_,
        .fromMicros_ = selection.fromMicros_,
        .toMicros_ = selection.toMicros_};
    auto expectedReplies = std::size_t(1);
    onReply(localReply(message));
    for (const auto &broadcast : broadcasters) {
        expectedReplies += broadcast(message);
    }
    auto lock = std::unique_lock(mutex_);
    replyArrived_.wait_for(lock, timelineReplyTimeout, [&]() -> bool {
        return pendingCollections_[queryId].replyCount_ >= expectedReplies;
    });
    const auto events = std::move(pendingCollections_[queryId].events_);
    pendingCollections_.erase(queryId);
    return observe::merge(events);
}

} // namespace jasminewood::router
