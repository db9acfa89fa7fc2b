#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/client.h"
#include "jasminewood/http/server.h"
#include "jasminewood/membership/directory.h"
#include "jasminewood/routes/configuration.h"
#include "jasminewood/routing/prefix_memory.h"

// The values that callers, upstreams and the operators' documents exchange with this router, and the functions that
// parse and write them. A platform adapter supplies one instance; no other part of this package depends on the field
// names of a platform.

namespace jasminewood::forward
{

// The token counts and the prefix of a request to a model engine.
struct Prompt
{
    const std::string model_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t maximumOutputTokens_ = 0;
    // The caller's estimate of the output tokens.
    const std::optional<std::uint32_t> expectedOutputTokens_;
    // The segments of the prompt, in order. The last one is unique to this request or its session; the segments before
    // it may be shared with other requests.
    const std::vector<routing::PromptPart> parts_;

    auto operator<=>(const Prompt &) const = default;
};

// The metadata of a caller's request.
struct Demand
{
    // Chosen by the caller, a different one for each of its attempts; empty if the caller sent none.
    const std::string id_;
    const std::string host_;
    // The API key; empty if the request carries none.
    const std::string key_;
    // The time until the caller's timeout; empty if the caller does not state it.
    const std::optional<Milliseconds> patience_;
    const std::optional<Prompt> prompt_;

    auto operator<=>(const Demand &) const = default;
};

// What this router adds to the caller's request for the upstream.
struct Order
{
    // The upstream that the request is meant for; any other upstream refuses it.
    const std::string upstreamId_;
    // The client account; empty if the caller has none.
    const std::string account_;
    // The time until the deadline of the request.
    const Milliseconds patience_ = Milliseconds(0);
    // 0 is the highest priority.
    const std::uint32_t urgency_ = 0;
    // Whether enginePriority_ applies; false for a request without a prompt.
    const bool prioritised_ = false;
    // The id of the last event that the caller received of an interrupted stream; empty for a new stream.
    const std::string resumeAfter_;

    auto operator<=>(const Order &) const = default;
};

// The load that an upstream reports with a response.
struct LoadReport
{
    const std::uint32_t running_ = 0;
    const std::uint32_t waiting_ = 0;
    const std::uint32_t slots_ = 0;
    // Current duration of work relative to its usual duration.
    const double slowness_ = 1;

    auto operator<=>(const LoadReport &) const = default;
};

// The metadata of a response, taken from its head.
struct AnswerFacts
{
    // The id of the request that the response belongs to; empty if the response names none.
    const std::string id_;
    // True if the response carries the signature that upstreams add to the response of a complete run.
    const bool genuine_ = false;
    // True if the upstream guarantees that the request did not run and never will.
    const bool notRun_ = false;
    // True if the address belongs to another upstream than the one the request was meant for.
    const bool wrongUpstream_ = false;
    // True if the response is a stream of server-sent events.
    const bool stream_ = false;
    const std::optional<LoadReport> load_;

    auto operator<=>(const AnswerFacts &) const = default;
};

// The parsers and writers of one protocol.
struct Dialect
{
    // The key of the configuration in the store, and the key prefix of the upstreams' entries.
    const std::string configurationKey_;
    const std::string upstreamPrefix_;
    // The path of the readiness probe.
    const std::string readinessPath_;
    // Parsers fail with step "decode".
    const std::function<auto(const std::string &value)->Result<routes::Configuration>> readConfiguration_;
    const std::function<auto(const std::string &key, const std::string &value)->Result<membership::UpstreamRecord>>
        readUpstream_;
    const std::function<auto(const http::Request &request)->Demand> readDemand_;
    // Returns the header fields of the request to the upstream, made from the end-to-end fields of the caller's
    // request.
    const std::function<auto(const std::vector<http::Header> &fields, const Order &order)->std::vector<http::Header>>
        writeOrder_;
    const std::function<auto(const http::ResponseHead &head)->AnswerFacts> readFacts_;
};

} // namespace jasminewood::forward
