#pragma once

#include "jasminewood/core/ids.h"
#include "jasminewood/membership/upstream_directory.h"

// Identifies an upstream for decisions that hold for one incarnation of it.

namespace jasminewood::forward::internal
{

inline auto nodeIdOf(const membership::UpstreamRecord &record) -> NodeId
{
    return {.name_ = record.id_, .incarnation_ = std::uint64_t(record.incarnation_)};
}

} // namespace jasminewood::forward::internal
