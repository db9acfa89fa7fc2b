#include "jasminewood/forward/duty_lease.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/overloaded.h"
#include "jasminewood/duties/duty_rank.h"

namespace jasminewood::forward
{

namespace
{

// The part of the lease time that a holder does not use: clocks run at different rates, and a call takes its way.
constexpr int safetyMarginPart = 6;
constexpr int renewIntervalPart = 3;
// A router that lost the duty is no candidate for this multiple of the lease time, so that holders do not alternate.
constexpr int pauseLeaseTimes = 2;
// How long an action waits for the first snapshot of the store.
constexpr Milliseconds feedWait = Milliseconds(250);

auto electionOptions(Milliseconds leaseTime) -> election::ElectionOptions
{
    return {.timeToLive_ = leaseTime,
        .safetyMargin_ = leaseTime / safetyMarginPart,
        .renewInterval_ = leaseTime / renewIntervalPart,
        .jitter_ = Milliseconds(0),
        .pauseAfterLoss_ = pauseLeaseTimes * leaseTime,
        .fencingTokens_ = election::RecordedTokens {}};
}

auto delayOf(const election::Action &action) -> Milliseconds
{
    return std::visit(Overloaded {[](const election::WatchKey & /*watch*/) {
                                      return election::leaderWatchTimeout;
                                  },
                          [](const election::RevokeLease & /*revoke*/) {
                              return Milliseconds(0);
                          },
                          [](const election::Stopped & /*stopped*/) {
                              return election::leaderWatchTimeout;
                          },
                          [](const auto &delayed) {
                              return delayed.delay_;
                          }},
        action);
}

auto parseToken(const std::string &text) -> std::uint64_t
{
    auto token = std::uint64_t(0);
    std::from_chars(text.data(), text.data() + text.size(), token);
    return token;
}

} // namespace

auto bootNow() -> TimePoint
{
    return TimePoint(std::chrono::duration_cast<Clock::duration>(BootClock::now().time_since_epoch()));
}

auto dutyStore(const std::shared_ptr<platform::KeyValueClient> &client) -> DutyStore
{
    return {.grantLease_ =
                [client](std::chrono::seconds timeToLive) {
                    return client->grantLease(timeToLive);
                },
        .keepAlive_ =
            [client](const platform::Lease &lease) {
                return client->keepAlive(lease);
            },
        .revokeLease_ =
            [client](const platform::Lease &lease) {
                return client->revokeLease(lease);
            },
        .writeAll_ =
            [client](const platform::ConditionalWrites &writes) {
                return client->writeAll(writes);
            },
        .getPrefix_ =
            [client](const std::string &prefix) {
                return client->getPrefix(prefix);
            },
        .now_ = &bootNow};
}

DutyLease::DutyLease(DutyStore store, std::shared_ptr<node::Environment> environment, const DutyLeaseOptions &options,
    std::function<auto()->std::set<std::string>> routers, std::function<auto()->Milliseconds> wallClock)
    : store_(std::move(store))
    , environment_(std::move(environment))
    , options_(options)
    , routers_(std::move(routers))
    , wallClock_(std::move(wallClock))
    , holderGauge_(environment_->metrics().gauge(
          "jasminewood_duty_holder", "1 while this router holds the duty", {{"duty", options.duty_}}))
    , tokenGauge_(environment_->metrics().gauge("jasminewood_duty_fencing_token",
          "Fencing token with which this router last held the duty", {{"duty", options.duty_}}))
    , election_({.key_ = holderKey(), .router_ = environment_->identity().node_}, options.seed_,
          electionOptions(options.leaseTime_))
{
    step(election::Start {});
}

auto DutyLease::holderKey() const -> std::string
{
    return options_.keyPrefix_ + "holder";
}

auto DutyLease::tokenKey() const -> std::string
{
    return options_.keyPrefix_ + "token";
}

auto DutyLease::keys() -> DutyKeys &
{
    return keys_;
}

auto DutyLease::keys() const -> const DutyKeys &
{
    return keys_;
}

auto DutyLease::readKeys() -> Status
{
    const auto snapshot = store_.getPrefix_(options_.keyPrefix_);
    if (!snapshot) {
        return snapshot.failure();
    }
    return keys_.applyRead(*snapshot)
        ? std::nullopt
        : Status(Failure {.step_ = "read the keys of a duty", .reason_ = "the era of the store is not known yet"});
}

auto DutyLease::holder() const -> std::optional<HolderRecord>
{
    const auto key = keys_.find(holderKey());
    return key ? parseHolder(key->value_) : std::nullopt;
}

auto DutyLease::ownRevision(const DutyPermit &permit) const -> std::optional<platform::Revision>
{
    const auto key = keys_.find(holderKey());
    const auto record = key ? parseHolder(key->value_) : std::nullopt;
    const auto isOwn = record && record->leader_.router_ == environment_->identity().node_
        && record->leader_.fencingToken_ == permit.fencingToken_;
    return isOwn ? std::optional(key->revision_) : std::nullopt;
}

auto DutyLease::nextAt() const -> TimePoint
{
    const auto lock = std::scoped_lock(mutex_);
    return dueAt_;
}

auto DutyLease::permit() const -> std::optional<DutyPermit>
{
    const auto lock = std::scoped_lock(mutex_);
    const auto token = election_.currentFencingToken(store_.now_());
    const auto isRefused = token && refusedToken_ && *token <= *refusedToken_;
    return token && !isRefused ? std::optional(DutyPermit {.fencingToken_ = *token, .until_ = election_.validUntil()})
                               : std::nullopt;
}

auto DutyLease::recordRefusal(std::uint64_t fencingToken) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    refusedToken_ = std::max(refusedToken_.value_or(0), fencingToken);
    refusalPending_ = true;
}

