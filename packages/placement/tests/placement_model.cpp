#include "placement_model.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "jasminewood/core/overloaded.h"

namespace jasminewood::placement
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t routerCount = 3;
constexpr std::size_t upstreamCount = 6;
constexpr auto loadTime = 20s;
// A command without an answer starts this late at most.
constexpr auto latestStart = 60s;
const auto oldVersion = ModelVersion {.model_ = "film", .version_ = "1"};
const auto newVersion = ModelVersion {.model_ = "film", .version_ = "2"};
const auto limits = LoadLimits {.upstreamBytesPerSecond_ = 100, .minimumInServicePercent_ = 50};
const auto failure = Failure {.step_ = "kv", .reason_ = "timeout", .runState_ = RunState::MayHaveRun};

// Class "quote" needs film:2 and class "chat" film:1; two upstreams may load at a time.
auto sample() -> manifest::Manifest
{
    return manifest::Manifest {
        .classes_ = {{"chat", {.name_ = "chat", .models_ = {{"film", "1"}}, .pool_ = "gpu"}},
            {"quote", {.name_ = "quote", .tier_ = 0, .models_ = {{"film", "2"}}, .pool_ = "gpu"}}},
        .models_ = {{"film", {.name_ = "film", .versions_ = {"1", "2"}, .pool_ = "gpu"}}},
        .pools_ = {{"gpu", {.name_ = "gpu", .concurrency_ = 4, .weightStoreBytesPerSecond_ = 200}}}};
}

} // namespace

PlacementModel::PlacementModel(const Mechanisms &mechanisms, manifest::Fencing fencing)
    : mechanisms_(mechanisms)
    , fencing_(fencing)
    , manifest_(sample())
    , now_(TimePoint() + 24h)
{
    for (std::size_t index = 0; index < routerCount; ++index) {
        const auto name = std::to_string(index);
        routers_.push_back(
            Router {.leadership_ = LeaderElection({.key_ = "leader", .router_ = {.name_ = name}}, index)});
    }
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        upstreams_.push_back(Upstream());
        upstreams_.back().fence_.emplace(1, fencing_, now_ - commandSettleTime);
        upstreams_.back().loaded_.emplace(oldVersion);
    }
}

auto PlacementModel::run(const std::vector<Choice> &choices) -> void
{
    for (const auto &[what, who, how] : choices) {
        const auto router = who % routerCount;
        const auto kind = what % 32;
        if (kind < 8) {
            stepRouter(routers_[router], how);
        } else if (kind < 12) {
            act(router, how % 2 == 0);
        } else if (kind < 28 && !messages_.empty()) {
            // Mostly the newest, so that the others become very late.
            deliver(how % 8 == 1 ? who % messages_.size() : messages_.size() - 1, how);
        } else if (kind == 28 && how % 16 == 0) {
            restart(upstreams_[who % upstreamCount]);
        } else if (kind == 28 && how % 16 == 1) {
            demand_.swap(otherDemand_);
        } else if (kind == 28 && how % 16 < 6) {
            routers_[router].suspended_ = !routers_[router].suspended_;
        } else if (kind == 29 && !lateWrites_.empty()) {
            write(lateWrites_.back());
            lateWrites_.pop_back();
        } else if (kind >= 30) {
            advance(how % 8 == 0 ? Milliseconds(how * 100) : Milliseconds(how * 5));
        }
    }
}

auto PlacementModel::satisfiesDemandAfterwards() -> bool
{
    constexpr auto rounds = 1'200;
    for (auto &router : routers_) {
        router.suspended_ = false;
    }
    for (auto round = 0; round < rounds && !satisfied(); ++round) {
        for (std::size_t index = 0; index < routerCount; ++index) {
            stepRouter(routers_[index], 255);
            act(index, round % 2 == 0);
        }
        while (!messages_.empty()) {
            deliver(0, 255);
        }
        advance(500ms);
    }
    return satisfied();
}

auto PlacementModel::violation() const -> std::string
{
    return violation_;
}

auto PlacementModel::loads() const -> std::size_t
{
    return loads_;
}

auto PlacementModel::advance(Milliseconds time) -> void
{
    now_ += time;
    for (auto &router : routers_) {
        // The monotonic clock of a suspended VM stands still.
        router.behind_ += router.suspended_ ? time : Milliseconds(0);
    }
    if (key_ && leases_.at(key_->record_.lease_) <= now_) {
        key_.reset();
        ++revision_;
    }
    for (auto &upstream : upstreams_) {
        if (upstream.callEnds_ && *upstream.callEnds_ <= now_) {
            upstream.callEnds_.reset();
            upstream.fence_->onCommandEnded(CommandOutcome::Known, now_);
        }
    }
    checkService();
}

// Performs the router's action, or feeds its outcome, which may be much later.
auto PlacementModel::stepRouter(Router &router, std::uint8_t fault) -> void
{
    if (router.suspended_) {
        return;
    }
    const auto ownNow = now_ - router.behind_;
    if (!router.action_) {
        router.action_.emplace(router.leadership_.step(Start {}, ownNow));
    } else if (!router.outcome_) {
        router.outcome_.emplace(store(*router.action_, ownNow, fault));
    } else {
        router.action_.emplace(router.leadership_.step(*router.outcome_, ownNow));
        router.outcome_.reset();
    }
}

