#include "jasminewood/election/leader_election.h"

#include <algorithm>
#include <utility>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::election
{

LeaderElection::LeaderElection(ElectionCandidate candidate, std::uint64_t seed, const ElectionOptions &options)
    : candidate_(std::move(candidate))
    , options_(options)
    , random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto LeaderElection::step(const Event &event, TimePoint now) -> Action
{
    if (stopped_) {
        return Stopped {};
    }
    if (!std::holds_alternative<StoreFailed>(event)) {
        consecutiveFailures_ = 0;
    }
    return std::visit(
        [this, now](const auto &alternative) -> Action {
            return on(alternative, now);
        },
        event);
}

auto LeaderElection::currentFencingToken(TimePoint now) const -> std::optional<std::uint64_t>
{
    return leaseValid(now) ? fencingToken_ : std::nullopt;
}

auto LeaderElection::validUntil() const -> TimePoint
{
    return validUntil_;
}

auto LeaderElection::on(const Start & /*event*/, TimePoint /*now*/) -> Action
{
    return readKey(randomDelay(options_.jitter_));
}

auto LeaderElection::on(const LeaseGranted &event, TimePoint /*now*/) -> Action
{
    leaseId_ = event.leaseId_;
    validUntil_ = event.sentAt_ + options_.timeToLive_ - options_.safetyMargin_;
    return createKey();
}

auto LeaderElection::on(const KeyCreated &event, TimePoint now) -> Action
{
    return becomeLeader(event.fencingToken_, now);
}

auto LeaderElection::on(const KeyExists &event, TimePoint now) -> Action
{
    // If the record is this router's own, the response to its CreateKey was lost.
    if (leaseId_ && event.record_.router_ == candidate_.router_ && event.record_.leaseId_ == *leaseId_) {
        return becomeLeader(fencingTokenOf(event), now);
    }
    discardLease(now);
    return WatchKey {.key_ = candidate_.key_, .revision_ = event.modRevision_};
}

auto LeaderElection::on(const KeyAbsent &event, TimePoint now) -> Action
{
    fencingToken_.reset();
    const auto hasLost = wasLeader_ && options_.pauseAfterLoss_.count() > 0;
    if (hasLost) {
        discardLease(now);
    }
    if (!leaseValid(now)) {
        const auto pause = std::chrono::ceil<Milliseconds>(std::max(candidateFrom_ - now, Clock::duration::zero()));
        return GrantLease {.timeToLive_ = options_.timeToLive_, .delay_ = pause + event.candidacyDelay_};
    }
    return createKey();
}

auto LeaderElection::on(const LeaseRenewed &event, TimePoint now) -> Action
{
    const auto leaseLapsed = !leaseValid(now);
    validUntil_ = event.sentAt_ + std::min(event.timeToLive_, options_.timeToLive_) - options_.safetyMargin_;
    // After a lapse only the key itself can confirm that this router is still the leader.
    if (leaseLapsed) {
        fencingToken_.reset();
        return readKey(Milliseconds(0));
    }
    return KeepAlive {.leaseId_ = *leaseId_, .delay_ = options_.renewInterval_};
}

auto LeaderElection::on(const LeaseExpired & /*event*/, TimePoint now) -> Action
{
    discardLease(now);
    return readKey(randomDelay(options_.jitter_));
}

auto LeaderElection::on(const WatchEnded & /*event*/, TimePoint /*now*/) -> Action
{
    return readKey(randomDelay(options_.jitter_));
}

auto LeaderElection::on(const StoreFailed & /*event*/, TimePoint now) -> Action
{
    const auto ceiling
        = std::min(maximumStoreBackoff, minimumStoreBackoff * (std::int64_t(1) << std::min(consecutiveFailures_, 6U)));
    ++consecutiveFailures_;
    if (!fencingToken_) {
        return readKey(randomDelay(ceiling));
    }
    // The lease may or may not have been renewed, so validUntil_ stays unchanged.
    const auto retryDelay = std::chrono::duration_cast<Milliseconds>(validUntil_ - now) / 4;
    const auto delay = leaseValid(now) ? std::clamp(retryDelay, minimumStoreBackoff, ceiling) : randomDelay(ceiling);
    return KeepAlive {.leaseId_ = *leaseId_, .delay_ = delay};
}

auto LeaderElection::on(const Superseded & /*event*/, TimePoint now) -> Action
{
    const auto lease = leaseId_;
    discardLease(now);
    // Without a pause, this router could be elected again at once by revoking its lease.
    const auto revokes = lease && options_.pauseAfterLoss_.count() > 0;
    return revokes ? Action(RevokeLease {.leaseId_ = *lease}) : readKey(Milliseconds(0));
}

auto LeaderElection::on(const Resign & /*event*/, TimePoint /*now*/) -> Action
{
    stopped_ = true;
    fencingToken_.reset();
    return leaseId_ ? Action(RevokeLease {.leaseId_ = *leaseId_}) : Action(Stopped {});
}

auto LeaderElection::leaseValid(TimePoint now) const -> bool
{
    return leaseId_ && now < validUntil_;
}

auto LeaderElection::becomeLeader(std::uint64_t fencingToken, TimePoint now) -> Action
{
    fencingToken_ = fencingToken;
    wasLeader_ = true;
    return KeepAlive {.leaseId_ = *leaseId_, .delay_ = leaseValid(now) ? options_.renewInterval_ : Milliseconds(0)};
}

auto LeaderElection::fencingTokenOf(const KeyExists &event) const -> std::uint64_t
{
    return std::visit(Overloaded {[&event](const RevisionTokens &) {
                                      return event.createRevision_;
                                  },
                          [&event](const RecordedTokens &) {
                              return event.record_.fencingToken_;
                          }},
        options_.fencingTokens_);
}

auto LeaderElection::createKey() const -> Action
{
    return CreateKey {.key_ = candidate_.key_, .record_ = {.router_ = candidate_.router_, .leaseId_ = *leaseId_}};
}

auto LeaderElection::discardLease(TimePoint now) -> void
{
    if (std::exchange(wasLeader_, false)) {
        candidateFrom_ = now + options_.pauseAfterLoss_;
    }
    fencingToken_.reset();
    leaseId_.reset();
}

auto LeaderElection::readKey(Milliseconds delay) const -> Action
{
    return ReadKey {.key_ = candidate_.key_, .delay_ = delay, .isOwnClaim_ = leaseId_.has_value()};
}

auto LeaderElection::randomDelay(Milliseconds maximum) -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, maximum.count())(random_));
}

} // namespace jasminewood::election
