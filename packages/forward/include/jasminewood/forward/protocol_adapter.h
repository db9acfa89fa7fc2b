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
#include "jasminewood/membership/upstream_directory.h"
#include "jasminewood/platform/key_value_types.h"
#include "jasminewood/routes/configuration.h"
#include "jasminewood/routing/prefix_cache_model.h"
#include "jasminewood/routing/upstream_rate_limits.h"

// The protocol that this router uses with callers and upstreams and in the operators' documents: its values, and the
// functions that parse and write them. A platform adapter supplies one instance; no other part of this package depends
// on the field names of a platform.

namespace jasminewood::forward
{

// The model, the token counts and the prompt segments of a request to a model engine.
struct PromptInfo
{
    const std::string model_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t maximumOutputTokens_ = 0;
    // The caller's estimate of the output tokens.
    const std::optional<std::uint32_t> expectedOutputTokens_;
    // The segments of the prompt, in order. The last one is unique to this request or its session; the segments before
    // it may be shared with other requests.
    const std::vector<routing::PromptSegment> segments_;

    auto operator<=>(const PromptInfo &) const = default;
};

// The metadata of a caller's request.
struct RequestMetadata
{
    // Chosen by the caller, which uses a new id when it retries; empty if the caller sent none.
    const std::string requestId_;
    const std::string host_;
    // The API key; empty if the request carries none.
    const std::string apiKey_;
    // The time until the caller's timeout; empty if the caller does not state it.
    const std::optional<Milliseconds> remainingTime_;
    const std::optional<PromptInfo> prompt_;
    // The id of the last event that the caller received of the stream that it resumes; empty for a new stream.
    const std::string lastEventId_ = {};
    // The id of the request that brought the first event of that stream; empty if the caller does not name it.
    const std::string resumedRequestId_ = {};

    auto operator<=>(const RequestMetadata &) const = default;
};

// What this router adds to the caller's request for the upstream.
struct UpstreamRequestMetadata
{
    // The upstream that the request is meant for; any other upstream refuses it.
    const std::string upstreamId_;
    // The client account; empty if the caller has none.
    const std::string account_;
    // The time until the deadline of the request.
    const Milliseconds remainingTime_ = Milliseconds(0);
    // 0 is the highest priority.
    const std::uint32_t enginePriority_ = 0;
    // Whether enginePriority_ applies; false for a request without a prompt.
    const bool hasEnginePriority_ = false;
    // The id of the last event that the caller received of an interrupted stream; empty for a new stream.
    const std::string lastEventId_;

    auto operator<=>(const UpstreamRequestMetadata &) const = default;
};

// The load that an upstream reports with a response.
struct LoadReport
{
    const std::uint32_t running_ = 0;
    const std::uint32_t waiting_ = 0;
    const std::uint32_t slots_ = 0;
    // The current duration of a unit of work divided by its usual duration: 1 is normal, 2 is half the speed.
    const double slowness_ = 1;

    auto operator<=>(const LoadReport &) const = default;
};

// The metadata of a response, taken from its head.
struct ResponseMetadata
{
    // The id of the request that the response belongs to; empty if the response names none.
    const std::string requestId_;
    // True if the response carries the signature header that upstreams add to the response of a complete run. Only its
    // presence is checked.
    const bool hasSignature_ = false;
    // True if the upstream guarantees that the request did not run and never will.
    const bool notRun_ = false;
    // True if the address belongs to another upstream than the one the request was meant for.
    const bool misdirected_ = false;
    // True if the upstream shuts down and takes no new requests.
    const bool leaving_ = false;
    // How long the upstream, which is unavailable, wants no further request; empty if it does not say so.
    const std::optional<Milliseconds> retryAfter_;
    // The request rate that the upstream names for all routers together.
    const routing::RateLimitStatement rateLimit_ = routing::NoRateLimit {};
    // True if the response is a stream of server-sent events.
    const bool isEventStream_ = false;
    const std::optional<LoadReport> load_;

    auto operator<=>(const ResponseMetadata &) const = default;
};

// The parsers and writers of one protocol.
struct ProtocolAdapter
{
    // The key of the configuration in the store, and the key prefix of the upstreams' entries.
    const std::string configurationKey_;
    const std::string upstreamPrefix_;
    // The path of the readiness probe.
    const std::string readinessPath_;
    // Parsers fail with step "decode".
    const std::function<auto(const std::string &value)->Result<routes::Configuration>> parseConfiguration_;
    const std::function<auto(const platform::KeyValue &entry)->Result<membership::UpstreamRecord>> parseUpstream_;
    const std::function<auto(const http::Request &request)->RequestMetadata> parseRequestMetadata_;
    // Returns the header fields of the request to the upstream, made from the end-to-end fields of the caller's
    // request.
    const std::function<auto(const std::vector<http::HeaderField> &fields, const UpstreamRequestMetadata &metadata)
                            ->std::vector<http::HeaderField>>
        makeUpstreamHeaders_;
    const std::function<auto(const http::ResponseHead &head)->ResponseMetadata> parseResponseMetadata_;
};

} // namespace jasminewood::forward