auto PlacementModel::store(const Action &action, TimePoint sentAt, std::uint8_t fault) -> Event
{
    const auto *create = std::get_if<CreateKey>(&action);
    if (fault % 16 == 0) {
        if (create != nullptr) {
            lateWrites_.push_back(*create);
        }
        return StoreFailed {failure};
    }
    const auto outcome = std::visit(Overloaded {[this, sentAt](const GrantLease &grant) -> Event {
                                                    leases_[++leaseCount_] = now_ + grant.timeToLive_;
                                                    return LeaseGranted {.lease_ = leaseCount_, .sentAt_ = sentAt};
                                                },
                                        [this](const CreateKey &call) -> Event {
                                            return write(call);
                                        },
                                        [this](const ReadKey & /*read*/) -> Event {
                                            return held();
                                        },
                                        [this, sentAt](const KeepAlive &keep) -> Event {
                                            if (leases_.at(keep.lease_) <= now_) {
                                                return LeaseExpired {};
                                            }
                                            leases_.at(keep.lease_) = now_ + leaderLeaseTtl;
                                            return LeaseRenewed {.timeToLive_ = leaderLeaseTtl, .sentAt_ = sentAt};
                                        },
                                        [](const auto & /*other*/) -> Event {
                                            return WatchEnded {};
                                        }},
        action);
    return fault % 16 == 1 ? Event(StoreFailed {failure}) : outcome;
}

auto PlacementModel::write(const CreateKey &create) -> Event
{
    if (key_) {
        return held();
    }
    if (leases_.at(create.record_.lease_) <= now_) {
        return StoreFailed {failure};
    }
    key_.emplace(Key {.record_ = create.record_, .revision_ = ++revision_});
    return KeyCreated {revision_};
}

auto PlacementModel::held() const -> Event
{
    if (!key_) {
        return KeyAbsent {};
    }
    return KeyExists {.record_ = key_->record_, .createRevision_ = key_->revision_, .modRevision_ = key_->revision_};
}

auto PlacementModel::act(std::size_t index, bool observes) -> void
{
    auto &router = routers_[index];
    const auto fence = router.leadership_.currentFencingToken(now_ - router.behind_);
    if (!fence || router.suspended_) {
        return;
    }
    if (router.fence_ != *fence) {
        router.fence_ = *fence;
        router.sequence_ = 0;
        router.views_ = std::vector<View>(upstreamCount);
    }
    if (observes) {
        observeAll(index);
    } else {
        plan(index);
    }
}

auto PlacementModel::observeAll(std::size_t index) -> void
{
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        auto &view = routers_[index].views_[upstream];
        if (view.incarnation_ != upstreams_[upstream].incarnation_) {
            view.incarnation_ = upstreams_[upstream].incarnation_;
            view.confirmed_ = false;
        }
        send(index, upstream, QueryState {});
    }
}

auto PlacementModel::send(std::size_t router, std::size_t upstream, const Command &command) -> void
{
    auto &giver = routers_[router];
    const auto number = CommandNumber {.fencingToken_ = giver.fence_, .sequence_ = ++giver.sequence_};
    messages_.emplace_back(ToAgent {.router_ = router,
        .upstream_ = upstream,
        .command_
        = {.number_ = number, .agentIncarnation_ = giver.views_[upstream].incarnation_, .command_ = command}});
}

auto PlacementModel::plan(std::size_t index) -> void
{
    auto &router = routers_[index];
    auto known = std::vector<UpstreamState>();
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        const auto &view = router.views_[upstream];
        known.push_back(UpstreamState {.name_ = std::to_string(upstream),
            .pool_ = "gpu",
            .confirmed_ = view.confirmed_,
            .inService_ = view.confirmed_ && !view.loading_,
            .loading_ = view.loading_,
            .target_ = view.target_,
            .loaded_ = view.loaded_ ? std::vector {*view.loaded_} : std::vector<ModelVersion>()});
    }
    for (const auto &step : planLoads(manifest_, known, demand_, limits)) {
        const auto upstream = std::stoul(step.upstream_);
        send(index, upstream, LoadVersion {.model_ = step.target_.model_, .version_ = step.target_.version_});
        auto &view = router.views_[upstream];
        view.commanded_ = router.sequence_;
        view.loading_ = true;
        view.target_.emplace(step.target_);
    }
}

auto PlacementModel::deliver(std::size_t index, std::uint8_t choice) -> void
{
    const auto position = std::next(messages_.begin(), static_cast<std::ptrdiff_t>(index));
    const auto message = *position;
    messages_.erase(position);
    std::visit(Overloaded {[this, choice](const ToAgent &toAgent) {
                               arrive(toAgent, choice);
                           },
                   [this](const Observed &observed) {
                       arrive(observed);
                   },
                   [this](const Asked &asked) {
                       const auto leader = key_ ? std::optional(key_->revision_) : std::nullopt;
                       messages_.emplace_back(Answered {.upstream_ = asked.upstream_,
                           .reading_ = {.agentIncarnation_ = asked.query_.agentIncarnation_,
                               .queryId_ = asked.query_.queryId_,
                               .fencingToken_ = leader,
                               .storeRevision_ = revision_}});
                   },
                   [this](const Answered &answered) {
                       upstreams_[answered.upstream_].fence_->onLeaderRead(answered.reading_);
                   }},
        message);
}

