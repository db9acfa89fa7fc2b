#pragma once

#include <cstddef>
#include <string>

#include "jasminewood/wire/messages.h"

// Generates inputs of given sizes for the measurements, with names as long as in a real deployment.

namespace jasminewood::slopes
{

constexpr std::size_t sampleClasses = 4;
constexpr std::size_t sampleModels = 25;

// Returns "account-00017" and the like.
auto accountName(std::size_t index) -> std::string;

// Returns the text of a manifest with 25 models, 25 pools, 4 classes and this many accounts.
auto manifestText(std::size_t accounts) -> std::string;

// Returns the usage report of this many accounts, each with totals of several thousand requests.
auto usageOf(std::size_t accounts) -> wire::AccountUsageReport;

// Returns the heartbeat of a busy agent.
auto loadedHeartbeat() -> wire::Heartbeat;

} // namespace jasminewood::slopes
