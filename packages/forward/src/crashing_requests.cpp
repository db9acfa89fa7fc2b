#include "jasminewood/forward/crashing_requests.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <xxhash.h>

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
// The segments in such a report.
constexpr std::size_t repeatedSegments = 32;

auto toText(const std::vector<std::uint64_t> &segments) -> std::string
{
    return fmt::format("{:x}", fmt::join(segments, ","));
}

auto parseEvidence(const wire::PromptCrashEvidence &message) -> routing::CrashEvidence
{
    auto evidence = routing::CrashEvidence();
    for (const auto &segment : message.segments_) {
        auto crashes = std::vector<routing::CrashReportOfSegment>();
        for (const auto &[crash, age] : segment.crashes_) {
            crashes.push_back({.crash_ = crash, .age_ = age});
        }
        evidence.push_back({.segment_ = segment.segment_,
            .depth_ = segment.depth_,
            .crashes_ = crashes,
            .startAge_ = segment.startAge_});
    }
    return evidence;
}

} // namespace

auto CrashingRequests::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    crashCounter_.emplace(environment_->metrics().counter("jasminewood_forward_prompt_crashes_total",
        "Requests that were lost before their first token in the crash of an engine"));
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

auto CrashingRequests::recordCrash(
    const membership::UpstreamRecord &upstream, const std::vector<std::uint64_t> &segments) -> void
{
    crashCounter_->add();
    const auto crashId = fmt::format("{}@{}", upstream.id_, upstream.incarnation_);
    environment_->log().warning("an engine crashed before the first token of a request",
        {{"upstream", upstream.id_}, {"crash", crashId}, {"segments", toText(segments)}});
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    detector_.recordCrash(XXH3_64bits(crashId.data(), crashId.size()), segments, now);
    applyChange(now);
}

auto CrashingRequests::recordStart(const std::vector<std::uint64_t> &segments) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (!detector_.isEmpty()) {
        detector_.recordStart(segments, now);
        applyChange(now);
    }
}

auto CrashingRequests::admit(const std::vector<std::uint64_t> &segments) -> std::optional<Milliseconds>
{
    const auto turn = [this](std::uint64_t segment) {
        return trialTurn(segment);
    };
    const auto lock = std::scoped_lock(mutex_);
    return detector_.admit(segments, turn, Clock::now());
}

auto CrashingRequests::trialTurn(std::uint64_t segment) const -> Milliseconds
{
    const auto rankOf = [segment](const std::string &router) {
        return std::pair(XXH3_64bits_withSeed(router.data(), router.size(), segment), router);
    };
    const auto others = network_ ? network_->routerNames() : relay::RouterNames {};
    const auto own = rankOf(environment_->identity().node_.name_);
    const auto ranksBefore = [&rankOf, &own](const std::string &router) {
        return rankOf(router) > own;
    };
    const auto before = std::count_if(others.sameDataCentre_.begin(), others.sameDataCentre_.end(), ranksBefore)
        + std::count_if(others.elsewhere_.begin(), others.elsewhere_.end(), ranksBefore);
    return before * routing::segmentTrialTime;
}

auto CrashingRequests::applyChange(TimePoint now) -> void
{
    auto refused = detector_.refusedSegments(now);
    if (refused != refused_) {
        environment_->log().warning(
            "the refused prompt segments changed", {{"from", toText(refused_)}, {"to", toText(refused)}});
        refused_ = std::move(refused);
    }
    if (detector_.hasNews()) {
        changedAt_ = now;
        changedCondition_.notify_all();
    }
}

auto CrashingRequests::makeReport(const routing::CrashEvidence &evidence) const -> wire::PromptCrashEvidence
{
    auto segments = std::vector<wire::SegmentEvidence>();
    for (const auto &segment : evidence) {
        auto crashes = std::vector<wire::SegmentCrash>();
        for (const auto &[crash, age] : segment.crashes_) {
            crashes.push_back({.crash_ = crash, .age_ = age});
        }
        segments.push_back({.segment_ = segment.segment_,
            .depth_ = segment.depth_,
            .crashes_ = crashes,
            .startAge_ = segment.startAge_});
    }
    return {.router_ = environment_->identity().node_, .segments_ = segments};
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
        environment_->contain("report crashing prompts to the other routers", [this] {
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
    auto report = std::optional<wire::PromptCrashEvidence>();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto isRepeat = now >= nextRepeatAt();
        repeatedAt_ = isRepeat ? now : repeatedAt_;
        report.emplace(makeReport(isRepeat ? detector_.evidence(repeatedSegments, now) : detector_.takeNews(now)));
    }
    if (!report->segments_.empty()) {
        network_->broadcast(*report);
    }
}

auto CrashingRequests::handleMessage(const wire::Message &message) -> void
{
    if (const auto *usage = std::get_if<wire::EngineUsageReport>(&message)) {
        greet(usage->router_);
        return;
    }
    const auto *received = std::get_if<wire::PromptCrashEvidence>(&message);
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
    auto report = std::optional<wire::PromptCrashEvidence>();
    {
        const auto lock = std::scoped_lock(mutex_);
        auto &incarnation = greeted_[router.name_];
        if (incarnation == router.incarnation_) {
            return;
        }
        incarnation = router.incarnation_;
        if (!detector_.isEmpty()) {
            report.emplace(makeReport(detector_.evidence(repeatedSegments, Clock::now())));
        }
    }
    if (report) {
        network_->send(router.name_, *report);
    }
}

} // namespace jasminewood::forward
