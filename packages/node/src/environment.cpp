#include "jasminewood/node/environment.h"

#include <chrono>
#include <exception>

namespace jasminewood::node
{

auto createIdentity(const std::string &name, wire::Role role, const std::string &dataCentre, const std::string &pool)
    -> ProcessIdentity
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto nanoseconds = std::chrono::duration_cast<std::chrono::nanoseconds>(now).count();
    return ProcessIdentity {.node_ = NodeId {.name_ = name, .incarnation_ = static_cast<std::uint64_t>(nanoseconds)},
        .role_ = role,
        .dataCentre_ = dataCentre,
        .pool_ = pool};
}

auto createHello(const ProcessIdentity &identity) -> wire::Hello
{
    return wire::Hello {
        .node_ = identity.node_, .role_ = identity.role_, .dataCentre_ = identity.dataCentre_, .pool_ = identity.pool_};
}

Environment::Environment(
    const ProcessIdentity &identity, observe::Level level, int logDescriptor, observe::Overflow overflow)
    : identity_(identity)
    , log_(identity.node_, level, logDescriptor, overflow)
    , timeline_(identity.node_)
{
}

auto Environment::start(const kernel::ServiceRegistry & /*services*/) -> Status
{
    return std::nullopt;
}

auto Environment::stop() -> void
{
}

auto Environment::identity() const -> const ProcessIdentity &
{
    return identity_;
}

auto Environment::log() const -> const observe::Log &
{
    return log_;
}

auto Environment::timeline() -> observe::Timeline &
{
    return timeline_;
}

auto Environment::metrics() const -> const observe::Metrics &
{
    return metrics_;
}

auto Environment::contain(const std::string &step, const std::function<auto()->void> &function) const -> bool
{
    auto reason = std::string("unknown exception");
    try {
        function();
        return true;
    } catch (const std::exception &exception) {
        reason = exception.what();
    } catch (...) { // NOLINT: reported below like the others
    }
    metrics_
        .counter(
            "jasminewood_unexpected_exceptions_total", "Exceptions that ended one step of a thread", {{"step", step}})
        .add();
    log_.error("an unexpected exception ended a step", {{"step", step}, {"reason", reason}});
    return false;
}

auto Environment::recordEvent(
    const AttemptId &attempt, const std::string &step, const std::string &peer, const std::string &detail) -> void
{
    timeline_.record(
        {.request_ = attempt.requestId_, .attempt_ = attempt.number_, .step_ = step, .peer_ = peer, .detail_ = detail});
    log_.with(observe::fieldsOf(attempt)).debug(step, {{"step", step}, {"peer", peer}, {"detail", detail}});
}

} // namespace jasminewood::node
