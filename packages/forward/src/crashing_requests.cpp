#include "jasminewood/forward/crashing_requests.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/wire/codec.h"

namespace jasminewood::forward
{

namespace
{

// The shortest time between two reports.
constexpr Milliseconds minimumReportInterval = Milliseconds(40);
// How often the strongest evidence is repeated: often for some time after a change, then rarely.
constexpr Milliseconds recentRepeatInterval = Milliseconds(1'000);
constexpr Milliseconds recentChangeTime = Milliseconds(5'000);
constexpr Milliseconds idleRepeatInterval = Milliseconds(30'000);
// The features in such a report.
constexpr std::size_t repeatedFeatures = 32;

auto toText(const routing::RequestFeature &feature) -> std::string
{
    return std::visit(Overloaded {[](const routing::SharedSegment &segment) {
                                      return fmt::format("segment {:x}", segment.id_);
                                  },
                          [](const routing::WholeRequest &request) {
                              return fmt::format("request {:x}", request.fingerprint_);
                          }},
        feature);
}

auto toText(const routing::RequestFeatures &features) -> std::string
{
    auto texts = std::vector<std::string>();
    for (const auto &feature : features) {
        texts.push_back(toText(feature));
    }
    return fmt::format("{}", fmt::join(texts, ", "));
}

auto idOf(const routing::RequestFeature &feature) -> std::uint64_t
{
    return std::visit(Overloaded {[](const routing::SharedSegment &segment) {
                                      return segment.id_;
                                  },
                          [](const routing::WholeRequest &request) {
                              return request.fingerprint_;
                          }},
        feature);
}

auto parseFeature(const wire::FeatureEvidence &evidence) -> routing::RequestFeature
{
    if (evidence.isWholeRequest_) {
        return routing::WholeRequest {.fingerprint_ = evidence.id_};
    }
    return routing::SharedSegment {.id_ = evidence.id_};
}

auto parseEvidence(const wire::RequestCrashEvidence &message) -> routing::CrashEvidence
{
    auto evidence = routing::CrashEvidence();
    for (const auto &feature : message.features_) {
        auto crashes = std::vector<routing::CrashOfFeature>();
        for (const auto &[id, age, previous, answersBegan] : feature.crashes_) {
            crashes.push_back(
                {.crash_ = {.id_ = id, .previous_ = previous, .answerBegan_ = answersBegan}, .age_ = age});
        }
        evidence.push_back({.feature_ = parseFeature(feature),
            .depth_ = feature.depth_,
            .crashes_ = crashes,
            .successAge_ = feature.successAge_});
    }
    return evidence;
}

} // namespace

auto CrashingRequests::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    promptCrashCounter_.emplace(environment_->metrics().counter("jasminewood_forward_prompt_crashes_total",
        "Requests with a prompt that were lost, as they began to run or before, in the crash of an engine"));
    requestCrashCounter_.emplace(environment_->metrics().counter("jasminewood_forward_request_crashes_total",
        "Requests that were lost, as they began to run or before, in the crash of an upstream"));
    const auto network = services.find<PeerNetwork>("peer-network");
    if (!network) {
        return std::nullopt;
    }
    network_ = *network;
    network_->addHandler([this](const wire::Message &message) {
        handleMessage(message);
    });
    senderThread_ = std::thread([this] {
        sendLoop();
    });
    return std::nullopt;
}

auto CrashingRequests::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    changedCondition_.notify_all();
    if (senderThread_.joinable()) {
        senderThread_.join();
    }
}

auto CrashingRequests::recordCrash(const membership::UpstreamRecord &upstream, const LostRequest &lost)
    -> routing::CrashId
{
    requestCrashCounter_->add();
    const auto isSegment = [](const routing::RequestFeature &feature) {
        return std::holds_alternative<routing::SharedSegment>(feature);
    };
    if (std::any_of(lost.features_.begin(), lost.features_.end(), isSegment)) {
        promptCrashCounter_->add();
    }
    const auto name = fmt::format("{}@{}", upstream.id_, upstream.incarnation_);
    const auto id = XXH3_64bits(name.data(), name.size());
    environment_->log().warning("an upstream crashed under a request",
        {{"upstream", upstream.id_}, {"crash", name}, {"retry", lost.previous_ != routing::noCrash},
            {"answer_began", lost.answerBegan_}, {"features", toText(lost.features_)}});
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    detector_.recordCrash(
        {.id_ = id, .previous_ = lost.previous_, .answerBegan_ = lost.answerBegan_}, lost.features_, now);
    applyChange(now);
    return id;
}

auto CrashingRequests::recordSuccess(const routing::RequestFeatures &features) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (!detector_.isEmpty()) {
        detector_.recordSuccess(features, now);
        applyChange(now);
    }
}

auto CrashingRequests::admit(const routing::RequestFeatures &features) -> std::optional<Milliseconds>
{
    const auto rank = [this](const routing::RequestFeature &feature) {
        return trialRank(feature);
    };
    const auto lock = std::scoped_lock(mutex_);
    return detector_.admit(features, rank, Clock::now());
}

auto CrashingRequests::trialRank(const routing::RequestFeature &feature) const -> std::size_t
{
    const auto rankOf = [id = idOf(feature)](const std::string &router) {
        return std::pair(XXH3_64bits_withSeed(router.data(), router.size(), id), router);
    };
    const auto others = network_ ? network_->routerNames() : relay::RouterNames {};
    const auto own = rankOf(environment_->identity().node_.name_);
    const auto ranksBefore = [&rankOf, &own](const std::string &router) {
        return rankOf(router) > own;
    };
    const auto before = std::count_if(others.sameDataCentre_.begin(), others.sameDataCentre_.end(), ranksBefore)
        + std::count_if(others.elsewhere_.begin(), others.elsewhere_.end(), ranksBefore);
    return std::size_t(before);
}

auto CrashingRequests::applyChange(TimePoint now) -> void
{
    auto refused = detector_.refusedFeatures(now);
    if (refused != refused_) {
        environment_->log().warning(
            "the refused requests changed", {{"from", toText(refused_)}, {"to", toText(refused)}});
        refused_ = std::move(refused);
    }
    if (detector_.hasNews()) {
        changedAt_ = now;
        changedCondition_.notify_all();
    }
}

auto CrashingRequests::makeReport(const routing::CrashEvidence &evidence) const -> wire::RequestCrashEvidence
{
    const auto limited = [](Milliseconds time) {
        return std::min<Milliseconds>(time, wire::maximumDuration);
    };
    auto features = std::vector<wire::FeatureEvidence>();
    for (const auto &[feature, depth, crashes, successAge] : evidence) {
        auto reported = std::vector<wire::FeatureCrash>();
        for (const auto &[crash, age] : crashes) {
            reported.push_back({.crash_ = crash.id_,
                .age_ = limited(age),
                .previous_ = crash.previous_,
                .answersBegan_ = crash.answerBegan_});
        }
        features.push_back({.isWholeRequest_ = std::holds_alternative<routing::WholeRequest>(feature),
            .id_ = idOf(feature),
            .depth_ = depth,
            .crashes_ = reported,
            .successAge_ = successAge ? std::optional(limited(*successAge)) : std::nullopt});
    }
    return {.router_ = environment_->identity().node_, .features_ = features};
}

auto CrashingRequests::nextRepeatAt() const -> TimePoint
{
    const auto isRecent = repeatedAt_ - changedAt_ < recentChangeTime;
    return repeatedAt_ + (isRecent ? recentRepeatInterval : idleRepeatInterval);
}

auto CrashingRequests::sendLoop() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!stopping_) {
        changedCondition_.wait_until(lock, nextRepeatAt(), [this] {
            return stopping_ || detector_.hasNews();
        });
        lock.unlock();
        environment_->contain("report crashing requests to the other routers", [this] {
            sendReport(Clock::now());
        });
        lock.lock();
        changedCondition_.wait_for(lock, minimumReportInterval, [this] {
            return stopping_;
        });
    }
}

