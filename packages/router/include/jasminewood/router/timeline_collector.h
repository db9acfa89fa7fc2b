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

// Service "timelines" of the router: gathers the events of all processes that it has a link to.
//
//     const auto events = timelines->collect({.request_ = "r-lj-a-1-7"});

namespace jasminewood::router
{

// Longest time for the replies. A process that does not reply in time is missing from the result.
constexpr Milliseconds timelineReplyTimeout = Milliseconds(1000);

// Sends a message to a group of processes and returns to how many.
using TimelineBroadcaster = std::function<auto(const wire::Message &)->std::size_t>;

// What to collect: a request, or a span of time in microseconds since the epoch if the request is empty.
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

    // Adds a group of processes to ask; services that own links call it when they start.
    auto addBroadcaster(TimelineBroadcaster sender) -> void;

    // A process replied.
    auto onReply(const wire::TimelineReply &reply) -> void;

    // Returns the reply of this process.
    auto localReply(const wire::TimelineQuery &query) const -> wire::TimelineReply;

    // Asks all processes and merges their events with the own ones.
    auto collect(const TimelineSelection &selection) -> std::vector<observe::MergedEvent>;

private:
    struct Collection
    {
        std::size_t replies_ = 0;
        std::vector<observe::TimelineEvent> events_;
    };

    std::shared_ptr<node::Environment> environment_;
    std::mutex mutex_;
    std::condition_variable replied_;
    std::vector<TimelineBroadcaster> senders_;
    std::map<std::uint64_t, Collection> collections_;
    std::uint64_t nextQuery_ = 1;
};

} // namespace jasminewood::router
