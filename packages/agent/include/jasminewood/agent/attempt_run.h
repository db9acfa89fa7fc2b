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

// One attempt at the agent: what was asked, the output so far, and the connection that receives it.

namespace jasminewood::agent
{

// Thread-safe. Messages of an attempt leave in order, also when another connection attaches meanwhile.
class AttemptRun
{
public:
    AttemptRun(wire::Dispatch dispatch, std::shared_ptr<link::Connection> router);

    auto dispatch() const -> const wire::Dispatch &;

    // The attempt's work that is left: the dispatch, continued after the output so far.
    auto remainingDispatch() const -> wire::Dispatch;

    // Returns the stream call of the next call to the upstream. It is ended at once if the attempt was cancelled.
    auto createCall() -> std::shared_ptr<http::StreamCall>;

    // Ends the present call, if there is one.
    auto cancelCall() -> void;

    // Ends the present call and every later one.
    auto cancel() -> void;

    auto cancelled() const -> bool;

    // Output tokens so far.
    auto outputTokenCount() const -> std::uint32_t;

    auto markStarted() -> void;

    // Keeps the output and sends it; outputTokens counts all tokens of the attempt with it. Fails if the output exceeds
    // the buffer's limit.
    auto append(std::string_view data, std::uint32_t outputTokens) -> Status;

    // Ends the attempt with a complete answer or a failure.
    auto complete(const CallCompleted &outcome, TimePoint now) -> void;
    auto fail(const Failure &failure, const std::string &crash, std::uint32_t wastedTokens, TimePoint now) -> void;

    // Sends everything from the offset on over this connection, and all that follows.
    auto attach(std::shared_ptr<link::Connection> router, std::uint64_t offset) -> void;

    // Sends nothing more to this connection. Does nothing if another one has attached meanwhile.
    auto detach(const std::shared_ptr<link::Connection> &router, TimePoint now) -> void;

    // When the last connection was lost; empty while one is attached.
    auto detachedAt() const -> std::optional<TimePoint>;

    // When the attempt ended; empty before.
    auto endedAt() const -> std::optional<TimePoint>;

    // Sends Voided to this router when the attempt ends, or at once if it has ended.
    auto notifyWhenEnded(std::shared_ptr<link::Connection> router) -> void;

    // The whole output, if the attempt ended with a complete answer.
    auto completeResponse() const -> std::optional<wire::UpstreamResponse>;

private:
    auto send(const wire::Message &message) -> void;
    auto wholeAnswer() const -> std::optional<wire::UpstreamResponse>;
    auto endMessage() const -> wire::Voided;
    auto tellWaiting() -> void;

    const wire::Dispatch dispatch_;
    mutable std::mutex mutex_;
    std::shared_ptr<http::StreamCall> call_;
    bool cancelled_ = false;
    std::uint32_t outputTokens_ = 0;
    std::shared_ptr<link::Connection> router_;
    std::vector<std::shared_ptr<link::Connection>> waiting_;
    std::optional<TimePoint> detachedAt_;
    std::optional<TimePoint> endedAt_;
    bool started_ = false;
    delivery::OutputBuffer output_;
    std::optional<wire::Finished> finished_;
    std::optional<wire::Failed> failed_;
};

} // namespace jasminewood::agent
