#pragma once

#include "jasminewood/manifest/manifest.h"
#include "jasminewood/scheduling/attempt_scheduler.h"

// The policies of the gate's scheduler.

namespace jasminewood::agent::internal
{

// Returns the policy that applies until the first manifest.
auto initialPolicy() -> scheduling::SchedulerPolicy;

// Returns the policy that the manifest states for the upstreams of the pool.
auto makeSchedulerPolicy(const manifest::Manifest &manifest, const manifest::Pool &pool) -> scheduling::SchedulerPolicy;

} // namespace jasminewood::agent::internal
