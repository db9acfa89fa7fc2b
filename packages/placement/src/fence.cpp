#include "jasminewood/placement/fence.h"

#include <algorithm>

#include <fmt/format.h>

namespace jasminewood::placement
{

CommandFence::CommandFence(std::uint64_t agentIncarnation, manifest::Fencing fencing, TimePoint started)
    : agentIncarnation_(agentIncarnation)
    , fencing_(fencing)
    , settledAt_(started + commandSettleTime)
{
}

auto CommandFence::check(const NumberedCommand &command, TimePoint now) -> FenceDecision
{
    const auto &number = command.number_;
    if (command.agentIncarnation_ != agentIncarnation_) {
        return reject("the command is addressed to another incarnation of this agent", false);
    }
    if (!minimumFencingToken_) {
        return ReadLeader {.agentIncarnation_ = agentIncarnation_, .queryId_ = ++lastQueryId_};
    }
    if (number.fencingToken_ < *minimumFencingToken_ || (highestNumber_ && number <= *highestNumber_)) {
        const auto reason = fmt::format(
            "command {}.{} is not newer than the commands that this agent has seen; the highest fencing token is {}",
            number.fencingToken_, number.sequence_, highestFencingToken());
        return reject(reason, false);
    }
    // A command that is rejected below also raises the highest number, so that older commands are rejected from now on.
    highestNumber_.emplace(number);
    if (std::holds_alternative<QueryState>(command.command_)) {
        return Execute {};
    }
    // An engine that checks the fencing token orders commands itself; any other engine must have ended the last
    // command.
    const auto settling = fencing_ == manifest::Fencing::Ignored && now < settledAt_;
    if (commandRunning_ || settling) {
        return reject("an earlier command may still be running", true);
    }
    commandRunning_ = true;
    return Execute {};
}

auto CommandFence::onLeaderRead(const LeaderReadResult &result) -> void
{
    const auto answersLastQuery = result.agentIncarnation_ == agentIncarnation_ && result.queryId_ == lastQueryId_;
    if (!answersLastQuery || minimumFencingToken_) {
        return;
    }
    // Without a leader, the next one gets a fencing token above the revision that was read.
    minimumFencingToken_ = result.fencingToken_.value_or(result.storeRevision_ + 1);
}

auto CommandFence::onCommandEnded(CommandOutcome outcome, TimePoint now) -> void
{
    commandRunning_ = false;
    if (outcome == CommandOutcome::Unknown) {
        settledAt_ = now + commandSettleTime;
    }
}

auto CommandFence::engineMayBeBusy(TimePoint now) const -> bool
{
    return commandRunning_ || now < settledAt_;
}

auto CommandFence::highestFencingToken() const -> std::uint64_t
{
    return std::max(minimumFencingToken_.value_or(0), highestNumber_ ? highestNumber_->fencingToken_ : 0);
}

auto CommandFence::reject(const std::string &reason, bool retryable) const -> FenceDecision
{
    return Reject {.highestFencingToken_ = highestFencingToken(),
        .failure_ = {.step_ = "command",
            .reason_ = reason,
            .runState_ = RunState::NotRun,
            .retryAfter_ = retryable ? std::optional(commandRetryAfter) : std::nullopt}};
}

} // namespace jasminewood::placement
