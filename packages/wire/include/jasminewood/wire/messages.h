#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/failure.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/core/tier.h"

// The messages between the system's own processes. The values know nothing of their encoding; codec.h encodes them.
//
//     const auto message = wire::Message{wire::Cancel{.attempt_ = attempt}};

namespace jasminewood::wire
{

// A peer with another version is refused at Hello.
constexpr std::uint32_t protocolVersion = 3;

enum class Role : std::uint8_t
{
    Router,
    Agent,
};

// What an agent knows of its own upstream and gate.
struct LoadReport
{
    const std::uint32_t running_ = 0;
    // Slots that a new attempt could take at once.
    const std::uint32_t freeSlots_ = 0;
    const std::array<std::uint32_t, tierCount> queuedByTier_ = {};
    // Moving averages over the agent's own measurements; zero while nothing was measured.
    const Microseconds timeToFirstToken_ = Microseconds(0);
    const Microseconds interTokenLatency_ = Microseconds(0);
    const bool leaving_ = false;

    auto operator<=>(const LoadReport &) const = default;
};

// First message in each direction on a connection.
struct Hello
{
    const std::uint32_t version_ = protocolVersion;
    const NodeId node_;
    const Role role_ = Role::Router;
    const std::string dataCentre_;
    // Name of the pool that an agent's upstream belongs to; empty for routers.
    const std::string pool_;

    auto operator<=>(const Hello &) const = default;
};

// Sent at least every heartbeat interval; agents add their load.
struct Heartbeat
{
    const std::uint64_t sequence_ = 0;
    const std::optional<LoadReport> load_;

    auto operator<=>(const Heartbeat &) const = default;
};

// Router to agent: run this attempt. Answered by Started, Frames and Finished, or by Failed.
struct Dispatch
{
    const AttemptId attempt_;
    // The agent refuses a dispatch meant for another incarnation, so that a late dispatch cannot reach a successor that
    // does not know which attempts were voided.
    const std::uint64_t expectedIncarnation_ = 0;
    const std::string account_;
    const std::string requestClass_;
    const Tier tier_ = lowestTier;
    // HTTP method and path at the upstream, for example "POST" and "/v1/chat/completions".
    const std::string method_;
    const std::string path_;
    const std::string body_;
    const std::string contentType_;
    // Passed on to the upstream; empty if the caller sent none.
    const std::string idempotencyKey_;
    const bool stream_ = false;
    const bool idempotent_ = true;
    // True if the request is suspected of crashing upstreams; at most one such attempt runs at a time.
    const bool suspect_ = false;
    // Longest time in the agent's queue; afterwards the attempt fails as not run.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // Estimated work in output tokens.
    const std::uint32_t costEstimate_ = 0;
    // Output that an earlier attempt has already delivered to the caller; the upstream continues after it.
    const std::string resumeText_;
    const std::uint32_t resumeTokens_ = 0;

    auto operator<=>(const Dispatch &) const = default;
};

// Agent to router: the attempt left the queue and its call to the upstream begins.
struct Started
{
    const AttemptId attempt_;

    auto operator<=>(const Started &) const = default;
};

// Output of an attempt from byte offset_ on. Offsets count output bytes of this attempt only.
struct Frame
{
    const AttemptId attempt_;
    const std::uint64_t offset_ = 0;
    const std::string data_;

    auto operator<=>(const Frame &) const = default;
};

// The attempt is complete: length and digest (XXH3-64) cover all its output bytes.
struct Finished
{
    const AttemptId attempt_;
    const std::uint64_t length_ = 0;
    const std::uint64_t digest_ = 0;
    // HTTP status of the upstream.
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    // The engine's reason, for example "stop" or "length"; empty for plain services.
    const std::string finishReason_;
    // As the engine counts them; zero for plain services.
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const Finished &) const = default;
};

// The attempt ended without a whole answer.
struct Failed
{
    const AttemptId attempt_;
    const Failure failure_;
    // Identifies the crash, "AGENT@INCARNATION/COUNT", if the upstream's process died while the attempt ran; else
    // empty.
    const std::string crashId_;
    // Output tokens produced and thrown away.
    const std::uint32_t wastedTokens_ = 0;

    auto operator<=>(const Failed &) const = default;
};

// Router to agent: stop the attempt. Answered by Failed, with NotRun if it had not started.
struct Cancel
{
    const AttemptId attempt_;

    auto operator<=>(const Cancel &) const = default;
};

// Router to agent on a new connection: send the attempt's output again from offset_ on.
struct Attach
{
    const AttemptId attempt_;
    const std::uint64_t offset_ = 0;

    auto operator<=>(const Attach &) const = default;
};

// Router to agent: if the attempt has not started, make sure that it never will.
struct Void
{
    const AttemptId attempt_;

