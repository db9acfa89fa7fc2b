#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/wire/messages.h"

// Queue of the events of one request's attempts, from the agents' links to the thread that serves the caller.
//
//     while (const auto event = events->pop(deadline)) {
//         std::visit(handler, *event);
//     }

namespace jasminewood::router
{

// The connection to the same incarnation of the agent was opened again; the router must send Attach.
struct LinkReconnected
{
    const AttemptId attempt_;

    auto operator<=>(const LinkReconnected &) const = default;
};

// The agent is unreachable or was restarted.
struct LinkLost
{
    const AttemptId attempt_;
    const Failure failure_;

    auto operator<=>(const LinkLost &) const = default;
};

using AttemptEvent
    = std::variant<wire::Started, wire::Frame, wire::Finished, wire::Failed, wire::Voided, LinkReconnected, LinkLost>;

// Thread-safe. Only one thread may call pop().
class AttemptEventQueue
{
public:
    auto push(AttemptEvent event) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        events_.push_back(std::move(event));
        eventArrived_.notify_one();
    }

    // Waits for the next event until the deadline. Returns nothing if none arrived.
    auto pop(TimePoint deadline) -> std::optional<AttemptEvent>
    {
        auto lock = std::unique_lock(mutex_);
        const auto ready = eventArrived_.wait_until(lock, deadline, [this]() -> bool {
            return !events_.empty();
        });
        if (!ready) {
            return std::nullopt;
        }
        auto event = std::optional<AttemptEvent>(std::move(events_.front()));
        events_.pop_front();
        return event;
    }

private:
    std::mutex mutex_;
    std::condition_variable eventArrived_;
    std::deque<AttemptEvent> events_;
};

} // namespace jasminewood::router
