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
constexpr auto loadDuration = 20s;
// Longest delay after which a command without a response may still start.
constexpr auto maximumStartDelay = 60s;
const auto oldVersion = ModelVersion {.model_ = "film", .version_ = "1"};
const auto newVersion = ModelVersion {.model_ = "film", .version_ = "2"};
const auto limits = LoadLimits {.upstreamBytesPerSecond_ = 100, .minimumInServicePercent_ = 50};
const auto failure = Failure {.step_ = "kv", .reason_ = "timeout", .runState_ = RunState::MayHaveRun};

// Class "quote" needs film:2 and class "chat" needs film:1; two upstreams may load at a time.
auto testManifest() -> manifest::Manifest
{
    return manifest::Manifest {
        .classes_ = {{"chat", {.name_ = "chat", .models_ = {{"film", "1"}}, .pool_ = "gpu"}},
            {"quote", {.name_ = "quote", .tier_ = 0, .models_ = {{"film", "2"}}, .pool_ = "gpu"}}},
        .models_ = {{"film", {.name_ = "film", .versions_ = {"1", "2"}, .pool_ = "gpu"}}},
        .pools_ = {{"gpu", {.name_ = "gpu", .concurrency_ = 4, .weightStoreBytesPerSecond_ = 200}}}};
}

} // namespace

PlacementModel::PlacementModel(const SafetyMechanisms &mechanisms, manifest::Fencing fencing)
    : mechanisms_(mechanisms)
    , fencing_(fencing)
    , manifest_(testManifest())
    , now_(TimePoint() + 24h)
{
    for (std::size_t index = 0; index < routerCount; ++index) {
        const auto name = std::to_string(index);
        routers_.push_back(Router {.election_ = LeaderElection({.key_ = "leader", .router_ = {.name_ = name}}, index)});
    }
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        upstreams_.push_back(Upstream());
        upstreams_.back().fence_.emplace(1, fencing_, now_ - commandSettleTime);
        upstreams_.back().loaded_.emplace(oldVersion);
    }
}

auto PlacementModel::run(const std::vector<RandomStep> &steps) -> void
{
    for (const auto &[event, target, detail] : steps) {
        const auto router = target % routerCount;
        const auto kind = event % 32;
        if (kind < 8) {
            stepRouter(routers_[router], detail);
        } else if (kind < 12) {
            issueCommands(router, detail % 2 == 0);
        } else if (kind < 28 && !messages_.empty()) {
            // Mostly delivers the newest message, so that the others are delayed for a long time.
            deliverMessage(detail % 8 == 1 ? target % messages_.size() : messages_.size() - 1, detail);
        } else if (kind == 28 && detail % 16 == 0) {
            restartAgent(upstreams_[target % upstreamCount]);
        } else if (kind == 28 && detail % 16 == 1) {
            demand_.swap(otherDemand_);
        } else if (kind == 28 && detail % 16 < 6) {
            routers_[router].suspended_ = !routers_[router].suspended_;
        } else if (kind == 29 && !lateWrites_.empty()) {
            createKey(lateWrites_.back());
            lateWrites_.pop_back();
        } else if (kind >= 30) {
            advance(detail % 8 == 0 ? Milliseconds(detail * 100) : Milliseconds(detail * 5));
        }
    }
}

auto PlacementModel::satisfiesDemandAfterRecovery() -> bool
{
    constexpr auto rounds = 1'200;
    for (auto &router : routers_) {
        router.suspended_ = false;
    }
    for (auto round = 0; round < rounds && !demandSatisfied(); ++round) {
        for (std::size_t index = 0; index < routerCount; ++index) {
            stepRouter(routers_[index], 255);
            issueCommands(index, round % 2 == 0);
        }
        while (!messages_.empty()) {
            deliverMessage(0, 255);
        }
        advance(500ms);
    }
    return demandSatisfied();
}

auto PlacementModel::violation() const -> std::string
{
    return violation_;
}

auto PlacementModel::loadCount() const -> std::size_t
{
    return loadCount_;
}

auto PlacementModel::advance(Milliseconds duration) -> void
{
    now_ += duration;
    for (auto &router : routers_) {
        // The monotonic clock of a suspended VM does not advance.
        router.clockLag_ += router.suspended_ ? duration : Milliseconds(0);
    }
    if (key_ && leases_.at(key_->record_.lease_) <= now_) {
        key_.reset();
        ++revision_;
    }
    for (auto &upstream : upstreams_) {
        if (upstream.callEndsAt_ && *upstream.callEndsAt_ <= now_) {
            upstream.callEndsAt_.reset();
            upstream.fence_->onCommandEnded(CommandOutcome::Known, now_);
        }
    }
    checkServiceLimits();
}

