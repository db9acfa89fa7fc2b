#include "jasminewood/forward/caller_balance.h"

#include <algorithm>
#include <utility>

#include "jasminewood/wire/codec.h"

namespace jasminewood::forward
{

auto CallerBalance::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("peer-network", network_)) {
        return failure;
    }
    if (auto failure = services.require("front", frontend_)) {
        return failure;
    }
    if (auto failure = services.require("probes", probes_)) {
        return failure;
    }
    network_->addHandler([this](const wire::Message &message) {
        if (const auto *report = std::get_if<wire::CallerReport>(&message)) {
            applyReport(*report);
        }
    });
    reportThread_ = std::thread([this] {
        reportLoop();
    });
    return std::nullopt;
}

auto CallerBalance::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    stopCondition_.notify_all();
    if (reportThread_.joinable()) {
        reportThread_.join();
    }
}

auto CallerBalance::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopCondition_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto CallerBalance::reportLoop() -> void
{
    auto interval = routing::callerReportInterval(network_->peerCount());
    auto previousConnections = std::size_t(0);
    while (waitUnlessStopped(interval)) {
        const auto now = Clock::now();
        const auto connections = std::size_t(frontend_->connectionCount());
        const auto readySince = probes_->reportedReadySince();
        interval = routing::callerReportInterval(network_->peerCount());
        sendReport({.connections_ = connections, .readySince_ = readySince}, now);
        // The reports of the others are up to an interval old, so connections opened since then are not compared.
        const auto comparable = std::min(connections, std::exchange(previousConnections, connections));
        releaseConnections({.connections_ = comparable, .readySince_ = readySince}, interval, now);
    }
}

auto CallerBalance::sendReport(const routing::RouterCallers &callers, TimePoint now) -> void
{
    const auto readyFor = [now](TimePoint since) {
        return std::min<Milliseconds>(std::chrono::floor<Milliseconds>(now - since), wire::maximumDuration);
    };
    network_->broadcast(wire::CallerReport {.router_ = environment_->identity().node_,
        .connections_ = std::uint32_t(callers.connections_),
        .readyFor_ = callers.readySince_ ? std::optional(readyFor(*callers.readySince_)) : std::nullopt});
}

auto CallerBalance::applyReport(const wire::CallerReport &report) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    reports_.apply(report.router_.name_,
        {.connections_ = report.connections_,
            .readySince_ = report.readyFor_ ? std::optional(now - *report.readyFor_) : std::nullopt},
        now);
}

auto CallerBalance::releaseConnections(const routing::RouterCallers &callers, Milliseconds interval, TimePoint now)
    -> void
{
    auto others = std::vector<routing::RouterCallers>();
    {
        const auto lock = std::scoped_lock(mutex_);
        others = reports_.current(interval, now);
    }
    const auto release = routing::releaseConnections(callers, others, interval, now);
    const auto closes = frontend_->releaseConnections(release);
    if (closes > 0) {
        environment_->log().info("callers reconnect to routers that have returned",
            {{"connections", std::int64_t(callers.connections_)}, {"closes", std::int64_t(closes)},
                {"routers", std::int64_t(others.size() + 1)}});
    }
}

} // namespace jasminewood::forward
