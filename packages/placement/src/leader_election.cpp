#include "jasminewood/placement/leader_election.h"

#include <algorithm>
#include <utility>

namespace jasminewood::placement
{

LeaderElection::LeaderElection(ElectionCandidate candidate, std::uint64_t seed)
    : candidate_(std::move(candidate))
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

auto LeaderElection::on(const Start & /*event*/, TimePoint /*now*/) -> Action
{
    return readKey(randomDelay(electionJitter));
}

auto LeaderElection::on(const LeaseGranted &event, TimePoint /*now*/) -> Action
{
    lease_ = event.lease_;
    validUntil_ = event.sentAt_ + leaderLeaseTtl - leaderSafetyMargin;
    return CreateKey {.key_ = candidate_.key_, .record_ = {.router_ = candidate_.router_, .lease_ = *lease_}};
}

auto LeaderElection::on(const KeyCreated &event, TimePoint now) -> Action
{
    return becomeLeader(event.revision_, now);
}

auto LeaderElection::on(const KeyExists &event, TimePoint now) -> Action
{
    // If the record is this router's own, the response to its CreateKey was lost.
    if (lease_ && event.record_ == LeaderRecord {.router_ = candidate_.router_, .lease_ = *lease_}) {
        return becomeLeader(event.createRevision_, now);
    }
    discardLease();
    return WatchKey {.key_ = candidate_.key_, .revision_ = event.modRevision_};
}

auto LeaderElection::on(const KeyAbsent & /*event*/, TimePoint now) -> Action
{
    fencingToken_.reset();
    if (!leaseValid(now)) {
        return GrantLease {};
    }
    return CreateKey {.key_ = candidate_.key_, .record_ = {.router_ = candidate_.router_, .lease_ = *lease_}};
}

auto LeaderElection::on(const LeaseRenewed &event, TimePoint now) -> Action
{
    const auto leaseLapsed = !leaseValid(now);
    validUntil_ = event.sentAt_ + std::min(event.timeToLive_, leaderLeaseTtl) - leaderSafetyMargin;
    // After a lapse only the key itself can confirm that this router is still the leader.
    if (leaseLapsed) {
        fencingToken_.reset();
        return readKey(Milliseconds(0));
    }
    return KeepAlive {.lease_ = *lease_, .delay_ = leaderRenewInterval};
}

auto LeaderElection::on(const LeaseExpired & /*event*/, TimePoint /*now*/) -> Action
{
    discardLease();
    return readKey(randomDelay(electionJitter));
}

auto LeaderElection::on(const WatchEnded & /*event*/, TimePoint /*now*/) -> Action
{
    return readKey(randomDelay(electionJitter));
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
    return KeepAlive {.lease_ = *lease_, .delay_ = delay};
}

auto LeaderElection::on(const Superseded & /*event*/, TimePoint /*now*/) -> Action
{
    discardLease();
    return readKey(Milliseconds(0));
}

auto LeaderElection::on(const Resign & /*event*/, TimePoint /*now*/) -> Action
{
    stopped_ = true;
    fencingToken_.reset();
    return lease_ ? Action(RevokeLease {.lease_ = *lease_}) : Action(Stopped {});
}

auto LeaderElection::leaseValid(TimePoint now) const -> bool
{
    return lease_ && now < validUntil_;
}

auto LeaderElection::becomeLeader(std::uint64_t revision, TimePoint now) -> Action
{
    fencingToken_ = revision;
    return KeepAlive {.lease_ = *lease_, .delay_ = leaseValid(now) ? leaderRenewInterval : Milliseconds(0)};
}

auto LeaderElection::discardLease() -> void
{
    fencingToken_.reset();
    lease_.reset();
}

auto LeaderElection::readKey(Milliseconds delay) const -> Action
{
    return ReadKey {.key_ = candidate_.key_, .delay_ = delay};
}

auto LeaderElection::randomDelay(Milliseconds maximum) -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, maximum.count())(random_));
}

} // namespace jasminewood::placement