auto CrashingRequests::sendReport(TimePoint now) -> void
{
    auto report = std::optional<wire::RequestCrashEvidence>();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto isRepeat = now >= nextRepeatAt();
        repeatedAt_ = isRepeat ? now : repeatedAt_;
        report.emplace(makeReport(isRepeat ? detector_.evidence(repeatedFeatures, now) : detector_.takeNews(now)));
    }
    if (!report->features_.empty()) {
        network_->broadcast(*report);
    }
}

auto CrashingRequests::handleMessage(const wire::Message &message) -> void
{
    if (const auto *usage = std::get_if<wire::EngineUsageReport>(&message)) {
        greet(usage->router_);
        return;
    }
    const auto *received = std::get_if<wire::RequestCrashEvidence>(&message);
    if (received == nullptr) {
        return;
    }
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    detector_.merge(parseEvidence(*received), now);
    applyChange(now);
}

auto CrashingRequests::greet(const NodeId &router) -> void
{
    auto report = std::optional<wire::RequestCrashEvidence>();
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &incarnation = greeted_[router.name_];
        if (incarnation == router.incarnation_) {
            return;
        }
        incarnation = router.incarnation_;
        if (!detector_.isEmpty()) {
            report.emplace(makeReport(detector_.evidence(repeatedFeatures, Clock::now())));
        }
    }
    if (report) {
        network_->send(router.name_, *report);
    }
}

} // namespace jasminewood::forward
