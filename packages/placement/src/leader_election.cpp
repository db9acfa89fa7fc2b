#include "jasminewood/placement/leader_election.h"

#include <algorithm>
#include <utility>

namespace jasminewood::placement
{

LeaderElection::LeaderElection(ElectionCandidate candidacy, std::uint64_t seed)
    : candidacy_(std::move(candidacy))
    , random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto LeaderElection::step(const Event &event, TimePoint now) -> Action
{
    if (stopped_) {
        return Stopped {};
    }
    if (!std::holds_alternative<StoreFailed>(event)) {
        failures_ = 0;
    }
    return std::visit(
        [this, now](const auto &happened) -> Action {
            return on(happened, now);
        },
        event);
}

auto LeaderElection::currentFencingToken(TimePoint now) const -> std::optional<std::uint64_t>
{
    return leaseValid(now) ? fence_ : std::nullopt;
}

auto LeaderElection::on(const Start & /*event*/, TimePoint /*now*/) -> Action
{
    return read(spread(electionJitter));
}

auto LeaderElection::on(const LeaseGranted &event, TimePoint /*now*/) -> Action
{
    lease_ = event.lease_;
    validUntil_ = event.sentAt_ + leaderLeaseTtl - leaderSafetyMargin;
    return CreateKey {.key_ = candidacy_.key_, .record_ = {.router_ = candidacy_.router_, .lease_ = *lease_}};
}

auto LeaderElection::on(const KeyCreated &event, TimePoint now) -> Action
{
    return lead(event.revision_, now);
}

auto LeaderElection::on(const KeyExists &event, TimePoint now) -> Action
{
    // The answer to the own create was lost if the record is the own one.
    if (lease_ && event.record_ == LeaderRecord {.router_ = candidacy_.router_, .lease_ = *lease_}) {
        return lead(event.createRevision_, now);
    }
    forget();
    return WatchKey {.key_ = candidacy_.key_, .revision_ = event.modRevision_};
}

auto LeaderElection::on(const KeyAbsent & /*event*/, TimePoint now) -> Action
{
    fence_.reset();
    if (!leaseValid(now)) {
        return GrantLease {};
    }
    return CreateKey {.key_ = candidacy_.key_, .record_ = {.router_ = candidacy_.router_, .lease_ = *lease_}};
}

auto LeaderElection::on(const LeaseRenewed &event, TimePoint now) -> Action
{
    const auto lapsed = !leaseValid(now);
    validUntil_ = event.sentAt_ + std::min(event.timeToLive_, leaderLeaseTtl) - leaderSafetyMargin;
    // After a lapse the key itself must confirm that this router still leads.
    if (lapsed) {
        fence_.reset();
        return read(Milliseconds(0));
    }
    return KeepAlive {.lease_ = *lease_, .delay_ = leaderRenewInterval};
}

auto LeaderElection::on(const LeaseExpired & /*event*/, TimePoint /*now*/) -> Action
{
    forget();
    return read(spread(electionJitter));
}

auto LeaderElection::on(const WatchEnded & /*event*/, TimePoint /*now*/) -> Action
{
    return read(spread(electionJitter));
}

auto LeaderElection::on(const StoreFailed & /*event*/, TimePoint now) -> Action
{
    const auto ceiling
        = std::min(maximumStoreBackoff, minimumStoreBackoff * (std::int64_t(1) << std::min(failures_, 6U)));
    ++failures_;
    if (!fence_) {
        return read(spread(ceiling));
    }
    // The lease may or may not have been renewed, so the end of its validity stays as it was.
    const auto rest = std::chrono::duration_cast<Milliseconds>(validUntil_ - now) / 4;
    const auto delay = leaseValid(now) ? std::clamp(rest, minimumStoreBackoff, ceiling) : spread(ceiling);
    return KeepAlive {.lease_ = *lease_, .delay_ = delay};
}

auto LeaderElection::on(const Superseded & /*event*/, TimePoint /*now*/) -> Action
{
    forget();
    return read(Milliseconds(0));
}

auto LeaderElection::on(const Resign & /*event*/, TimePoint /*now*/) -> Action
{
    stopped_ = true;
    fence_.reset();
    return lease_ ? Action(RevokeLease {.lease_ = *lease_}) : Action(Stopped {});
}

auto LeaderElection::leaseValid(TimePoint now) const -> bool
{
    return lease_ && now < validUntil_;
}

auto LeaderElection::lead(std::uint64_t revision, TimePoint now) -> Action
{
    fence_ = revision;
    return KeepAlive {.lease_ = *lease_, .delay_ = leaseValid(now) ? leaderRenewInterval : Milliseconds(0)};
}

auto LeaderElection::forget() -> void
{
    fence_.reset();
    lease_.reset();
}

auto LeaderElection::read(Milliseconds delay) const -> Action
{
    return ReadKey {.key_ = candidacy_.key_, .delay_ = delay};
}

auto LeaderElection::spread(Milliseconds limit) -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, limit.count())(random_));
}

} // namespace jasminewood::placement
