#include "usage_model.h"

#include <algorithm>

#include <fmt/format.h>

namespace jasminewood::forward
{

namespace
{

using namespace std::chrono_literals;

constexpr auto stepTime = Milliseconds(50);
constexpr auto leaseTime = Milliseconds(3'000);
constexpr auto windowLength = Milliseconds(2'000);
constexpr auto startOfDay = Milliseconds(1'767'225'600'000);
constexpr std::size_t routerCount = 4;
// The wrong times of day of the routers: these differ by less than the time after which a window may be fixed.
constexpr Milliseconds clockErrors[] = {0ms, 150ms, -200ms, 400ms};
const auto simulationStart = TimePoint() + 1h;

auto lostResponse() -> Failure
{
    return {.step_ = "kv", .reason_ = "timeout", .runState_ = RunState::MayHaveRun};
}

} // namespace

UsageModel::UsageModel(std::uint64_t seed, const UsageFaults &faults)
    : random_(seed)
    , faults_(faults)
    , now_(simulationStart)
{
    for (auto index = std::size_t(0); index < routerCount; ++index) {
        routers_.push_back(std::make_unique<Router>());
        routers_.back()->name_ = fmt::format("front-{}", index);
        routers_.back()->clockError_ = clockErrors[index];
        start(*routers_.back());
    }
}

UsageModel::~UsageModel() = default;

auto UsageModel::chance(int percent) -> bool
{
    return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

auto UsageModel::randomTime(Milliseconds maximum) -> Milliseconds
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, maximum.count())(random_));
}

auto UsageModel::timeAt(const Router &router) const -> Milliseconds
{
    return startOfDay + std::chrono::floor<Milliseconds>(now_ - simulationStart) + router.clockError_;
}

auto UsageModel::start(Router &router) -> void
{
    const auto environment = std::make_shared<node::Environment>(
        node::ProcessIdentity {.node_ = {.name_ = router.name_, .incarnation_ = ++router.incarnation_}},
        observe::Level::Error);
    router.startsAt_.reset();
    router.refusedToken_.reset();
    router.advanceAt_ = now_;
    router.holder_ = std::make_unique<UsageHolder>(storeOf(router), environment,
        UsageHolderOptions {.schedule_ = {.windowLength_ = windowLength}, .leaseTime_ = leaseTime, .seed_ = random_()},
        viewOf(router));
}

auto UsageModel::storeCall(Router &router, const std::function<auto()->void> &perform) -> bool
{
    const auto mayFail = withFaults_ && faults_.storeFails_;
    if (now_ < router.cutOffUntil_ || (mayFail && chance(4))) {
        return false;
    }
    if (mayFail && chance(4)) {
        const auto era = era_;
        lateActions_.push_back({.at_ = now_ + randomTime(6s), .perform_ = [this, era, perform] {
                                    if (era == era_) {
                                        perform();
                                    }
                                }});
        return false;
    }
    perform();
    return !(mayFail && chance(4));
}

auto UsageModel::storeOf(Router &router) -> DutyStore
{
    return {.grantLease_ = [this, &router](std::chrono::seconds timeToLive) -> Result<platform::Lease> {
                const auto lease = platform::Lease {.id_ = ++lastLease_, .era_ = era_};
                const auto arrives = storeCall(router, [this, lease, timeToLive] {
                    data_.leases_[lease.id_] = {.timeToLive_ = timeToLive, .endsAt_ = now_ + timeToLive};
                });
                return arrives ? lease : Result<platform::Lease>(lostResponse());
            },
        .keepAlive_ = [this, &router](const platform::Lease &lease) -> Result<std::chrono::seconds> {
            if (lease.era_ != era_) {
                return std::chrono::seconds(0);
            }
            auto remaining = std::chrono::seconds(0);
            const auto arrives = storeCall(router, [this, lease, &remaining, sentAt = now_] {
                const auto found = data_.leases_.find(lease.id_);
                if (found == data_.leases_.end()) {
                    return;
                }
                found->second.endsAt_ = now_ + found->second.timeToLive_;
                if (now_ == sentAt) {
                    remaining = std::chrono::floor<std::chrono::seconds>(found->second.timeToLive_);
                }
            });
            return arrives ? remaining : Result<std::chrono::seconds>(lostResponse());
        },
        .revokeLease_ = [this, &router](const platform::Lease &lease) -> Status {
            const auto arrives = storeCall(router, [this, lease] {
                if (const auto found = data_.leases_.find(lease.id_); found != data_.leases_.end()) {
                    found->second.endsAt_ = now_;
                    expireLeases();
                }
            });
            return arrives ? std::nullopt : Status(lostResponse());
        },
        .writeAll_ = [this, &router](const platform::ConditionalWrites &writes) -> Result<platform::WriteOutcome> {
            const auto outcome = std::make_shared<std::optional<platform::WriteOutcome>>();
            const auto arrives = storeCall(router, [this, writes, outcome] {
                outcome->emplace(writeAll(writes));
            });
            return arrives ? **outcome : Result<platform::WriteOutcome>(lostResponse());
        },
        .getPrefix_ = [this, &router](const std::string & /*prefix*/) -> Result<platform::Snapshot> {
            const auto arrives = storeCall(router, [] {});
            return arrives ? snapshot() : Result<platform::Snapshot>(lostResponse());
        },
        .now_ =
            [this] {
                return now_;
            }};
}

auto UsageModel::viewOf(Router &router) -> UsageView
{
    return {.routers_ =
                [this] {
                    auto names = std::set<std::string>();
                    for (const auto &known : routers_) {
                        names.insert(known->name_);
                    }
                    return names;
                },
        .time_ =
            [this, &router] {
                return timeAt(router);
            },
        // Each summary differs from all others, so that a window which is fixed twice is noticed.
        .summary_ = [this](duties::WindowNumber /*number*/) -> duties::WindowSummary {
            auto sources = std::vector<duties::SourceState>();
            for (const auto &known : routers_) {
                sources.push_back({.router_ = {.name_ = known->name_}, .complete_ = chance(80)});
            }
            return {.counts_ = {{"huka", ++lastCount_}}, .sources_ = sources};
        }};
}

auto UsageModel::writeAll(const platform::ConditionalWrites &writes) -> platform::WriteOutcome
{
    for (const auto &condition : writes.conditions_) {
        const auto found = data_.entries_.find(condition.key_);
        const auto revision = found == data_.entries_.end() ? 0 : found->second.revision_;
        if (revision != condition.revision_) {
            return {};
        }
    }
    for (const auto &put : writes.puts_) {
        if (put.lease_ != platform::noLease && !data_.leases_.contains(put.lease_)) {
            return {};
        }
    }
    const auto revision = ++data_.revision_;
    for (const auto &put : writes.puts_) {
        data_.entries_[put.key_] = {.value_ = put.value_, .revision_ = revision, .lease_ = put.lease_};
    }
    return {.written_ = true, .revision_ = revision};
}

auto UsageModel::snapshot() const -> platform::Snapshot
{
    auto entries = std::vector<platform::KeyValue>();
    for (const auto &[key, entry] : data_.entries_) {
        entries.push_back({.key_ = key, .value_ = entry.value_, .modRevision_ = entry.revision_});
    }
    return {.position_ = {.era_ = era_, .revision_ = data_.revision_}, .entries_ = entries};
}

auto UsageModel::expireLeases() -> void
{
    std::erase_if(data_.leases_, [this](const auto &lease) {
        return now_ >= lease.second.endsAt_;
    });
    const auto removed = std::erase_if(data_.entries_, [this](const auto &entry) {
        return entry.second.lease_ != platform::noLease && !data_.leases_.contains(entry.second.lease_);
    });
    data_.revision_ += platform::Revision(removed);
}

auto UsageModel::run(Milliseconds time, bool withFaults) -> void
{
    withFaults_ = withFaults;
    for (const auto end = now_ + time; now_ < end && violation_.empty();) {
        step();
    }
}

auto UsageModel::step() -> void
{
    now_ += stepTime;
    expireLeases();
    for (auto action = lateActions_.begin(); action != lateActions_.end();) {
        if (now_ < action->at_) {
            ++action;
            continue;
        }
        action->perform_();
        action = lateActions_.erase(action);
    }
    if (withFaults_) {
        causeFaults();
    }
    for (const auto &router : routers_) {
        stepRouter(*router);
    }
}

auto UsageModel::causeFaults() -> void
{
    constexpr auto stepsBetweenFaults = 60;
    if (std::uniform_int_distribution<int>(0, stepsBetweenFaults)(random_) > 0) {
        return;
    }
    if (chance(25)) {
        copy_ = data_;
    } else if (faults_.storeIsRestored_ && chance(20)) {
        data_ = copy_;
        ++era_;
    } else if (faults_.platformFails_ && faults_.platformFences_ && chance(20)) {
        // The platform has seen a token that no router knows of.
        constexpr auto tokensAhead = std::uint64_t(5'000'000);
        highestExecuted_ = std::max(highestExecuted_, highestSent_) + tokensAhead;
    } else if (faults_.routersFail_) {
        failRouter(*routers_[std::uniform_int_distribution<std::size_t>(0, routerCount - 1)(random_)]);
    }
}

auto UsageModel::failRouter(Router &router) -> void
{
    if (chance(40)) {
        router.suspendedUntil_ = now_ + randomTime(8s);
    } else if (chance(50)) {
        router.cutOffUntil_ = now_ + randomTime(8s);
    } else if (!router.startsAt_) {
        // A planned stop, or a crash.
        if (chance(50)) {
            router.holder_->resign();
        }
        router.startsAt_ = now_ + randomTime(4s);
    }
}

auto UsageModel::stepRouter(Router &router) -> void
{
    if (now_ < router.suspendedUntil_) {
        return;
    }
    if (router.startsAt_) {
        if (now_ >= *router.startsAt_) {
            start(router);
        }
        return;
    }
    if (chance(15) && now_ >= router.cutOffUntil_) {
        updateKeys(router);
    }
    if (now_ >= router.advanceAt_ || chance(20)) {
        router.advanceAt_ = now_ + router.holder_->advance();
    }
    if (const auto call = chance(30) ? router.holder_->nextCall() : std::nullopt) {
        send(router, *call);
    }
}

auto UsageModel::updateKeys(Router &router) -> void
{
    // A copy that lags behind arrives later, unless the store has come back since.
    if (withFaults_ && chance(30)) {
        lateActions_.push_back({.at_ = now_ + randomTime(1s),
            .perform_ = [this, &router, late = snapshot(), number = router.incarnation_] {
                if (late.position_.era_ == era_ && router.incarnation_ == number) {
                    router.holder_->keys().applySnapshot(late, now_);
                }
            }});
        return;
    }
    router.holder_->keys().applySnapshot(snapshot(), now_);
}

auto UsageModel::send(Router &router, const duties::UsageCall &call) -> void
{
    checkSent(router, call);
    const auto mayFail = withFaults_ && faults_.platformFails_;
    if (mayFail && chance(10)) {
        lateActions_.push_back({.at_ = now_ + randomTime(5s), .perform_ = [this, call] {
                                    static_cast<void>(execute(call));
                                }});
        router.holder_->recordReply(call, lostResponse());
        return;
    }
    if (mayFail && chance(5)) {
        router.holder_->recordReply(call, duties::UsageReply(duties::TooManyCalls {}));
        return;
    }
    if (mayFail && chance(5)) {
        // The network repeats the call.
        lateActions_.push_back({.at_ = now_ + randomTime(5s), .perform_ = [this, call] {
                                    static_cast<void>(execute(call));
                                }});
    }
    const auto reply = execute(call);
    if (mayFail && chance(10)) {
        router.holder_->recordReply(call, lostResponse());
        return;
    }
    if (std::holds_alternative<duties::TokenRefused>(reply)) {
        router.refusedToken_ = call.fencingToken_;
    }
    router.holder_->recordReply(call, reply);
}

auto UsageModel::execute(const duties::UsageCall &call) -> duties::UsageReply
{
    if (faults_.platformFences_ && call.fencingToken_ < highestExecuted_) {
        return duties::TokenRefused {};
    }
    highestExecuted_ = std::max(highestExecuted_, call.fencingToken_);
    accepted_.emplace(call.number_, now_);
    return duties::UsageAccepted {};
}

auto UsageModel::checkSent(const Router &router, const duties::UsageCall &call) -> void
{
    const auto owner = fmt::format("{}@{}", router.name_, router.incarnation_);
    if (tokenOwners_.emplace(call.fencingToken_, owner).first->second != owner) {
        violate(fmt::format("two routers have token {}", call.fencingToken_));
    }
    if (call.fencingToken_ < highestSent_) {
        violate(fmt::format("{} sent token {} after {}", router.name_, call.fencingToken_, highestSent_));
    }
    highestSent_ = std::max(highestSent_, call.fencingToken_);
    if (contents_.emplace(call.number_, call.counts_).first->second != call.counts_) {
        violate(fmt::format("window {} was reported with different counts", call.number_));
    }
    if (router.refusedToken_ == call.fencingToken_) {
        violate(fmt::format("{} called again with the refused token {}", router.name_, call.fencingToken_));
    }
    auto sawOther = false;
    for (auto earlier = sent_.rbegin(); earlier != sent_.rend() && now_ - earlier->at_ <= leaseTime; ++earlier) {
        sawOther = sawOther || earlier->router_ != router.name_;
        if (sawOther && earlier->router_ == router.name_) {
            violate(fmt::format("{} acted before and after another holder within the lease time", router.name_));
        }
    }
    sent_.push_back({.at_ = now_, .router_ = router.name_, .token_ = call.fencingToken_});
}

auto UsageModel::violate(const std::string &reason) -> void
{
    if (violation_.empty()) {
        violation_
            = fmt::format("after {} ms: {}", std::chrono::floor<Milliseconds>(now_ - simulationStart).count(), reason);
    }
}

auto UsageModel::violation() const -> std::string
{
    return violation_;
}

auto UsageModel::acceptedWithin(Milliseconds time) const -> std::size_t
{
    const auto present = startOfDay + std::chrono::floor<Milliseconds>(now_ - simulationStart);
    return std::size_t(std::count_if(accepted_.begin(), accepted_.end(), [time, present](const auto &entry) {
        return duties::windowEnd(entry.first, windowLength) >= present - time;
    }));
}

auto UsageModel::callCount() const -> std::size_t
{
    return sent_.size();
}

auto UsageModel::tokenCount() const -> std::size_t
{
    return tokenOwners_.size();
}

} // namespace jasminewood::forward
