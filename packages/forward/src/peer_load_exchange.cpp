#include "jasminewood/forward/peer_load_exchange.h"

#include <algorithm>
#include <utility>

namespace jasminewood::forward
{

namespace
{

// The interval between two reports of changes grows with the number of peers, so that the total datagram rate of one
// router stays bounded.
constexpr Milliseconds reportIntervalPerPeer = Milliseconds(5);
constexpr Milliseconds minimumReportInterval = Milliseconds(40);
// A full report is sent at least this often, since datagrams may be lost.
constexpr Milliseconds fullReportInterval = Milliseconds(1'000);
// A prompt with several shared segments is encoded in up to about 80 bytes.
constexpr std::size_t promptsPerDatagram = 12;
// An engine is encoded in up to about 35 bytes.
constexpr std::size_t enginesPerDatagram = 40;
constexpr double milliPerUnit = 1'000;

} // namespace

auto PeerLoadExchange::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (auto failure = services.require("peer-network", network_)) {
        return failure;
    }
    upstreams_->pool().setLoadChangeCallback([this] {
        const auto lock = std::scoped_lock(mutex_);
        if (!std::exchange(loadChanged_, true)) {
            stateChanged_.notify_all();
        }
    });
    network_->addHandler([this](const wire::Message &message) {
        if (const auto *report = std::get_if<wire::EngineUsageReport>(&message)) {
            applyReport(*report);
        } else if (const auto *limits = std::get_if<wire::UpstreamRateLimitReport>(&message)) {
            applyRateLimits(*limits);
        }
    });
    senderThread_ = std::thread([this] {
        sendLoop();
    });
    return std::nullopt;
}

auto PeerLoadExchange::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    stateChanged_.notify_all();
    stopCondition_.notify_all();
    if (senderThread_.joinable()) {
        senderThread_.join();
    }
}

auto PeerLoadExchange::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopCondition_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto PeerLoadExchange::sendReport(
    bool isFullReport, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts) -> void
{
    const auto router = environment_->identity().node_;
    auto startsFullReport = isFullReport;
    auto load = loads.begin();
    do {
        auto batch = std::map<std::string, wire::EngineLoad>();
        for (; load != loads.end() && batch.size() < enginesPerDatagram; ++load) {
            batch.emplace(load->first,
                wire::EngineLoad {.pendingPrefillTokens_ = load->second.pendingPrefillTokens_,
                    .inFlightRequests_ = load->second.inFlightRequests_,
                    .latePrefillTokens_ = load->second.latePrefillTokens_});
        }
        network_->broadcast(wire::EngineUsageReport {
            .router_ = router, .complete_ = std::exchange(startsFullReport, false), .engines_ = batch});
    } while (load != loads.end());
    for (auto start = std::size_t(0); start < prompts.size(); start += promptsPerDatagram) {
        auto batch = std::vector<wire::RoutedPrompt>();
        for (auto index = start; index < std::min(prompts.size(), start + promptsPerDatagram); ++index) {
            auto sharedSegments = std::vector<wire::SharedSegment>();
            for (const auto &[id, tokens] : prompts[index].segments_) {
                sharedSegments.push_back({.id_ = id, .tokens_ = tokens});
            }
            batch.push_back({.engine_ = prompts[index].engine_, .segments_ = sharedSegments});
        }
        network_->broadcast(wire::EngineUsageReport {.router_ = router, .prompts_ = batch});
    }
    for (const auto &[service, routeStats] : upstreams_->pool().localPromptStats()) {
        auto batch = std::vector<wire::RoutePromptStats>();
        for (const auto &stats : routeStats) {
            batch.push_back({.service_ = service,
                .route_ = stats.route_,
                .milliRequests_ = std::uint64_t(stats.requests_ * milliPerUnit),
                .unsharedTokens_ = std::uint64_t(stats.tokens_)});
        }
        network_->broadcast(wire::EngineUsageReport {.router_ = router, .promptStats_ = batch});
    }
}