// Performs the router's action or, possibly much later, passes its outcome to the election.
auto PlacementModel::stepRouter(Router &router, std::uint8_t fault) -> void
{
    if (router.suspended_) {
        return;
    }
    const auto localNow = now_ - router.clockLag_;
    if (!router.action_) {
        router.action_.emplace(router.election_.step(Start {}, localNow));
    } else if (!router.outcome_) {
        router.outcome_.emplace(callStore(*router.action_, localNow, fault));
    } else {
        router.action_.emplace(router.election_.step(*router.outcome_, localNow));
        router.outcome_.reset();
    }
}

auto PlacementModel::callStore(const Action &action, TimePoint sentAt, std::uint8_t fault) -> Event
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
                                            return createKey(call);
                                        },
                                        [this](const ReadKey & /*read*/) -> Event {
                                            return readKey();
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

auto PlacementModel::createKey(const CreateKey &create) -> Event
{
    if (key_) {
        return readKey();
    }
    if (leases_.at(create.record_.lease_) <= now_) {
        return StoreFailed {failure};
    }
    key_.emplace(LeaderKey {.record_ = create.record_, .revision_ = ++revision_});
    return KeyCreated {revision_};
}

auto PlacementModel::readKey() const -> Event
{
    if (!key_) {
        return KeyAbsent {};
    }
    return KeyExists {.record_ = key_->record_, .createRevision_ = key_->revision_, .modRevision_ = key_->revision_};
}

auto PlacementModel::issueCommands(std::size_t index, bool queryStates) -> void
{
    auto &router = routers_[index];
    const auto fencingToken = router.election_.currentFencingToken(now_ - router.clockLag_);
    if (!fencingToken || router.suspended_) {
        return;
    }
    if (router.fencingToken_ != *fencingToken) {
        router.fencingToken_ = *fencingToken;
        router.sequence_ = 0;
        router.views_ = std::vector<UpstreamView>(upstreamCount);
    }
    if (queryStates) {
        queryAllUpstreams(index);
    } else {
        commandPlannedLoads(index);
    }
}

auto PlacementModel::queryAllUpstreams(std::size_t index) -> void
{
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        auto &view = routers_[index].views_[upstream];
        if (view.incarnation_ != upstreams_[upstream].incarnation_) {
            view.incarnation_ = upstreams_[upstream].incarnation_;
            view.confirmed_ = false;
        }
        sendCommand(index, upstream, QueryState {});
    }
}

auto PlacementModel::sendCommand(std::size_t router, std::size_t upstream, const Command &command) -> void
{
    auto &sender = routers_[router];
    const auto number = CommandNumber {.fencingToken_ = sender.fencingToken_, .sequence_ = ++sender.sequence_};
    messages_.emplace_back(CommandMessage {.router_ = router,
        .upstream_ = upstream,
        .command_
        = {.number_ = number, .agentIncarnation_ = sender.views_[upstream].incarnation_, .command_ = command}});
}

auto PlacementModel::commandPlannedLoads(std::size_t index) -> void
{
    auto &router = routers_[index];
    auto states = std::vector<UpstreamState>();
    for (std::size_t upstream = 0; upstream < upstreamCount; ++upstream) {
        const auto &view = router.views_[upstream];
        states.push_back(UpstreamState {.name_ = std::to_string(upstream),
            .pool_ = "gpu",
            .confirmed_ = view.confirmed_,
            .inService_ = view.confirmed_ && !view.loading_,
            .loading_ = view.loading_,
            .target_ = view.target_,
            .loaded_ = view.loaded_ ? std::vector {*view.loaded_} : std::vector<ModelVersion>()});
    }
    for (const auto &step : planLoads(manifest_, states, demand_, limits)) {
        const auto upstream = std::stoul(step.upstream_);
        sendCommand(index, upstream, LoadVersion {.model_ = step.target_.model_, .version_ = step.target_.version_});
        auto &view = router.views_[upstream];
        view.lastCommandSequence_ = router.sequence_;
        view.loading_ = true;
        view.target_.emplace(step.target_);
    }
}

auto PlacementModel::deliverMessage(std::size_t index, std::uint8_t detail) -> void
{
    const auto position = std::next(messages_.begin(), static_cast<std::ptrdiff_t>(index));
    const auto message = *position;
    messages_.erase(position);
    std::visit(Overloaded {[this, detail](const CommandMessage &command) {
                               onMessage(command, detail);
                           },
                   [this](const QueryStateReply &reply) {
                       onMessage(reply);
                   },
                   [this](const LeaderQuery &query) {
                       const auto leader = key_ ? std::optional(key_->revision_) : std::nullopt;
                       messages_.emplace_back(LeaderQueryReply {.upstream_ = query.upstream_,
                           .result_ = {.agentIncarnation_ = query.query_.agentIncarnation_,
                               .queryId_ = query.query_.queryId_,
                               .fencingToken_ = leader,
                               .storeRevision_ = revision_}});
                   },
                   [this](const LeaderQueryReply &reply) {
                       upstreams_[reply.upstream_].fence_->onLeaderRead(reply.result_);
                   }},
        message);
}

