#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "jasminewood/forward/upstream_pool.h"

// A model of engines and routers under overload, in steps of a few milliseconds and with a seed.
//
// An engine admits up to `slots` requests, the most urgent first, and prefills their prompts in the order of admission,
// beside the output tokens of running requests. Each router has an UpstreamPool of its own and receives the reports of
// the others late, or not at all.

namespace jasminewood::forward
{

enum class SendingPolicy : std::uint8_t
{
    // All requests are sent at once, in one group for each rank.
    AtOnce,
    // Late requests have an urgency of their own and wait in their router.
    ByDeadline,
};

// A class of requests.
struct TrafficClass
{
    const std::string name_;
    const std::uint32_t rank_ = 0;
    const std::uint32_t minimumTokens_ = 0;
    const std::uint32_t maximumTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;
    const Milliseconds target_ = Milliseconds(0);
    const Milliseconds timeout_ = Milliseconds(0);
    const double requestsPerSecond_ = 0;
    // The share of the requests whose prompts begin with one and the same segment of half of their tokens.
    const double hotShare_ = 0;
};

struct Burst
{
    const std::string class_;
    const Milliseconds from_ = Milliseconds(0);
    const Milliseconds until_ = Milliseconds(0);
    const double factor_ = 1;
};

struct Outage
{
    const std::size_t engines_ = 0;
    const Milliseconds from_ = Milliseconds(0);
    const Milliseconds until_ = Milliseconds(0);
};

struct OverloadScenario
{
    // One engine for each speed, relative to that of a usual one.
    const std::vector<double> speeds_;
    const std::size_t routers_ = 1;
    const std::vector<TrafficClass> classes_;
    const std::vector<Burst> bursts_;
    const Outage outage_;
    const double reportLoss_ = 0.02;
    const Milliseconds duration_ = Milliseconds(25'000);
};

// Requests of one class and size.
struct Served
{
    int inTime_ = 0;
    int late_ = 0;
    // Neither in time nor late: no complete response by the timeout.
    int lost_ = 0;
    // Without an upstream.
    int refused_ = 0;

    auto answered() const -> int;
    auto total() const -> int;
};

// By class, and by class followed by "/largest" for the tenth of each class with the longest prompts.
using ServedByClass = std::map<std::string, Served>;

// Returns what becomes of all requests.
auto runOverloadModel(const OverloadScenario &scenario, SendingPolicy policy, std::uint32_t seed) -> ServedByClass;

} // namespace jasminewood::forward
