#include "jasminewood/forward/crashing_prompts.h"

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
// How often all evidence is repeated: often for some time after a change, then rarely.
constexpr Milliseconds recentReportInterval = Milliseconds(1'000);
constexpr Milliseconds recentChangeTime = Milliseconds(5'000);
constexpr Milliseconds idleReportInterval = Milliseconds(10'000);

auto toText(const std::vector<std::uint64_t> &segments) -> std::string
{
    return fmt::format("{:x}", fmt::join(segments, ","));
}

auto parseEvidence(const wire::PromptCrashEvidence &message) -> routing::CrashEvidence
{
    auto crashes = std::vector<routing::PromptCrashReport>();
    for (const auto &crash : message.crashes_) {
        crashes.push_back({.crash_ = {.crashId_ = crash.crashId_, .segments_ = crash.segments_}, .age_ = crash.age_});
    }
    auto starts = std::vector<routing::SegmentStartReport>();
    for (const auto &start : message.starts_) {
        starts.push_back({.segment_ = start.segment_, .age_ = start.age_});
    }
    return {.crashes_ = crashes, .starts_ = starts};
}

} // namespace

auto CrashingPrompts::start(const kernel::ServiceRegistry &services) -> Status
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

auto CrashingPrompts::stop() -> void
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

auto CrashingPrompts::recordCrash(
    const membership::UpstreamRecord &upstream, const std::vector<std::uint64_t> &segments) -> void
{
    crashCounter_->add();
    const auto crashId = fmt::format("{}@{}", upstream.id_, upstream.incarnation_);
    environment_->log().warning("an engine crashed before the first token of a request",
        {{"upstream", upstream.id_}, {"crash", crashId}, {"segments", toText(segments)}});
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    applyChange(detector_.recordCrash({.crashId_ = crashId, .segments_ = segments}, now), now);
}

auto CrashingPrompts::recordStart(const std::vector<std::uint64_t> &segments) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    if (detector_.recordStart(segments, now)) {
        applyChange(true, now);
    }
}

auto CrashingPrompts::admit(const std::vector<std::uint64_t> &segments) -> std::optional<Milliseconds>
{
    const auto turn = [this](std::uint64_t segment) {
        return trialTurn(segment);
    };
    const auto lock = std::scoped_lock(mutex_);
    return detector_.admit(segments, turn, Clock::now());
}

auto CrashingPrompts::trialTurn(std::uint64_t segment) const -> Milliseconds
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

auto CrashingPrompts::applyChange(bool isNew, TimePoint now) -> void
{
    auto refused = detector_.refusedSegments(now);
    if (refused != refused_) {
        environment_->log().warning("the refused prompt segments changed",
            {{"from", toText(refused_)}, {"to", toText(refused)},
                {"evidence", std::int64_t(detector_.evidence(now).crashes_.size())}});
        refused_ = std::move(refused);
    }
    if (isNew) {
        changed_ = true;
        changedAt_ = now;
        changedCondition_.notify_all();
    }
}

auto CrashingPrompts::makeReport(TimePoint now) const -> wire::PromptCrashEvidence
{
    const auto evidence = detector_.evidence(now);
    auto crashes = std::vector<wire::PromptCrash>();
    for (const auto &[crash, age] : evidence.crashes_) {
        crashes.push_back({.crashId_ = crash.crashId_, .segments_ = crash.segments_, .age_ = age});
    }
    auto starts = std::vector<wire::SegmentStart>();
    for (const auto &[segment, age] : evidence.starts_) {
        starts.push_back({.segment_ = segment, .age_ = age});
    }
    return {.router_ = environment_->identity().node_, .crashes_ = crashes, .starts_ = starts};
}

auto CrashingPrompts::nextReportAt() const -> std::optional<TimePoint>
{
    if (detector_.isEmpty()) {
        return std::nullopt;
    }
    const auto isRecent = reportedAt_ - changedAt_ < recentChangeTime;
    return reportedAt_ + (isRecent ? recentReportInterval : idleReportInterval);
}

auto CrashingPrompts::sendLoop() -> void
{
    const auto isDue = [this] {
        return stopping_ || changed_;
    };
    auto lock = std::unique_lock(mutex_);
    while (!stopping_) {
        if (const auto dueAt = nextReportAt()) {
            changedCondition_.wait_until(lock, *dueAt, isDue);
        } else {
            changedCondition_.wait(lock, isDue);
        }
        if (stopping_) {
            return;
        }
        changed_ = false;
        reportedAt_ = Clock::now();
        const auto report = makeReport(reportedAt_);
        lock.unlock();
        network_->broadcast(report);
        lock.lock();
        changedCondition_.wait_for(lock, minimumReportInterval, [this] {
            return stopping_;
        });
    }
}

auto CrashingPrompts::handleMessage(const wire::Message &message) -> void
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
    // Evidence that was new here is not passed on: its source sends it to all.
    static_cast<void>(detector_.merge(parseEvidence(*received), now));
    applyChange(false, now);
}

auto CrashingPrompts::greet(const NodeId &router) -> void
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
            report.emplace(makeReport(Clock::now()));
        }
    }
    if (report) {
        network_->send(router.name_, *report);
    }
}

} // namespace jasminewood::forward