    auto operator<=>(const Void &) const = default;
};

// A whole answer of an upstream.
struct UpstreamResponse
{
    // HTTP status of the upstream.
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string body_;

    auto operator<=>(const UpstreamResponse &) const = default;
};

// Answer to Void. NotRun: voided for good. Ran: response_ holds the output. MayHaveRun: it is running now.
struct Voided
{
    const AttemptId attempt_;
    const RunState runState_ = RunState::MayHaveRun;
    const std::optional<UpstreamResponse> response_;

    auto operator<=>(const Voided &) const = default;
};

// Agent to router: no new work from now on; work in flight goes on.
struct Leaving
{
    auto operator<=>(const Leaving &) const = default;
};

// The manifest as accepted under this revision of the key-value service.
struct ManifestUpdate
{
    const std::uint64_t revision_ = 0;
    const std::string text_;

    auto operator<=>(const ManifestUpdate &) const = default;
};

// What one router has admitted of one account since its start.
struct AccountUsage
{
    const std::uint64_t requests_ = 0;
    // Estimated output tokens.
    const std::uint64_t work_ = 0;

    auto operator<=>(const AccountUsage &) const = default;
};

// Router to router: the totals of the accounts that were used lately. They never decrease, so the receiver keeps the
// maximum.
struct AccountUsageReport
{
    const NodeId router_;
    const std::map<std::string, AccountUsage> accounts_;

    auto operator<=>(const AccountUsageReport &) const = default;
};

// A part of a prompt that several requests share.
struct SharedSegment
{
    const std::uint64_t id_ = 0;
    const std::uint32_t tokens_ = 0;

    auto operator<=>(const SharedSegment &) const = default;
};

// The shared parts of one prompt, in order, that went to one engine and are now in its cache.
struct RoutedPrompt
{
    const std::string engine_;
    const std::vector<SharedSegment> segments_;

    auto operator<=>(const RoutedPrompt &) const = default;
};

// What a router has at one engine.
struct EngineLoad
{
    // Prompt tokens that the engine has not read yet.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Requests that were sent there and are not over.
    const std::uint32_t inFlightRequests_ = 0;

    auto operator<=>(const EngineLoad &) const = default;
};

// The recent requests of one route at one router; older ones count less.
struct RoutePromptStats
{
    const std::string service_;
    const std::string route_;
    // In thousandths of a request.
    const std::uint64_t milliRequests_ = 0;
    // Tokens of the parts of prompts that no other request shares.
    const std::uint64_t tokens_ = 0;

    auto operator<=>(const RoutePromptStats &) const = default;
};

// Router to router: what the sender gave to model engines.
struct EngineUsageReport
{
    const NodeId router_;
    // True if this router has nothing at engines that are not named; else it has as much as before.
    const bool complete_ = false;
    const std::map<std::string, EngineLoad> engines_;
    // Prompts given since the last message, the oldest first.
    const std::vector<RoutedPrompt> prompts_;
    // The mix of prompts that arrived at the sender; empty if the message does not tell it.
    const std::vector<RoutePromptStats> promptStats_;

    auto operator<=>(const EngineUsageReport &) const = default;
};

// Router to router: one crash that a request fingerprint was part of. Receivers merge by crash id.
struct CrashReport
{
    const std::uint64_t fingerprint_ = 0;
    // Identifies the crash, not the request: "AGENT@INCARNATION/COUNT".
    const std::string crashId_;
    // Time since the crash.
    const Milliseconds age_ = Milliseconds(0);
    // True if a request with this fingerprint has completed since.
    const bool cleared_ = false;

    auto operator<=>(const CrashReport &) const = default;
};

struct CrashReports
{
    const std::vector<CrashReport> reports_;

    auto operator<=>(const CrashReports &) const = default;
};

// Router to agent: start leaving.
struct Drain
{
    auto operator<=>(const Drain &) const = default;
};

// Asks for the events of a request, or of a span of time if request_ is empty. Answered by TimelineReply.
struct TimelineQuery
{
    const std::uint64_t query_ = 0;
    const std::string request_;
    // Microseconds since the epoch.
    const std::uint64_t fromMicros_ = 0;
    const std::uint64_t toMicros_ = 0;

    auto operator<=>(const TimelineQuery &) const = default;
};

struct TimelineReply
{
    const std::uint64_t query_ = 0;
    // JSON array of events, as package observe writes it.
    const std::string events_;

    auto operator<=>(const TimelineReply &) const = default;
};

using Message = std::variant<Hello, Heartbeat, Dispatch, Started, Frame, Finished, Failed, Cancel, Attach, Void, Voided,
    Leaving, ManifestUpdate, AccountUsageReport, CrashReports, Drain, TimelineQuery, TimelineReply, EngineUsageReport>;

} // namespace jasminewood::wire