auto DutyLease::step(const election::Event &event) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto now = store_.now_();
        action_.emplace(election_.step(event, now));
        dueAt_ = now + delayOf(*action_);
    }
    logChange();
}

auto DutyLease::logChange() -> void
{
    const auto held = permit();
    const auto token = held ? held->fencingToken_ : 0;
    if (token == loggedToken_) {
        return;
    }
    const auto fields
        = observe::Fields {{"duty", options_.duty_}, {"fencing_token", std::int64_t(token > 0 ? token : loggedToken_)}};
    environment_->log().info(token > 0 ? "this router holds a duty" : "this router no longer holds a duty", fields);
    holderGauge_.set(token > 0 ? 1 : 0);
    if (token > 0) {
        tokenGauge_.set(double(token));
    }
    loggedToken_ = token;
    ownKeySeen_ = false;
}

auto DutyLease::recordTokens() -> void
{
    const auto stored = keys_.find(tokenKey());
    const auto present = holder();
    highestToken_ = std::max(
        {highestToken_, stored ? parseToken(stored->value_) : 0, present ? present->leader_.fencingToken_ : 0});
}

auto DutyLease::hasLostKey() const -> bool
{
    const auto held = permit();
    return held && ownKeySeen_ && !ownRevision(*held);
}

auto DutyLease::isDue(TimePoint now) const -> bool
{
    if (now >= nextAt()) {
        return true;
    }
    if (const auto *watch = std::get_if<election::WatchKey>(&*action_)) {
        return keys_.revisionOf(holderKey()) != platform::Revision(watch->revision_);
    }
    // Another router was faster.
    return std::holds_alternative<election::GrantLease>(*action_)
        && std::holds_alternative<election::KeyExists>(keyState());
}

auto DutyLease::advance() -> void
{
    recordTokens();
    logChange();
    const auto isRefused = [this] {
        const auto lock = std::scoped_lock(mutex_);
        return std::exchange(refusalPending_, false);
    }();
    if (isRefused) {
        step(election::Superseded {});
    } else if (hasLostKey()) {
        step(election::LeaseExpired {});
    }
    if (const auto held = permit()) {
        ownKeySeen_ = ownKeySeen_ || ownRevision(*held).has_value();
    }
    while (isDue(store_.now_())) {
        const auto outcome = std::visit(
            [this](const auto &action) {
                return perform(action);
            },
            *action_);
        if (!outcome) {
            const auto lock = std::scoped_lock(mutex_);
            dueAt_ = store_.now_() + feedWait;
            return;
        }
        step(*outcome);
    }
}

auto DutyLease::resign(bool revoke) -> void
{
    step(election::Resign {});
    if (revoke && std::holds_alternative<election::RevokeLease>(*action_)) {
        static_cast<void>(perform(std::get<election::RevokeLease>(*action_)));
    }
}

auto DutyLease::keyState() const -> election::Event
{
    const auto key = keys_.find(holderKey());
    const auto record = key ? parseHolder(key->value_) : std::nullopt;
    const auto era = keys_.era();
    // The lease of a record from an older era has ended with it.
    const auto isOutdated = record && era && record->era_ < era->era_;
    if (key && !isOutdated) {
        return election::KeyExists {.record_ = record ? record->leader_ : election::LeaderRecord {},
            .createRevision_ = std::uint64_t(key->revision_),
            .modRevision_ = std::uint64_t(key->revision_)};
    }
    return election::KeyAbsent {.candidacyDelay_ = candidacyDelay()};
}

