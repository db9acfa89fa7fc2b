#include "jasminewood/delivery/response_tracker.h"

#include <algorithm>

namespace jasminewood::delivery
{

auto ResponseTracker::beginAttempt(const AttemptId &attempt) -> void
{
    for (auto &[id, state] : attempts_) {
        state.eligible_ = false;
    }
    pendingAttach_.reset();
    attempts_.try_emplace(attempt);
}

auto ResponseTracker::beginHedge(const AttemptId &attempt) -> void
{
    const auto hedgeDecided = std::any_of(attempts_.begin(), attempts_.end(), [](const auto &entry) {
        return entry.second.eligible_ && entry.second.sentOutput_;
    });
    attempts_.try_emplace(attempt).first->second.eligible_ = !hedgeDecided;
}

auto ResponseTracker::onFrame(const AttemptId &attempt, std::uint64_t offset, std::string_view data)
    -> std::optional<std::string>
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return std::nullopt;
    }
    found->second.sentOutput_ = true;
    auto *state = findEligible(attempt);
    if (state == nullptr) {
        return std::nullopt;
    }
    ignoreAllExcept(attempt);
    if (offset > state->nextOffset_) {
        requestAttach(attempt, *state);
        return std::nullopt;
    }
    const auto duplicateBytes = state->nextOffset_ - offset;
    if (duplicateBytes >= data.size()) {
        return std::nullopt;
    }
    const auto newData = data.substr(duplicateBytes);
    pendingAttach_.reset();
    state->nextOffset_ += newData.size();
    state->digest_.update(newData);
    delivered_.append(newData);
    return std::string(newData);
}

auto ResponseTracker::onFinished(const AttemptId &attempt, std::uint64_t length, std::uint64_t digest) -> EndResult
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return Ignored {};
    }
    found->second.runState_ = RunState::Ran;
    auto *state = findEligible(attempt);
    if (state == nullptr) {
        return Ignored {};
    }
    ignoreAllExcept(attempt);
    if (length > state->nextOffset_) {
        requestAttach(attempt, *state);
        return *pendingAttach_;
    }
    pendingAttach_.reset();
    if (length < state->nextOffset_ || digest != state->digest_.value()) {
        state->eligible_ = false;
        return Failure {.step_ = "check answer",
            .reason_ = length < state->nextOffset_ ? "more bytes were received than the answer has"
                                                   : "the digest of the answer differs",
            .runState_ = RunState::Ran};
    }
    return Complete {};
}

auto ResponseTracker::onFailed(const AttemptId &attempt, const Failure &failure) -> void
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    auto &state = found->second;
    const auto contradictedByOutput = failure.runState_ == RunState::NotRun && state.sentOutput_;
    if (state.runState_ != RunState::Ran && !contradictedByOutput) {
        state.runState_ = failure.runState_;
    }
    state.eligible_ = false;
    if (pendingAttach_ && pendingAttach_->attempt_ == attempt) {
        pendingAttach_.reset();
    }
}

auto ResponseTracker::onConnectionLost(const AttemptId &attempt) -> void
{
    if (const auto *state = findEligible(attempt)) {
        requestAttach(attempt, *state);
    }
}

auto ResponseTracker::pendingAttach() const -> std::optional<AttachRequest>
{
    return pendingAttach_;
}

auto ResponseTracker::currentAttempt() const -> std::optional<AttemptId>
{
    auto found = attempts_.end();
    for (auto position = attempts_.begin(); position != attempts_.end(); ++position) {
        if (!position->second.eligible_) {
            continue;
        }
        if (found != attempts_.end()) {
            return std::nullopt;
        }
        found = position;
    }
    return found == attempts_.end() ? std::nullopt : std::optional<AttemptId>(found->first);
}

auto ResponseTracker::nextOffset(const AttemptId &attempt) const -> std::uint64_t
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? 0 : found->second.nextOffset_;
}

auto ResponseTracker::deliveredOutput() const -> const std::string &
{
    return delivered_;
}

auto ResponseTracker::runState() const -> RunState
{
    auto requestState = RunState::NotRun;
    for (const auto &[id, attemptState] : attempts_) {
        requestState = std::max(requestState, attemptState.runState_);
    }
    return requestState;
}

auto ResponseTracker::findEligible(const AttemptId &attempt) -> AttemptState *
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() || !found->second.eligible_ ? nullptr : &found->second;
}

// Makes all other attempts ineligible, for example the other one of two hedged attempts.
auto ResponseTracker::ignoreAllExcept(const AttemptId &attempt) -> void
{
    for (auto &[id, state] : attempts_) {
        state.eligible_ = id == attempt;
    }
    if (pendingAttach_ && pendingAttach_->attempt_ != attempt) {
        pendingAttach_.reset();
    }
}

auto ResponseTracker::requestAttach(const AttemptId &attempt, const AttemptState &state) -> void
{
    pendingAttach_.emplace(AttachRequest {.attempt_ = attempt, .offset_ = state.nextOffset_});
}

} // namespace jasminewood::delivery
