#include "jasminewood/placement/fence.h"

#include <algorithm>

#include <fmt/format.h>

namespace jasminewood::placement
{

CommandFence::CommandFence(std::uint64_t agentIncarnation, manifest::Fencing fencing, TimePoint started)
    : agentIncarnation_(agentIncarnation)
    , fencing_(fencing)
    , quietUntil_(started + commandSettleTime)
{
}

auto CommandFence::check(const NumberedCommand &command, TimePoint now) -> FenceDecision
{
    const auto &number = command.number_;
    if (command.agentIncarnation_ != agentIncarnation_) {
        return refusal("the command is meant for another incarnation of this agent", false);
    }
    if (!lowestFence_) {
        return ReadLeader {.agentIncarnation_ = agentIncarnation_, .queryId_ = ++query_};
    }
    if (number.fencingToken_ < *lowestFence_ || (highest_ && number <= *highest_)) {
        const auto reason = fmt::format("command {}.{} is older than one that this agent has seen, of leader {}",
            number.fencingToken_, number.sequence_, highestFence());
        return refusal(reason, false);
    }
    // A refused command raises the number too, so that older commands are refused from now on.
    highest_.emplace(number);
    if (std::holds_alternative<QueryState>(command.command_)) {
        return Execute {};
    }
    // An engine that checks the number orders commands itself; the other kind must have ended the last one.
    const auto settling = fencing_ == manifest::Fencing::Ignored && now < quietUntil_;
    if (running_ || settling) {
        return refusal("an earlier command may still be running", true);
    }
    running_ = true;
    return Execute {};
}

auto CommandFence::onLeaderRead(const LeaderReadResult &reading) -> void
{
    const auto current = reading.agentIncarnation_ == agentIncarnation_ && reading.queryId_ == query_;
    if (!current || lowestFence_) {
        return;
    }
    // Without a leader, the next one gets a number above the revision that was read.
    lowestFence_ = reading.fencingToken_.value_or(reading.storeRevision_ + 1);
}

auto CommandFence::onCommandEnded(CommandOutcome end, TimePoint now) -> void
{
    running_ = false;
    if (end == CommandOutcome::Unknown) {
        quietUntil_ = now + commandSettleTime;
    }
}

auto CommandFence::engineMayBeBusy(TimePoint now) const -> bool
{
    return running_ || now < quietUntil_;
}

auto CommandFence::highestFence() const -> std::uint64_t
{
    return std::max(lowestFence_.value_or(0), highest_ ? highest_->fencingToken_ : 0);
}

auto CommandFence::refusal(const std::string &reason, bool retry) const -> FenceDecision
{
    return Reject {.highestFencingToken_ = highestFence(),
        .failure_ = {.step_ = "command",
            .reason_ = reason,
            .runState_ = RunState::NotRun,
            .retryAfter_ = retry ? std::optional(commandRetryAfter) : std::nullopt}};
}

} // namespace jasminewood::placement
