#include "jasminewood/placement/leadership.h"

#include <algorithm>
#include <utility>

namespace jasminewood::placement
{

Leadership::Leadership(Candidacy candidacy, std::uint64_t seed)
    : candidacy_(std::move(candidacy))
    , random_(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto Leadership::step(const Event &event, TimePoint now) -> Action
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

auto Leadership::fence(TimePoint now) const -> std::optional<std::uint64_t>
{
    return leaseValid(now) ? fence_ : std::nullopt;
}

auto Leadership::on(const Begin & /*event*/, TimePoint /*now*/) -> Action
{
    return read(spread(electionSpread));
}

auto Leadership::on(const LeaseGranted &event, TimePoint /*now*/) -> Action
{
    lease_ = event.lease_;
    validUntil_ = event.sentAt_ + leaderLeaseTime - leaderSafetyMargin;
    return CreateKey {.key_ = candidacy_.key_, .record_ = {.router_ = candidacy_.router_, .lease_ = *lease_}};
}

auto Leadership::on(const KeyCreated &event, TimePoint now) -> Action
{
    return lead(event.revision_, now);
}

auto Leadership::on(const KeyHeld &event, TimePoint now) -> Action
{
    // The answer to the own create was lost if the record is the own one.
    if (lease_ && event.record_ == LeaderRecord {.router_ = candidacy_.router_, .lease_ = *lease_}) {
        return lead(event.createRevision_, now);
    }
    forget();
    return WatchKey {.key_ = candidacy_.key_, .revision_ = event.modRevision_};
}

auto Leadership::on(const KeyMissing & /*event*/, TimePoint now) -> Action
{
    fence_.reset();
    if (!leaseValid(now)) {
        return GrantLease {};
    }
    return CreateKey {.key_ = candidacy_.key_, .record_ = {.router_ = candidacy_.router_, .lease_ = *lease_}};
}

auto Leadership::on(const LeaseKept &event, TimePoint now) -> Action
{
    const auto lapsed = !leaseValid(now);
    validUntil_ = event.sentAt_ + std::min(event.timeToLive_, leaderLeaseTime) - leaderSafetyMargin;
    // After a lapse the key itself must confirm that this router still leads.
    if (lapsed) {
        fence_.reset();
        return read(Milliseconds(0));
    }
    return KeepAlive {.lease_ = *lease_, .delay_ = leaderRenewInterval};
}

auto Leadership::on(const LeaseExpired & /*event*/, TimePoint /*now*/) -> Action
{
    forget();
    return read(spread(electionSpread));
}

auto Leadership::on(const WatchEnded & /*event*/, TimePoint /*now*/) -> Action
{
    return read(spread(electionSpread));
}

auto Leadership::on(const StoreFailed & /*event*/, TimePoint now) -> Action
{
    const auto ceiling = std::min(longestStoreDelay, shortestStoreDelay * (std::int64_t(1) << std::min(failures_, 6U)));
    ++failures_;
    if (!fence_) {
        return read(spread(ceiling));
    }
    // The lease may or may not have been renewed, so the end of its validity stays as it was.
    const auto rest = std::chrono::duration_cast<Milliseconds>(validUntil_ - now) / 4;
    const auto delay = leaseValid(now) ? std::clamp(rest, shortestStoreDelay, ceiling) : spread(ceiling);
    return KeepAlive {.lease_ = *lease_, .delay_ = delay};
}

auto Leadership::on(const Superseded & /*event*/, TimePoint /*now*/) -> Action
{
    forget();
    return read(Milliseconds(0));
}

auto Leadership::on(const Resign & /*event*/, TimePoint /*now*/) -> Action
{
    stopped_ = true;
    fence_.reset();
    return lease_ ? Action(RevokeLease {.lease_ = *lease_}) : Action(Stopped {});
}

auto Leadership::leaseValid(TimePoint now) const -> bool
{
    return lease_ && now < validUntil_;
}

auto Leadership::lead(std::uint64_t revision, TimePoint now) -> Action
{
    fence_ = revision;
    return KeepAlive {.lease_ = *lease_, .delay_ = leaseValid(now) ? leaderRenewInterval : Milliseconds(0)};
}

auto Leadership::forget() -> void
{
    fence_.reset();
    lease_.reset();
}

auto Leadership::read(Milliseconds delay) const -> Action
{
    return ReadKey {.key_ = candidacy_.key_, .delay_ = delay};
}

auto Leadership::spread(Milliseconds limit) -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, limit.count())(random_));
}

} // namespace jasminewood::placement
