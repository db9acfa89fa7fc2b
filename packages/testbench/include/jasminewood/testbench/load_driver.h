#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/testbench/load_plan.h"

// Sends a planned load to routers and records what came back.
//
//     const auto records = testbench::runLoad(plan, {.routers_ = {system.url("router-1")}});
//
// The load is open: a request is sent at its planned time whether or not earlier ones are answered. All times of a
// record count from the start of the run, and latencies count from the planned arrival, so that waiting in the client
// is not hidden. Requests are streamed, each on a thread and a connection of its own.

namespace jasminewood::testbench
{

// A stream with a valid end whose text is the one that the engine must give to this request.
struct CompleteResponse
{
    auto operator<=>(const CompleteResponse &) const = default;
};

// A stream with a valid end and another text.
struct WrongAnswer
{
    const std::string text_;

    auto operator<=>(const WrongAnswer &) const = default;
};

// An error of the router, as the whole response or at the end of the stream.
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
    // The X-Request-Id of the answer.
    const std::string requestId_;
    const Microseconds arrival_;
    const Microseconds sent_;
    const std::optional<Microseconds> firstToken_;
    const Microseconds end_;
    // Tokens received.
    const std::size_t tokens_ = 0;
    const Outcome outcome_;

    auto operator<=>(const RequestRecord &) const = default;
};

struct LoadOptions
{
    // Base URLs, taken in turn.
    const std::vector<std::string> routers_;
    // Further arrivals wait while so many requests are in flight. With a plan whose arrivals are all at 0 this makes a
    // closed loop.
    const std::size_t maximumInFlight_ = 1'024;
    const Milliseconds requestTimeout_ = Milliseconds(20'000);
};

// Runs the plan to its end and returns one record for each request, in order of their ends. The bearer key of account
// NAME is demo-key-NAME.
auto runLoad(const std::vector<PlannedRequest> &plan, const LoadOptions &options) -> std::vector<RequestRecord>;

// Sends one request to a router or an engine, with a start of its own at which arrival_ is 0.
auto sendRequest(const std::string &baseUrl, const PlannedRequest &request, Milliseconds timeout) -> RequestRecord;

} // namespace jasminewood::testbench