auto PlacementModel::onMessage(const CommandMessage &message, std::uint8_t detail) -> void
{
    auto &upstream = upstreams_[message.upstream_];
    const auto &command = message.command_;
    auto decision = mechanisms_.fencingEnabled_ ? upstream.fence_->check(command, now_) : FenceDecision(Execute {});
    if (const auto *query = std::get_if<ReadLeader>(&decision)) {
        if (mechanisms_.confirmsLeaderAfterRestart_) {
            messages_.emplace_back(LeaderQuery {.upstream_ = message.upstream_, .query_ = *query});
            return;
        }
        upstream.fence_->onLeaderRead(
            {.agentIncarnation_ = upstream.incarnation_, .queryId_ = query->queryId_, .fencingToken_ = 0});
        decision.emplace<Execute>();
    }
    if (!std::holds_alternative<Execute>(decision)) {
        return;
    }
    checkCommandOrder(upstream, command);
    if (!std::holds_alternative<QueryState>(command.command_)) {
        executeLoad(upstream, command, detail);
        return;
    }
    messages_.emplace_back(QueryStateReply {.router_ = message.router_,
        .upstream_ = message.upstream_,
        .command_ = command,
        .busy_ = upstream.fence_->engineMayBeBusy(now_),
        .loaded_ = upstream.loaded_});
}

auto PlacementModel::onMessage(const QueryStateReply &message) -> void
{
    auto &router = routers_[message.router_];
    const auto &number = message.command_.number_;
    if (number.fencingToken_ != router.fencingToken_) {
        return;
    }
    auto &view = router.views_[message.upstream_];
    if (view.incarnation_ != message.command_.agentIncarnation_ || number.sequence_ < view.lastCommandSequence_) {
        return;
    }
    view.confirmed_ = true;
    view.loading_ = message.busy_;
    view.loaded_.reset();
    if (message.loaded_) {
        view.loaded_.emplace(*message.loaded_);
    }
}

auto PlacementModel::executeLoad(Upstream &upstream, const NumberedCommand &command, std::uint8_t detail) -> void
{
    ++loadCount_;
    const auto responseLost = detail % 8 == 0;
    upstream.loadStartsAt_ = now_ + (responseLost ? Milliseconds(maximumStartDelay) * detail / 255 : Milliseconds(0));
    upstream.loadEndsAt_ = upstream.loadStartsAt_ + loadDuration;
    const auto &load = std::get<LoadVersion>(command.command_);
    upstream.loaded_.emplace(ModelVersion {.model_ = load.model_, .version_ = load.version_});
    if (responseLost) {
        upstream.fence_->onCommandEnded(CommandOutcome::Unknown, now_);
    } else {
        upstream.callEndsAt_ = upstream.loadEndsAt_;
    }
    checkServiceLimits();
}

auto PlacementModel::checkCommandOrder(Upstream &upstream, const NumberedCommand &command) -> void
{
    const auto fencingToken = command.number_.fencingToken_;
    if (fencingToken < upstream.highestExecutedToken_ && violation_.empty()) {
        const auto *commandName = std::holds_alternative<QueryState>(command.command_) ? "query" : "load";
        violation_ = std::string("an agent executed a command (") + commandName + ") of leader "
            + std::to_string(fencingToken) + " after one of leader " + std::to_string(upstream.highestExecutedToken_);
    }
    upstream.highestExecutedToken_ = std::max(upstream.highestExecutedToken_, fencingToken);
}

auto PlacementModel::restartAgent(Upstream &upstream) -> void
{
    ++upstream.incarnation_;
    upstream.fence_.emplace(upstream.incarnation_, fencing_, now_);
    upstream.callEndsAt_.reset();
}

auto PlacementModel::checkServiceLimits() -> void
{
    const auto loadingCount = std::count_if(upstreams_.begin(), upstreams_.end(), [this](const Upstream &each) -> bool {
        return each.loadStartsAt_ <= now_ && now_ < each.loadEndsAt_;
    });
    if (loadingCount > maximumConcurrentLoads(manifest_.pools_.at("gpu"), limits) && violation_.empty()) {
        violation_ = std::to_string(loadingCount) + " upstreams load at the same time";
    }
    const auto chatHolders = std::count_if(upstreams_.begin(), upstreams_.end(), [this](const Upstream &each) -> bool {
        return now_ >= each.loadEndsAt_ && each.loaded_ == oldVersion;
    });
    if (chatHolders < 1 && violation_.empty()) {
        violation_ = "no upstream in service holds the version that class chat needs";
    }
}

auto PlacementModel::demandSatisfied() const -> bool
{
    const auto holders = [this](const ModelVersion &version) -> std::size_t {
        return std::count_if(upstreams_.begin(), upstreams_.end(), [&](const Upstream &each) -> bool {
            return now_ >= each.loadEndsAt_ && each.loaded_ == version;
        });
    };
    return holders(newVersion) * 4 >= demand_.at("quote") && holders(oldVersion) * 4 >= demand_.at("chat");
}

} // namespace jasminewood::placement
