#pragma once

#include <functional>
#include <string>

#include "jasminewood/core/ids.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/observe/log.h"
#include "jasminewood/observe/metrics.h"
#include "jasminewood/observe/timeline.h"
#include "jasminewood/wire/messages.h"

// Service "environment": the identity of this process, and its log, time line and metrics.
//
//     environment->recordEvent(attempt, "dispatch", agent.name_);
//     environment->log().info("listening", {{"address", address}});

namespace jasminewood::node
{

struct ProcessIdentity
{
    const NodeId node_;
    const wire::Role role_ = wire::Role::Router;
    const std::string dataCentre_;
    // Pool of the agent's upstream; empty for routers.
    const std::string pool_;

    auto operator<=>(const ProcessIdentity &) const = default;
};

// Returns an identity with a new incarnation: the current time in ns, which increases with each restart.
auto createIdentity(const std::string &name, wire::Role role, const std::string &dataCentre, const std::string &pool)
    -> ProcessIdentity;

// Returns the Hello message of this process.
auto createHello(const ProcessIdentity &identity) -> wire::Hello;

// Thread-safe.
class Environment
{
public:
    // The log is written to the file descriptor; 2 is standard error.
    Environment(const ProcessIdentity &identity, observe::Level level, int logDescriptor = 2,
        observe::Overflow overflow = observe::Overflow::Block);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    auto identity() const -> const ProcessIdentity &;
    auto log() const -> const observe::Log &;
    auto timeline() -> observe::Timeline &;
    auto metrics() const -> const observe::Metrics &;

    // Calls a function on a thread whose other code handles no exception. An exception is logged with the step and
    // counted, and ends only this call. Returns whether the function completed.
    auto contain(const std::string &step, const std::function<auto()->void> &function) const -> bool;

    // Records an event of an attempt in the time line, and in the log at level debug.
    auto recordEvent(const AttemptId &attempt, const std::string &step, const std::string &peer = {},
        const std::string &detail = {}) -> void;

private:
    const ProcessIdentity identity_;
    const observe::Log log_;
    observe::Timeline timeline_;
    const observe::Metrics metrics_;
};

} // namespace jasminewood::node
