#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/agent/upstream.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/delivery/output_buffer.h"
#include "jasminewood/http/client.h"
#include "jasminewood/link/connection.h"
#include "jasminewood/wire/messages.h"

// An attempt that the agent has accepted: its dispatch, its output so far and the connection that receives the output.

namespace jasminewood::agent
{

// Thread-safe. The messages of an attempt are sent in order, even if another connection attaches at the same time.
class AttemptRun
{
public:
    AttemptRun(wire::Dispatch dispatch, std::shared_ptr<link::Connection> router);

    auto dispatch() const -> const wire::Dispatch &;

    // Returns the dispatch that resumes the attempt after its output so far.
    auto resumedDispatch() const -> wire::Dispatch;

    // Creates the stream call for the next upstream call and makes it the current one. It is already cancelled if the
    // attempt is cancelled.
    auto createCall() -> std::shared_ptr<http::StreamCall>;

    // Cancels the current call, if there is one.
    auto cancelCall() -> void;

    // Cancels the current call and every later one.
    auto cancel() -> void;

    auto cancelled() const -> bool;

    auto outputTokenCount() const -> std::uint32_t;

    // Records that the attempt has started and sends Started.
    auto markStarted() -> void;

    // Buffers the output and sends it. outputTokens is the attempt's total including this output. Fails if the buffered
    // output would exceed the buffer's limit.
    auto append(std::string_view data, std::uint32_t outputTokens) -> Status;

    // Ends the attempt with a complete response or a failure, and sends Finished or Failed.
    auto complete(const CallCompleted &outcome, TimePoint now) -> void;
    auto fail(const Failure &failure, const std::string &crashId, std::uint32_t outputTokens, TimePoint now) -> void;

    // Makes this the attempt's connection: sends the output from the offset on, and all later messages.
    auto attach(std::shared_ptr<link::Connection> router, std::uint64_t offset) -> void;

    // Stops sending to this connection. Does nothing if another connection has attached since.
    auto detach(const std::shared_ptr<link::Connection> &router, TimePoint now) -> void;

    // Returns the time at which the last connection was lost; empty while one is attached.
    auto detachedAt() const -> std::optional<TimePoint>;

    // Returns the time at which the attempt ended; empty before.
    auto endedAt() const -> std::optional<TimePoint>;

    // Sends Voided to this router when the attempt ends, or immediately if it has ended.
    auto notifyWhenEnded(std::shared_ptr<link::Connection> router) -> void;

    // Returns the upstream's response if the attempt ended with a complete one.
    auto upstreamResponse() const -> std::optional<wire::UpstreamResponse>;

private:
    auto sendToRouter(const wire::Message &message) -> void;
    auto makeResponse() const -> std::optional<wire::UpstreamResponse>;
    auto makeVoided() const -> wire::Voided;
    auto notifyEndWaiters() -> void;

    const wire::Dispatch dispatch_;
    mutable std::mutex mutex_;
    std::shared_ptr<http::StreamCall> currentCall_;
    bool cancelled_ = false;
    std::uint32_t outputTokens_ = 0;
    std::shared_ptr<link::Connection> router_;
    std::vector<std::shared_ptr<link::Connection>> endWaiters_;
    std::optional<TimePoint> detachedAt_;
    std::optional<TimePoint> endedAt_;
    bool started_ = false;
    delivery::OutputBuffer output_;
    std::optional<wire::Finished> finishedMessage_;
    std::optional<wire::Failed> failedMessage_;
};

} // namespace jasminewood::agent
