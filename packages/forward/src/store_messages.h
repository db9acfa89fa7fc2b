#pragma once

#include <cstdint>

#include "jasminewood/relay/feed_state.h"
#include "jasminewood/wire/messages.h"

// Converts between the values of package relay and the messages between routers.

namespace jasminewood::forward::internal
{

auto makeFollow(const relay::FollowRequest &request) -> wire::StoreFollow;
auto parseFollow(const wire::StoreFollow &message) -> relay::FollowRequest;

auto makeChanges(const NodeId &self, const relay::Update &update, std::uint64_t outages) -> wire::StoreChanges;
auto parseChanges(const wire::StoreChanges &message) -> relay::Update;

} // namespace jasminewood::forward::internal
