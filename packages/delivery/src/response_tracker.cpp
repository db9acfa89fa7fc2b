#include "jasminewood/delivery/response_tracker.h"

#include <algorithm>

namespace jasminewood::delivery
{

auto ResponseTracker::beginAttempt(const AttemptId &attempt) -> void
{
    for (auto &[id, track] : tracks_) {
        track.eligible_ = false;
    }
    attach_.reset();
    tracks_.try_emplace(attempt);
}

auto ResponseTracker::beginHedge(const AttemptId &attempt) -> void
{
    const auto decided = std::any_of(tracks_.begin(), tracks_.end(), [](const auto &entry) {
        return entry.second.eligible_ && entry.second.sentOutput_;
    });
    tracks_.try_emplace(attempt).first->second.eligible_ = !decided;
}

auto ResponseTracker::onFrame(const AttemptId &attempt, std::uint64_t offset, std::string_view data)
    -> std::optional<std::string>
{
    const auto known = tracks_.find(attempt);
    if (known == tracks_.end()) {
        return std::nullopt;
    }
    known->second.sentOutput_ = true;
    auto *track = eligible(attempt);
    if (track == nullptr) {
        return std::nullopt;
    }
    choose(attempt);
    if (offset > track->next_) {
        requestAttach(attempt, *track);
        return std::nullopt;
    }
    const auto repeated = track->next_ - offset;
    if (repeated >= data.size()) {
        return std::nullopt;
    }
    const auto fresh = data.substr(repeated);
    attach_.reset();
    track->next_ += fresh.size();
    track->digest_.update(fresh);
    delivered_.append(fresh);
    return std::string(fresh);
}

auto ResponseTracker::onFinished(const AttemptId &attempt, std::uint64_t length, std::uint64_t digest) -> EndResult
{
    const auto known = tracks_.find(attempt);
    if (known == tracks_.end()) {
        return Ignored {};
    }
    known->second.runState_ = RunState::Ran;
    auto *track = eligible(attempt);
    if (track == nullptr) {
        return Ignored {};
    }
    choose(attempt);
    if (length > track->next_) {
        requestAttach(attempt, *track);
        return *attach_;
    }
    attach_.reset();
    if (length < track->next_ || digest != track->digest_.value()) {
        track->eligible_ = false;
        return Failure {.step_ = "check answer",
            .reason_ = length < track->next_ ? "more bytes were received than the answer has"
                                             : "the digest of the answer differs",
            .runState_ = RunState::Ran};
    }
    return Complete {};
}

auto ResponseTracker::onFailed(const AttemptId &attempt, const Failure &failure) -> void
{
    const auto known = tracks_.find(attempt);
    if (known == tracks_.end()) {
        return;
    }
    auto &track = known->second;
    const auto contradicted = failure.runState_ == RunState::NotRun && track.sentOutput_;
    if (track.runState_ != RunState::Ran && !contradicted) {
        track.runState_ = failure.runState_;
    }
    track.eligible_ = false;
    if (attach_ && attach_->attempt_ == attempt) {
        attach_.reset();
    }
}

auto ResponseTracker::onConnectionLost(const AttemptId &attempt) -> void
{
    if (const auto *track = eligible(attempt)) {
        requestAttach(attempt, *track);
    }
}

auto ResponseTracker::pendingAttach() const -> std::optional<AttachRequest>
{
    return attach_;
}

auto ResponseTracker::currentAttempt() const -> std::optional<AttemptId>
{
    auto found = tracks_.end();
    for (auto track = tracks_.begin(); track != tracks_.end(); ++track) {
        if (!track->second.eligible_) {
            continue;
        }
        if (found != tracks_.end()) {
            return std::nullopt;
        }
        found = track;
    }
    return found == tracks_.end() ? std::nullopt : std::optional<AttemptId>(found->first);
}

auto ResponseTracker::nextOffset(const AttemptId &attempt) const -> std::uint64_t
{
    const auto found = tracks_.find(attempt);
    return found == tracks_.end() ? 0 : found->second.next_;
}

auto ResponseTracker::deliveredOutput() const -> const std::string &
{
    return delivered_;
}

auto ResponseTracker::runState() const -> RunState
{
    auto state = RunState::NotRun;
    for (const auto &[id, track] : tracks_) {
        state = std::max(state, track.runState_);
    }
    return state;
}

auto ResponseTracker::eligible(const AttemptId &attempt) -> Track *
{
    const auto found = tracks_.find(attempt);
    return found == tracks_.end() || !found->second.eligible_ ? nullptr : &found->second;
}

// Drops the other attempt of a hedge.
auto ResponseTracker::choose(const AttemptId &attempt) -> void
{
    for (auto &[id, track] : tracks_) {
        track.eligible_ = id == attempt;
    }
    if (attach_ && attach_->attempt_ != attempt) {
        attach_.reset();
    }
}

auto ResponseTracker::requestAttach(const AttemptId &attempt, const Track &track) -> void
{
    attach_.emplace(AttachRequest {.attempt_ = attempt, .offset_ = track.next_});
}

} // namespace jasminewood::delivery