auto PlacementModel::arrive(const ToAgent &message, std::uint8_t choice) -> void
{
    auto &upstream = upstreams_[message.upstream_];
    const auto &command = message.command_;
    auto verdict = mechanisms_.fenced_ ? upstream.fence_->check(command, now_) : FenceDecision(Execute {});
    if (const auto *query = std::get_if<ReadLeader>(&verdict)) {
        if (mechanisms_.confirmsAfterRestart_) {
            messages_.emplace_back(Asked {.upstream_ = message.upstream_, .query_ = *query});
            return;
        }
        upstream.fence_->onLeaderRead(
            {.agentIncarnation_ = upstream.incarnation_, .queryId_ = query->queryId_, .fencingToken_ = 0});
        verdict.emplace<Execute>();
    }
    if (!std::holds_alternative<Execute>(verdict)) {
        return;
    }
    checkOrder(upstream, command);
    if (!std::holds_alternative<QueryState>(command.command_)) {
        execute(upstream, command, choice);
        return;
    }
    messages_.emplace_back(Observed {.router_ = message.router_,
        .upstream_ = message.upstream_,
        .command_ = command,
        .busy_ = upstream.fence_->engineMayBeBusy(now_),
        .loaded_ = upstream.loaded_});
}

auto PlacementModel::arrive(const Observed &message) -> void
{
    auto &router = routers_[message.router_];
    const auto &number = message.command_.number_;
    if (number.fencingToken_ != router.fence_) {
        return;
    }
    auto &view = router.views_[message.upstream_];
    if (view.incarnation_ != message.command_.agentIncarnation_ || number.sequence_ < view.commanded_) {
        return;
    }
    view.confirmed_ = true;
    view.loading_ = message.busy_;
    view.loaded_.reset();
    if (message.loaded_) {
        view.loaded_.emplace(*message.loaded_);
    }
}

auto PlacementModel::execute(Upstream &upstream, const NumberedCommand &command, std::uint8_t choice) -> void
{
    ++loads_;
    const auto lost = choice % 8 == 0;
    upstream.loadStarts_ = now_ + (lost ? Milliseconds(latestStart) * choice / 255 : Milliseconds(0));
    upstream.loadEnds_ = upstream.loadStarts_ + loadTime;
    const auto &load = std::get<LoadVersion>(command.command_);
    upstream.loaded_.emplace(ModelVersion {.model_ = load.model_, .version_ = load.version_});
    if (lost) {
        upstream.fence_->onCommandEnded(CommandOutcome::Unknown, now_);
    } else {
        upstream.callEnds_ = upstream.loadEnds_;
    }
    checkService();
}

auto PlacementModel::checkOrder(Upstream &upstream, const NumberedCommand &command) -> void
{
    const auto fence = command.number_.fencingToken_;
    if (fence < upstream.ranFence_ && violation_.empty()) {
        const auto *what = std::holds_alternative<QueryState>(command.command_) ? "observe" : "load";
        violation_ = std::string("an agent ran a command (") + what + ") of leader " + std::to_string(fence)
            + " after one of leader " + std::to_string(upstream.ranFence_);
    }
    upstream.ranFence_ = std::max(upstream.ranFence_, fence);
}

auto PlacementModel::restart(Upstream &upstream) -> void
{
    ++upstream.incarnation_;
    upstream.fence_.emplace(upstream.incarnation_, fencing_, now_);
    upstream.callEnds_.reset();
}

auto PlacementModel::checkService() -> void
{
    const auto loading = std::count_if(upstreams_.begin(), upstreams_.end(), [this](const Upstream &each) -> bool {
        return each.loadStarts_ <= now_ && now_ < each.loadEnds_;
    });
    if (loading > maximumConcurrentLoads(manifest_.pools_.at("gpu"), limits) && violation_.empty()) {
        violation_ = std::to_string(loading) + " upstreams load at a time";
    }
    const auto chat = std::count_if(upstreams_.begin(), upstreams_.end(), [this](const Upstream &each) -> bool {
        return now_ >= each.loadEnds_ && each.loaded_ == oldVersion;
    });
    if (chat < 1 && violation_.empty()) {
        violation_ = "no upstream in service holds what a class needs";
    }
}

auto PlacementModel::satisfied() const -> bool
{
    const auto holders = [this](const ModelVersion &version) -> std::size_t {
        return std::count_if(upstreams_.begin(), upstreams_.end(), [&](const Upstream &each) -> bool {
            return now_ >= each.loadEnds_ && each.loaded_ == version;
        });
    };
    return holders(newVersion) * 4 >= demand_.at("quote") && holders(oldVersion) * 4 >= demand_.at("chat");
}

} // namespace jasminewood::placement
