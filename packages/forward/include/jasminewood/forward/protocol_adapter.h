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
#include "jasminewood/routes/configuration.h"
#include "jasminewood/routing/prefix_cache_model.h"

// What callers, upstreams and the operators' documents say, as values, and the functions that read and write them. An
// adapter supplies one Dialect; no other part of this package knows a name of its fields.

namespace jasminewood::forward
{

// The size of a request to a model engine.
struct PromptInfo
{
    const std::string model_;
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t maximumOutputTokens_ = 0;
    // The caller's estimate of the output tokens.
    const std::optional<std::uint32_t> expectedOutputTokens_;
    // In the order of the prompt. The last part belongs to this request or its session.
    const std::vector<routing::PromptSegment> segments_;

    auto operator<=>(const PromptInfo &) const = default;
};

// What a caller's request says about itself.
struct RequestMetadata
{
    // Given by the caller, one for each of its attempts; empty if it gave none.
    const std::string requestId_;
    const std::string host_;
    // Empty if the request carries none.
    const std::string apiKey_;
    // How much longer the caller waits; empty if it does not say.
    const std::optional<Milliseconds> remainingTime_;
    const std::optional<PromptInfo> prompt_;

    auto operator<=>(const RequestMetadata &) const = default;
};

// What this system tells the upstream besides the caller's request.
struct UpstreamRequestMetadata
{
    // The upstream refuses an order for another one.
    const std::string upstreamId_;
    // Empty if the caller has no account.
    const std::string account_;
    // How much longer the answer is of use.
    const Milliseconds remainingTime_ = Milliseconds(0);
    // 0 is the most urgent.
    const std::uint32_t enginePriority_ = 0;
    // False for a request without a prompt.
    const bool hasPriority_ = false;
    // The id of the last event that the caller has of a broken stream; empty for a new one.
    const std::string lastEventId_;

    auto operator<=>(const UpstreamRequestMetadata &) const = default;
};

// An upstream's load as it stated it with an answer.
struct LoadReport
{
    const std::uint32_t running_ = 0;
    const std::uint32_t waiting_ = 0;
    const std::uint32_t slots_ = 0;
    // How long work takes at present, relative to the usual time.
    const double slowness_ = 1;

    auto operator<=>(const LoadReport &) const = default;
};

// What the beginning of an answer says.
struct ResponseMetadata
{
    // The id of the request that the answer belongs to; empty if it names none.
    const std::string requestId_;
    // True if the answer bears the mark of a complete run.
    const bool authentic_ = false;
    // True if the upstream promises that the request did not run and never will.
    const bool notRun_ = false;
    // True if the upstream is not the one that the order named.
    const bool misdirected_ = false;
    // True if the answer is a stream of events.
    const bool isEventStream_ = false;
    const std::optional<LoadReport> load_;

    auto operator<=>(const ResponseMetadata &) const = default;
};

struct ProtocolAdapter
{
    // The key of the configuration, and the prefix of the upstreams' entries, in the store.
    const std::string configurationKey_;
    const std::string upstreamPrefix_;
    // The path of the readiness probe.
    const std::string readinessPath_;
    // Readers fail with step "decode".
    const std::function<auto(const std::string &value)->Result<routes::Configuration>> parseConfiguration_;
    const std::function<auto(const std::string &key, const std::string &value)->Result<membership::UpstreamRecord>>
        parseUpstream_;
    const std::function<auto(const http::Request &request)->RequestMetadata> parseRequestMetadata_;
    // Returns the fields of the request to the upstream, out of those of the caller's request that concern more than
    // one connection.
    const std::function<auto(const std::vector<http::HeaderField> &fields, const UpstreamRequestMetadata &order)
                            ->std::vector<http::HeaderField>>
        makeUpstreamHeaders_;
    const std::function<auto(const http::ResponseHead &head)->ResponseMetadata> parseResponseMetadata_;
};

} // namespace jasminewood::forward
