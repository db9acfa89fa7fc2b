#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/observe/timeline_merge.h"
#include "jasminewood/wire/messages.h"

// Service "timelines" of the router: collects the timeline events of all processes to which the router has a link.
//
//     const auto events = timelines->collect({.requestId_ = "r-lj-a-1-7"});

namespace jasminewood::router
{

// Maximum time to wait for the replies. The result lacks the events of processes that reply later.
constexpr Milliseconds timelineReplyTimeout = Milliseconds(1000);

// Sends a message to a group of processes and returns their number.
using TimelineBroadcaster = std::function<auto(const wire::Message &)->std::size_t>;

// Selects the events of one request or, if the request is empty, of a time span in microseconds since the epoch.
struct TimelineSelection
{
    const std::string requestId_;
    const std::uint64_t fromMicros_ = 0;
    const std::uint64_t toMicros_ = 0;

    auto operator<=>(const TimelineSelection &) const = default;
};

// Thread-safe.
class TimelineCollector
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Adds a group of processes to query. Called by services that own links when they start.
    auto addBroadcaster(TimelineBroadcaster broadcaster) -> void;

    // Called when a process replied.
    auto onReply(const wire::TimelineReply &reply) -> void;

    // Returns the reply of this process to a query.
    auto localReply(const wire::TimelineQuery &query) const -> wire::TimelineReply;

    // Queries all processes and merges their events with those of this process.
    auto collect(const TimelineSelection &selection) -> std::vector<observe::MergedEvent>;

private:
    struct PendingCollection
    {
        std::size_t replyCount_ = 0;
        std::vector<observe::TimelineEvent> events_;
    };

    std::shared_ptr<node::Environment> environment_;
    std::mutex mutex_;
    std::condition_variable replyArrived_;
    std::vector<TimelineBroadcaster> broadcasters_;
    std::map<std::uint64_t, PendingCollection> pendingCollections_;
    std::uint64_t nextQueryId_ = 1;
};

} // namespace jasminewood::router