auto DutyLease::quietTime() const -> Milliseconds
{
    const auto era = keys_.era();
    const auto until = era ? era->learnedAt_ + options_.leaseTime_ : store_.now_();
    return std::chrono::ceil<Milliseconds>(std::max(until - store_.now_(), Clock::duration::zero()));
}

auto DutyLease::candidacyDelay() const -> Milliseconds
{
    return quietTime() + duties::candidacyDelay(options_.duty_, routers_(), environment_->identity().node_.name_);
}

auto DutyLease::perform(const election::GrantLease &action) -> std::optional<election::Event>
{
    const auto state = keyState();
    if (std::holds_alternative<election::KeyExists>(state)) {
        return state;
    }
    // A new era may have begun during the delay of the action.
    if (quietTime().count() > 0) {
        return std::nullopt;
    }
    const auto sentAt = store_.now_();
    const auto lease = store_.grantLease_(std::chrono::ceil<std::chrono::seconds>(action.timeToLive_));
    if (!lease) {
        return election::StoreFailed {lease.failure()};
    }
    lease_.emplace(*lease);
    return election::LeaseGranted {.leaseId_ = lease->id_, .sentAt_ = sentAt};
}

auto DutyLease::perform(const election::CreateKey &action) -> std::optional<election::Event>
{
    const auto era = keys_.era();
    // The lease may be the first that this router heard of a new era.
    if (!era || era->era_ != lease_->era_ || quietTime().count() > 0) {
        return election::StoreFailed {
            {.step_ = "hold a duty", .reason_ = "the store came back from an older copy during the election"}};
    }
    recordTokens();
    const auto refused = [this] {
        const auto lock = std::scoped_lock(mutex_);
        return refusedToken_;
    }();
    const auto token = election::nextFencingToken(
        {.highestSeen_ = highestToken_, .highestRefused_ = refused, .wallClock_ = wallClock_()},
        action.record_.router_.name_);
    const auto record = HolderRecord {
        .leader_ = {.router_ = action.record_.router_, .leaseId_ = action.record_.leaseId_, .fencingToken_ = token},
        .era_ = lease_->era_};
    const auto written
        = store_.writeAll_({.conditions_ = {{.key_ = holderKey(), .revision_ = keys_.revisionOf(holderKey())},
                                {.key_ = tokenKey(), .revision_ = keys_.revisionOf(tokenKey())}},
            .puts_ = {{.key_ = tokenKey(), .value_ = std::to_string(token)},
                {.key_ = holderKey(), .value_ = formatHolder(record), .lease_ = action.record_.leaseId_}}});
    if (!written) {
        return election::StoreFailed {written.failure()};
    }
    if (written->written_) {
        return election::KeyCreated {.fencingToken_ = token};
    }
    if (const auto failure = readKeys()) {
        return election::StoreFailed {*failure};
    }
    const auto state = keyState();
    return std::holds_alternative<election::KeyExists>(state)
        ? state
        : election::StoreFailed {{.step_ = "hold a duty", .reason_ = "another router wrote the keys of the duty"}};
}

auto DutyLease::perform(const election::ReadKey &action) -> std::optional<election::Event>
{
    if (action.isOwnClaim_) {
        if (const auto failure = readKeys()) {
            return election::StoreFailed {*failure};
        }
    }
    return keys_.era() ? std::optional(keyState()) : std::nullopt;
}

auto DutyLease::perform(const election::KeepAlive & /*action*/) -> std::optional<election::Event>
{
    const auto sentAt = store_.now_();
    const auto remaining = store_.keepAlive_(*lease_);
    if (!remaining) {
        return election::StoreFailed {remaining.failure()};
    }
    return remaining->count() > 0
        ? election::Event(election::LeaseRenewed {.timeToLive_ = *remaining, .sentAt_ = sentAt})
        : election::Event(election::LeaseExpired {});
}

auto DutyLease::perform(const election::WatchKey & /*action*/) -> std::optional<election::Event>
{
    return election::WatchEnded {};
}

auto DutyLease::perform(const election::RevokeLease & /*action*/) -> std::optional<election::Event>
{
    if (const auto failure = store_.revokeLease_(*lease_)) {
        environment_->log().debug("the lease of a duty could not be revoked", observe::fieldsOf(*failure));
    }
    return election::LeaseExpired {};
}

auto DutyLease::perform(const election::Stopped & /*action*/) -> std::optional<election::Event>
{
    return std::nullopt;
}

} // namespace jasminewood::forward
