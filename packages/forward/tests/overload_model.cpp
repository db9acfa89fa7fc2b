#include "overload_model.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds stepTime = Milliseconds(5);
constexpr double tokensPerMillisecond = 40;
constexpr std::uint32_t slots = 48;
// Each running request takes this part of an engine's time for its output tokens, up to half of it together.
constexpr double outputShare = 0.008;
constexpr double maximumOutputShare = 0.5;
constexpr double outputTokensPerMillisecond = 0.1;
// As in PeerLoadExchange.
constexpr Milliseconds minimumReportInterval = Milliseconds(40);
constexpr Milliseconds reportIntervalPerPeer = Milliseconds(5);
constexpr Milliseconds fullReportInterval = Milliseconds(1'000);
constexpr Milliseconds networkDelay = Milliseconds(5);
constexpr std::uint64_t cacheTokens = 200'000;
constexpr std::uint64_t hotSegment = 77;
// The part of a class that counts as its largest requests.
constexpr double largestShare = 0.1;
const auto startTime = TimePoint(std::chrono::hours(1));

struct ModelRequest
{
    std::uint64_t id_ = 0;
    const TrafficClass *class_ = nullptr;
    PromptInfo prompt_ = {};
    TimePoint arrivedAt_ = {};
    std::size_t router_ = 0;
    std::optional<WaitForRoom> wait_ = std::nullopt;
    TimePoint waitingSince_ = {};
    Clock::duration waited_ = Clock::duration::zero();
    std::optional<Assignment> assignment_ = std::nullopt;
    std::uint32_t urgency_ = 0;
    double prefillLeft_ = 0;
    double outputLeft_ = 0;
    std::optional<TimePoint> firstTokenAt_ = std::nullopt;

    auto sizeName() const -> std::string
    {
        const auto span = class_->maximumTokens_ - class_->minimumTokens_;
        const auto largestFrom = class_->maximumTokens_ - std::uint32_t(span * largestShare);
        return prompt_.promptTokens_ >= largestFrom ? class_->name_ + "/largest" : class_->name_;
    }
};

using RequestPointer = std::shared_ptr<ModelRequest>;

struct ModelEngine
{
    std::string id_;
    double speed_ = 1;
    bool running_ = true;
    std::vector<RequestPointer> waiting_ = {};
    std::deque<RequestPointer> prefilling_ = {};
    std::vector<RequestPointer> generating_ = {};
    // What is really in its prefix cache.
    bool holdsHotSegment_ = false;

    auto admit() -> void
    {
        std::stable_sort(waiting_.begin(), waiting_.end(), [](const auto &left, const auto &right) {
            return left->urgency_ < right->urgency_;
        });
        while (!waiting_.empty() && prefilling_.size() + generating_.size() < slots) {
            auto request = waiting_.front();
            waiting_.erase(waiting_.begin());
            const auto &segments = request->prompt_.segments_;
            const auto isCached = segments.front().id_ == hotSegment && std::exchange(holdsHotSegment_, true);
            request->prefillLeft_ = double(request->prompt_.promptTokens_ - (isCached ? segments.front().tokens_ : 0));
            prefilling_.push_back(request);
        }
    }
};

struct Report
{
    TimePoint arrivesAt_;
    std::size_t from_ = 0;
    PeerReport report_;
};

class Model
{
public:
    Model(const OverloadScenario &scenario, SendingPolicy policy, std::uint32_t seed)
        : scenario_(scenario)
        , policy_(policy)
        , random_(seed)
    {
        for (const auto speed : scenario.speeds_) {
            engines_.push_back({.id_ = "engine-" + std::to_string(engines_.size()), .speed_ = speed});
        }
        for (auto index = std::size_t(0); index < scenario.routers_; ++index) {
            pools_.push_back(std::make_unique<UpstreamPool>(seed + index, "local"));
            pools_.back()->setRouterName("router-" + std::to_string(index));
        }
        publishEngines();
        nextReports_.resize(pools_.size(), startTime);
        nextFullReports_.resize(pools_.size(), startTime);
        sentLoads_.resize(pools_.size());
    }

    auto run() -> ServedByClass
    {
        const auto end = startTime + scenario_.duration_;
        // After the end of the traffic, requests are served until their timeout.
        for (; now_ < end + std::chrono::seconds(25); now_ += stepTime) {
            applyOutage();
            if (now_ < end) {
                addArrivals();
            }
            resumeWaiting();
            for (auto &engine : engines_) {
                work(engine);
            }
            exchangeReports();
        }
        return served_;
    }

private:
    auto since() const -> Milliseconds
    {
        return std::chrono::duration_cast<Milliseconds>(now_ - startTime);
    }

    auto publishEngines() -> void
    {
        auto routable = std::vector<membership::RoutableUpstream>();
        for (const auto &engine : engines_) {
            if (engine.running_) {
                routable.push_back({.record_ = {.id_ = engine.id_, .service_ = "pool", .slots_ = slots}});
            }
        }
        for (auto &pool : pools_) {
            pool->setUpstreams(routable);
        }
    }

    auto applyOutage() -> void
    {
        const auto isOut = since() >= scenario_.outage_.from_ && since() < scenario_.outage_.until_;
        auto changed = false;
        for (auto index = std::size_t(0); index < scenario_.outage_.engines_; ++index) {
            auto &engine = engines_[index];
            changed = changed || engine.running_ == isOut;
            engine.running_ = !isOut;
            engine.holdsHotSegment_ = engine.holdsHotSegment_ && !isOut;
            if (isOut) {
                failAll(engine);
            }
        }
        if (changed) {
            publishEngines();
        }
    }

    auto failAll(ModelEngine &engine) -> void
    {
        auto failed = std::exchange(engine.waiting_, {});
        failed.insert(failed.end(), engine.prefilling_.begin(), engine.prefilling_.end());
        failed.insert(failed.end(), engine.generating_.begin(), engine.generating_.end());
        engine.prefilling_.clear();
        engine.generating_.clear();
        for (const auto &request : failed) {
            finish(*request, AttemptResult::Failed);
        }
    }

    auto factorOf(const TrafficClass &trafficClass) const -> double
    {
        for (const auto &burst : scenario_.bursts_) {
            if (burst.class_ == trafficClass.name_ && since() >= burst.from_ && since() < burst.until_) {
                return burst.factor_;
            }
        }
        return 1;
    }

    auto addArrivals() -> void
    {
        for (const auto &trafficClass : scenario_.classes_) {
            const auto mean = trafficClass.requestsPerSecond_ * factorOf(trafficClass)
                * std::chrono::duration<double>(stepTime).count();
            const auto count = std::poisson_distribution<int>(mean)(arrivals_);
            for (auto index = 0; index < count; ++index) {
                send(makeRequest(trafficClass));
            }
        }
    }

    auto makeRequest(const TrafficClass &trafficClass) -> RequestPointer
    {
        const auto tokens = std::uniform_int_distribution<std::uint32_t>(
            trafficClass.minimumTokens_, trafficClass.maximumTokens_)(arrivals_);
        const auto isHot = std::uniform_real_distribution<double>(0, 1)(arrivals_) < trafficClass.hotShare_;
        const auto id = ++lastId_;
        // Ids of unshared segments are above those of shared ones.
        const auto own = id + 1'000;
        const auto half = trafficClass.minimumTokens_ / 2;
        const auto segments = isHot ? std::vector<routing::PromptSegment> {{.id_ = hotSegment, .tokens_ = half},
                                  {.id_ = own, .tokens_ = tokens - half}}
                                    : std::vector<routing::PromptSegment> {{.id_ = own, .tokens_ = tokens}};
        return std::make_shared<ModelRequest>(ModelRequest {.id_ = id,
            .class_ = &trafficClass,
            .prompt_ = {.model_ = "m", .promptTokens_ = tokens, .segments_ = segments},
            .arrivedAt_ = now_,
            .router_ = std::uniform_int_distribution<std::size_t>(0, pools_.size() - 1)(arrivals_)});
    }

    auto criteriaOf(const ModelRequest &request) const -> SelectionCriteria
    {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now_ - request.arrivedAt_);
        return {.service_ = "pool",
            .route_ = request.class_->name_,
            .prompt_ = request.prompt_,
            .engineCacheTokens_ = cacheTokens,
            .timeUntilDue_ = request.class_->target_ - elapsed,
            .timeUntilTimeout_ = request.class_->timeout_ - elapsed,
            .rank_ = request.class_->rank_,
            // The policy before knows one group, in which all count.
            .resumesStream_ = policy_ == SendingPolicy::AtOnce};
    }

    auto choose(ModelRequest &request) -> Result<AssignmentOrWait>
    {
        auto &pool = *pools_[request.router_];
        if (policy_ == SendingPolicy::AtOnce) {
            const auto assignment = pool.choose(criteriaOf(request), now_);
            return assignment ? Result<AssignmentOrWait>(*assignment) : assignment.failure();
        }
        const auto ticket = request.wait_ ? std::optional(request.wait_->ticket_) : std::optional<deadlines::Ticket>();
        return pool.chooseOrWait(criteriaOf(request),
            {.targetLatency_ = request.class_->target_,
                .timeout_ = request.class_->timeout_,
                .arrivedAt_ = request.arrivedAt_,
                .waited_ = std::chrono::ceil<Milliseconds>(request.waited_),
                .ticket_ = ticket},
            now_);
    }

    auto send(const RequestPointer &request) -> void
    {
        if (!request->wait_) {
            pools_[request->router_]->recordArrival(criteriaOf(*request), now_);
        }
        const auto chosen = choose(*request);
        if (!chosen) {
            ++served_[request->sizeName()].refused_;
            return;
        }
        if (const auto *wait = std::get_if<WaitForRoom>(&*chosen)) {
            request->wait_.emplace(*wait);
            request->waitingSince_ = now_;
            waiting_.push_back(request);
            return;
        }
        const auto &assignment = std::get<Assignment>(*chosen);
        request->assignment_.emplace(assignment);
        request->urgency_ = policy_ == SendingPolicy::AtOnce
            ? request->class_->rank_
            : deadlines::engineUrgency(
                request->class_->rank_, std::uint32_t(scenario_.classes_.size()), assignment.deadlineClass_);
        request->outputLeft_ = request->class_->outputTokens_;
        engineOf(assignment.upstream_.id_).waiting_.push_back(request);
    }

    auto engineOf(const std::string &id) -> ModelEngine &
    {
        return *std::find_if(engines_.begin(), engines_.end(), [&id](const auto &engine) {
            return engine.id_ == id;
        });
    }

    auto resumeWaiting() -> void
    {
        for (const auto &request : std::exchange(waiting_, {})) {
            const auto isWoken = request->wait_->signal_->wait(-1, TimePoint());
            if (!isWoken && now_ < request->wait_->until_) {
                waiting_.push_back(request);
                continue;
            }
            request->waited_ += now_ - request->waitingSince_;
            send(request);
        }
    }

    auto work(ModelEngine &engine) -> void
    {
        if (!engine.running_) {
            return;
        }
        dropExpired(engine);
        engine.admit();
        const auto milliseconds = double(stepTime.count()) * engine.speed_;
        const auto forOutput = std::min(maximumOutputShare, outputShare * double(engine.generating_.size()));
        generate(engine, milliseconds);
        auto tokens = milliseconds * tokensPerMillisecond * (1 - forOutput);
        while (tokens > 0 && !engine.prefilling_.empty()) {
            auto &request = *engine.prefilling_.front();
            const auto used = std::min(tokens, request.prefillLeft_);
            tokens -= used;
            request.prefillLeft_ -= used;
            if (request.prefillLeft_ <= 0) {
                request.firstTokenAt_ = now_;
                pools_[request.router_]->recordResponseStart(*request.assignment_, now_);
                engine.generating_.push_back(engine.prefilling_.front());
                engine.prefilling_.pop_front();
            }
        }
    }

    auto generate(ModelEngine &engine, double milliseconds) -> void
    {
        for (const auto &request : std::exchange(engine.generating_, {})) {
            request->outputLeft_ -= milliseconds * outputTokensPerMillisecond;
            if (request->outputLeft_ > 0) {
                engine.generating_.push_back(request);
            } else {
                finish(*request, AttemptResult::Responded);
            }
        }
    }

    // Ends requests whose caller has given up.
    auto dropExpired(ModelEngine &engine) -> void
    {
        const auto drop = [this](auto &requests) {
            auto kept = std::decay_t<decltype(requests)>();
            for (const auto &request : requests) {
                if (now_ - request->arrivedAt_ < request->class_->timeout_) {
                    kept.push_back(request);
                } else {
                    finish(*request, AttemptResult::Cancelled);
                }
            }
            requests.swap(kept);
        };
        drop(engine.waiting_);
        drop(engine.prefilling_);
        drop(engine.generating_);
    }

    auto finish(const ModelRequest &request, AttemptResult result) -> void
    {
        pools_[request.router_]->recordAttemptEnd(*request.assignment_, result, now_);
        auto &served = served_[request.sizeName()];
        if (result != AttemptResult::Responded) {
            ++served.lost_;
        } else if (*request.firstTokenAt_ - request.arrivedAt_ <= request.class_->target_) {
            ++served.inTime_;
        } else {
            ++served.late_;
        }
    }

    auto exchangeReports() -> void
    {
        const auto interval
            = std::max<Milliseconds>(minimumReportInterval, reportIntervalPerPeer * std::int64_t(pools_.size() - 1));
        for (auto index = std::size_t(0); index < pools_.size(); ++index) {
            if (now_ >= nextReports_[index]) {
                nextReports_[index] = now_ + interval;
                report(index);
            }
        }
        while (!reports_.empty() && reports_.front().arrivesAt_ <= now_) {
            deliver(reports_.front());
            reports_.pop_front();
        }
    }

    auto report(std::size_t index) -> void
    {
        const auto isFull = now_ >= nextFullReports_[index];
        auto loads = pools_[index]->localEngineLoads();
        const auto updates = isFull ? loads : routing::diffLoads(sentLoads_[index], loads);
        if (isFull) {
            nextFullReports_[index] = now_ + fullReportInterval;
        }
        sentLoads_[index].swap(loads);
        reports_.push_back({.arrivesAt_ = now_ + networkDelay,
            .from_ = index,
            .report_ = {.isFullReport_ = isFull,
                .loads_ = updates,
                .prompts_ = pools_[index]->takeRoutedPrompts(),
                .promptStats_ = pools_[index]->localPromptStats()}});
    }

    auto deliver(const Report &report) -> void
    {
        for (auto index = std::size_t(0); index < pools_.size(); ++index) {
            const auto isLost = std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.reportLoss_;
            if (index != report.from_ && !isLost) {
                pools_[index]->applyPeerReport("router-" + std::to_string(report.from_), report.report_, now_);
            }
        }
    }

    const OverloadScenario &scenario_;
    const SendingPolicy policy_;
    std::mt19937_64 random_;
    // Its own generator, so that both policies get the same requests.
    std::mt19937_64 arrivals_ = std::mt19937_64(random_());
    TimePoint now_ = startTime;
    std::uint64_t lastId_ = 0;
    std::vector<ModelEngine> engines_;
    std::vector<std::unique_ptr<UpstreamPool>> pools_;
    std::vector<RequestPointer> waiting_;
    std::deque<Report> reports_;
    std::vector<TimePoint> nextReports_;
    std::vector<TimePoint> nextFullReports_;
    std::vector<routing::EngineLoads> sentLoads_;
    ServedByClass served_;
};

} // namespace

auto Served::answered() const -> int
{
    return inTime_ + late_;
}

auto Served::total() const -> int
{
    return answered() + lost_ + refused_;
}

auto runOverloadModel(const OverloadScenario &scenario, SendingPolicy policy, std::uint32_t seed) -> ServedByClass
{
    return Model(scenario, policy, seed).run();
}

} // namespace jasminewood::forward
