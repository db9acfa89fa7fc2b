#include "jasminewood/agent/attempt_ledger.h"

#include <utility>

#include <fmt/format.h>

namespace jasminewood::agent
{

AttemptLedger::AttemptLedger(NodeId self, std::size_t capacity)
    : self_(std::move(self))
    , capacity_(capacity)
{
}

auto AttemptLedger::registerDispatch(
    const AttemptId &attempt, std::uint64_t expectedIncarnation, bool idempotent, TimePoint now) -> DispatchDecision
{
    const auto reject = [this](const std::string &reason) {
        return Rejected {.failure_ = Failure {.step_ = "dispatch", .peer_ = toString(self_), .reason_ = reason}};
    };
    if (expectedIncarnation != self_.incarnation_) {
        return reject(fmt::format("the dispatch is meant for incarnation {:x}", expectedIncarnation));
    }
    const auto found = states_.find(attempt);
    if (found != states_.end()) {
        if (found->second == AttemptState::NotRun) {
            return reject("the attempt was voided");
        }
        return Duplicate {};
    }
    if (!idempotent && states_.size() >= capacity_) {
        return reject("the record of non-idempotent attempts is full");
    }
    states_.emplace(attempt, AttemptState::Queued);
    if (!idempotent) {
        expiryQueue_.emplace_back(now, attempt);
    }
    return Accepted {};
}

auto AttemptLedger::tryStart(const AttemptId &attempt) -> bool
{
    const auto found = states_.find(attempt);
    if (found == states_.end() || found->second != AttemptState::Queued) {
        return false;
    }
    found->second = AttemptState::Running;
    return true;
}

auto AttemptLedger::markNotRun(const AttemptId &attempt) -> void
{
    states_.insert_or_assign(attempt, AttemptState::NotRun);
}

auto AttemptLedger::markEnded(const AttemptId &attempt, RunState runState) -> void
{
    states_.insert_or_assign(attempt, runState == RunState::NotRun ? AttemptState::NotRun : AttemptState::Ran);
}

auto AttemptLedger::voidAttempt(const AttemptId &attempt, TimePoint now) -> AttemptState
{
    const auto [entry, inserted] = states_.try_emplace(attempt, AttemptState::NotRun);
    if (inserted) {
        expiryQueue_.emplace_back(now, attempt);
    }
    if (entry->second == AttemptState::Queued) {
        entry->second = AttemptState::NotRun;
    }
    return entry->second;
}

auto AttemptLedger::erase(const AttemptId &attempt) -> void
{
    states_.erase(attempt);
}

auto AttemptLedger::eraseExpired(TimePoint now) -> void
{
    while (!expiryQueue_.empty() && now - expiryQueue_.front().first > attemptRetention) {
        const auto found = states_.find(expiryQueue_.front().second);
        if (found != states_.end() && found->second != AttemptState::Running) {
            states_.erase(found);
        }
        expiryQueue_.pop_front();
    }
}

auto AttemptLedger::size() const -> std::size_t
{
    return states_.size();
}

} // namespace jasminewood::agent
