#pragma once

#include "connection_registry.h"
#include "jasminewood/http/server.h"
#include "receiving_bodies.h"

// What the connections of a server share.

namespace jasminewood::http::internal
{

// Thread-safe.
struct ServerContext
{
    const ServerOptions options_;
    const Handler handler_;
    const UnservedListener onUnserved_;
    const LimitsSource limits_;
    const AdmissionCheck check_;
    ConnectionRegistry connections_;
    ReceivingBodies bodies_;

    // Returns the limits in force.
    auto currentLimits() const -> ConnectionLimits
    {
        return limits_
            ? limits_()
            : ConnectionLimits {.maximumBodyBytes_ = options_.maximumBodyBytes_, .idleTimeout_ = options_.idleTimeout_};
    }

    auto reportUnserved(const UnservedRequest &request) const -> void
    {
        if (onUnserved_) {
            onUnserved_(request);
        }
    }
};

} // namespace jasminewood::http::internal