auto PeerLoadExchange::sendLoop() -> void
{
    while (waitUnlessStopped(
        std::max<Milliseconds>(minimumReportInterval, reportIntervalPerPeer * std::int64_t(network_->peerCount())))) {
        {
            auto lock = std::unique_lock(mutex_);
            stateChanged_.wait_until(lock, nextFullReportAt_, [this] {
                return stopping_ || loadChanged_;
            });
            loadChanged_ = false;
        }
        environment_->contain("report loads to the other routers", [this] {
            reportLoads(Clock::now());
        });
    }
}

auto PeerLoadExchange::reportLoads(TimePoint now) -> void
{
    const auto isFullReport = now >= nextFullReportAt_;
    auto loads = upstreams_->pool().localEngineLoads();
    const auto updates = isFullReport ? loads : routing::diffLoads(sentLoads_, loads);
    if (isFullReport) {
        nextFullReportAt_ = now + fullReportInterval;
    }
    sentLoads_.swap(loads);
    sendRateLimits(upstreams_->pool().takeRateLimitReports(isFullReport, now));
    const auto prompts = upstreams_->pool().takeRoutedPrompts();
    if (isFullReport || !updates.empty() || !prompts.empty()) {
        sendReport(isFullReport, updates, prompts);
    }
}

auto PeerLoadExchange::sendRateLimits(const std::vector<routing::RateLimitReport> &reports) -> void
{
    auto limits = std::vector<wire::UpstreamRateLimit>();
    for (const auto &[upstream, perSecond, namedAge, unlimitedAge] : reports) {
        limits.push_back({.upstream_ = upstream,
            .milliPerSecond_ = std::uint64_t(perSecond * milliPerUnit),
            .namedAge_ = namedAge,
            .unlimitedAge_ = unlimitedAge});
    }
    if (!limits.empty()) {
        network_->broadcast(
            wire::UpstreamRateLimitReport {.router_ = environment_->identity().node_, .limits_ = limits});
    }
}

auto PeerLoadExchange::applyRateLimits(const wire::UpstreamRateLimitReport &report) -> void
{
    auto reports = std::vector<routing::RateLimitReport>();
    for (const auto &[upstream, milliPerSecond, namedAge, unlimitedAge] : report.limits_) {
        reports.push_back({.upstream_ = upstream,
            .perSecond_ = double(milliPerSecond) / milliPerUnit,
            .namedAge_ = namedAge,
            .unlimitedAge_ = unlimitedAge});
    }
    upstreams_->pool().applyRateLimitReports(reports, Clock::now());
}

auto PeerLoadExchange::applyReport(const wire::EngineUsageReport &report) -> void
{
    auto prompts = std::vector<RoutedPrompt>();
    for (const auto &prompt : report.prompts_) {
        auto segments = std::vector<routing::PromptSegment>();
        for (const auto &[id, tokens] : prompt.segments_) {
            segments.push_back({.id_ = id, .tokens_ = tokens});
        }
        prompts.push_back({.engine_ = prompt.engine_, .segments_ = segments});
    }
    auto loads = routing::EngineLoads();
    for (const auto &[engine, load] : report.engines_) {
        loads.emplace(engine,
            routing::EngineLoad {.pendingPrefillTokens_ = load.pendingPrefillTokens_,
                .inFlightRequests_ = load.inFlightRequests_,
                .latePrefillTokens_ = load.latePrefillTokens_});
    }
    auto promptStats = PromptStatsByService();
    for (const auto &stats : report.promptStats_) {
        promptStats[stats.service_].push_back({.route_ = stats.route_,
            .requests_ = double(stats.milliRequests_) / milliPerUnit,
            .tokens_ = double(stats.unsharedTokens_)});
    }
    upstreams_->pool().applyPeerReport(report.router_.name_,
        {.isFullReport_ = report.complete_, .loads_ = loads, .prompts_ = prompts, .promptStats_ = promptStats},
        Clock::now());
}

} // namespace jasminewood::forward
