#include "jasminewood/forward/caller_balance.h"

#include <algorithm>
#include <utility>

#include "jasminewood/wire/codec.h"

namespace jasminewood::forward
{

namespace
{

constexpr double thousandthsPerCore = 1'000;

auto phaseOf(const wire::CallerReport &report) -> routing::SheddingPhase
{
    if (report.isShedding_) {
        return routing::SheddingPhase::Shedding;
    }
    return report.hasShed_ ? routing::SheddingPhase::CoolingDown : routing::SheddingPhase::None;
}

auto withConnections(const routing::RouterCallers &callers, std::size_t connections) -> routing::RouterCallers
{
    return {.connections_ = connections,
        .readySince_ = callers.readySince_,
        .router_ = callers.router_,
        .dataCentre_ = callers.dataCentre_,
        .capacity_ = callers.capacity_,
        .phase_ = callers.phase_};
}

} // namespace

CallerBalance::CallerBalance(const CallerBalanceOptions &options)
    : options_(options)
    , processorMeter_(options.capacity_)
{
}

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
    const auto &metrics = environment_->metrics();
    metrics.gauge("jasminewood_forward_capacity", "Processor time that the VM provides, in cores; 0 if unknown")
        .set(options_.capacity_);
    utilisationGauge_.emplace(metrics.gauge(
        "jasminewood_forward_processor_share", "Processor time used as a fraction of what the VM provides"));
    sheddingGauge_.emplace(metrics.gauge(
        "jasminewood_forward_shedding", "1 while the router is not ready so that callers connect to larger ones"));
    sheddingCounter_.emplace(metrics.counter("jasminewood_forward_shedding_total",
        "Times that the router was not ready so that callers connect to larger ones"));
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
        const auto callers = ownCallers();
        interval = routing::callerReportInterval(network_->peerCount());
        sendReport(callers, now);
        auto others = std::vector<routing::RouterCallers>();
        {
            const auto lock = std::scoped_lock(mutex_);
            others = reports_.current(interval, now);
        }
        // The reports of the others are up to an interval old, so connections opened since then are not compared.
        const auto comparable
            = std::min(callers.connections_, std::exchange(previousConnections, callers.connections_));
        if (!shedConnections(callers, others, now)) {
            releaseConnections(withConnections(callers, comparable), others, interval, now);
        }
    }
}

auto CallerBalance::ownCallers() const -> routing::RouterCallers
{
    const auto &identity = environment_->identity();
    return {.connections_ = std::size_t(frontend_->connectionCount()),
        .readySince_ = probes_->reportedReadySince(),
        .router_ = identity.node_.name_,
        .dataCentre_ = identity.dataCentre_,
        .capacity_ = std::uint32_t(options_.capacity_ * thousandthsPerCore),
        .phase_ = routing::phaseOf(shedding_.state())};
}

auto CallerBalance::sendReport(const routing::RouterCallers &callers, TimePoint now) -> void
{
    const auto readyFor = [now](TimePoint since) {
        return std::min<Milliseconds>(std::chrono::floor<Milliseconds>(now - since), wire::maximumDuration);
    };
    network_->broadcast(wire::CallerReport {.router_ = environment_->identity().node_,
        .connections_ = std::uint32_t(callers.connections_),
        .readyFor_ = callers.readySince_ ? std::optional(readyFor(*callers.readySince_)) : std::nullopt,
        .dataCentre_ = callers.dataCentre_,
        .capacity_ = callers.capacity_,
        .isShedding_ = callers.phase_ == routing::SheddingPhase::Shedding,
        .hasShed_ = callers.phase_ == routing::SheddingPhase::CoolingDown});
}

auto CallerBalance::applyReport(const wire::CallerReport &report) -> void
{
    const auto now = Clock::now();
    const auto lock = std::scoped_lock(mutex_);
    reports_.apply(report.router_.name_,
        {.connections_ = report.connections_,
            .readySince_ = report.readyFor_ ? std::optional(now - *report.readyFor_) : std::nullopt,
            .dataCentre_ = report.dataCentre_,
            .capacity_ = report.capacity_,
            .phase_ = phaseOf(report)},
        now);
}

auto CallerBalance::releaseConnections(const routing::RouterCallers &callers,
    const std::vector<routing::RouterCallers> &others, Milliseconds interval, TimePoint now) -> void
{
    const auto release = routing::releaseConnections(callers, others, interval, now);
    const auto closes = frontend_->releaseConnections(release);
    if (closes > 0) {
        environment_->log().info("callers reconnect to routers that have returned",
            {{"connections", std::int64_t(callers.connections_)}, {"closes", std::int64_t(closes)},
                {"routers", std::int64_t(others.size() + 1)}});
    }
}

auto CallerBalance::shedConnections(
    const routing::RouterCallers &callers, const std::vector<routing::RouterCallers> &others, TimePoint now) -> bool
{
    const auto utilisation = processorMeter_.sample(now);
    utilisationGauge_->set(utilisation.value_or(0));
    frontend_->setUtilisation(utilisation.value_or(0));
    const auto previous = callers.phase_;
    const auto state = shedding_.step(
        {.callers_ = callers, .utilisation_ = utilisation, .failedProbes_ = probes_->failedProbes()}, others, now);
    probes_->setShedding(!routing::isReady(state));
    recordPhase(previous, callers);
    if (const auto *releasing = std::get_if<routing::Releasing>(&state)) {
        frontend_->releaseConnections({.connections_ = releasing->connections_, .openedBefore_ = now});
    }
    return !routing::isReady(state);
}

auto CallerBalance::recordPhase(routing::SheddingPhase previous, const routing::RouterCallers &callers) -> void
{
    const auto phase = routing::phaseOf(shedding_.state());
    const auto fields = observe::Fields {
        {"connections", std::int64_t(callers.connections_)}, {"capacity", std::int64_t(callers.capacity_)}};
    sheddingGauge_->set(phase == routing::SheddingPhase::Shedding ? 1 : 0);
    if (phase == previous) {
        return;
    }
    if (phase == routing::SheddingPhase::Shedding) {
        sheddingCounter_->add();
        environment_->log().info("not ready, so that callers connect to larger routers", fields);
    } else if (previous == routing::SheddingPhase::Shedding) {
        environment_->log().info("ready again after callers connected to larger routers", fields);
    }
}

} // namespace jasminewood::forward
