#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/load_plan.h"

// Sends a planned load to routers and records the outcome of each request.
//
//     const auto records = testbench::runLoad(plan, {.routers_ = {system.url("router-1")}});
//
// The load is an open loop: each request is sent at its planned time whether or not earlier ones have completed. All
// times of a record are relative to the start of the run. Latencies are measured from the planned arrival, so that they
// include time spent waiting in the client. Requests are streamed, each on its own thread and connection.

namespace jasminewood::testbench
{

// A correctly terminated stream whose text is the expected output of the engine for this request.
struct CompleteResponse
{
    auto operator<=>(const CompleteResponse &) const = default;
};

// A correctly terminated stream with a text other than the expected one.
struct WrongAnswer
{
    const std::string text_;

    auto operator<=>(const WrongAnswer &) const = default;
};

// An error from the router, as the entire response or as the last event of the stream.
struct ErrorAnswer
{
    const int status_ = 0;
    const std::string runState_;
    const std::string step_;
    const std::string message_;

    auto operator<=>(const ErrorAnswer &) const = default;
};

// The connection failed, or the stream ended without an end marker or error.
struct TruncatedResponse
{
    const std::string reason_;

    auto operator<=>(const TruncatedResponse &) const = default;
};

using Outcome = std::variant<CompleteResponse, WrongAnswer, ErrorAnswer, TruncatedResponse>;

struct RequestRecord
{
    const std::string group_;
    const std::string requestClass_;
    const std::string account_;
    // X-Request-Id of the response.
    const std::string requestId_;
    const Microseconds arrival_;
    const Microseconds sent_;
    const std::optional<Microseconds> firstToken_;
    const Microseconds end_;
    // Number of tokens received.
    const std::size_t tokens_ = 0;
    const Outcome outcome_;

    auto operator<=>(const RequestRecord &) const = default;
};

struct LoadOptions
{
    // Base URLs; requests are distributed over them round-robin.
    const std::vector<std::string> routers_;
    // Arrivals wait while this many requests are in flight. If all arrivals of the plan are at 0, the load is a closed
    // loop.
    const std::size_t maximumInFlight_ = 1'024;
    const Milliseconds requestTimeout_ = Milliseconds(20'000);
};

// Runs the plan to completion and returns one record for each request, in the order in which they ended. The bearer key
// of account NAME is demo-key-NAME.
auto runLoad(const std::vector<PlannedRequest> &plan, const LoadOptions &options) -> std::vector<RequestRecord>;

// Sends one request to a router or an engine. The times of the record are relative to this call, so the arrival_ of the
// request should be 0.
auto sendRequest(const std::string &baseUrl, const PlannedRequest &request, Milliseconds timeout) -> RequestRecord;

} // namespace jasminewood::testbench
