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

// The messages between the system's own processes. The types are independent of the encoding, which codec.h implements.
//
//     const auto message = wire::Message{wire::Cancel{.attempt_ = attempt}};

namespace jasminewood::wire
{

// A peer with another version is rejected during the Hello exchange.
constexpr std::uint32_t protocolVersion = 3;

enum class Role : std::uint8_t
{
    Router,
    Agent,
};

// The load of an agent's scheduler and upstream.
struct LoadReport
{
    const std::uint32_t running_ = 0;
    // Slots that are available to new attempts at once.
    const std::uint32_t freeSlots_ = 0;
    const std::array<std::uint32_t, tierCount> queuedByTier_ = {};
    // Moving averages of the agent's own measurements; zero before the first measurement.
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

// Sent at least once per heartbeat interval; agents include their load.
struct Heartbeat
{
    const std::uint64_t sequence_ = 0;
    const std::optional<LoadReport> load_;

    auto operator<=>(const Heartbeat &) const = default;
};

// Router to agent: run this attempt. The replies are Started, Frames and Finished, or Failed.
struct Dispatch
{
    const AttemptId attempt_;
    // The agent rejects a dispatch for another incarnation. Otherwise a delayed dispatch could reach a restarted agent,
    // which has no record of the attempts that were voided.
    const std::uint64_t expectedIncarnation_ = 0;
    const std::string account_;
    const std::string requestClass_;
    const Tier tier_ = lowestTier;
    // HTTP method and path at the upstream, for example "POST" and "/v1/chat/completions".
    const std::string method_;
    const std::string path_;
    const std::string body_;
    const std::string contentType_;
    // Forwarded to the upstream; empty if the caller sent none.
    const std::string idempotencyKey_;
    // True if the attempt can be resumed after its output so far.
    const bool resumable_ = false;
    const bool idempotent_ = true;
    // True if the request is suspected of crashing upstreams; at most one such attempt runs at a time.
    const bool crashSuspect_ = false;
    // Longest time in the agent's queue; after it, the attempt fails with NotRun.
    const Milliseconds maximumWait_ = Milliseconds(0);
    // Estimated work, in output tokens.
    const std::uint32_t costEstimate_ = 0;
    // Output of earlier attempts that the caller has already received; the upstream continues after it.
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

// Output of an attempt, beginning at byte offset_. Offsets count the output bytes of this attempt only.
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
    // The engine's finish reason, for example "stop" or "length"; empty for plain services.
    const std::string finishReason_;
    // As counted by the engine; zero for plain services.
    const std::uint32_t promptTokens_ = 0;
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const Finished &) const = default;
};

// The attempt ended without a complete response.
struct Failed
{
    const AttemptId attempt_;
    const Failure failure_;
    // Identifies the crash, "AGENT@INCARNATION/COUNT", if the upstream's process died while the attempt ran; else
    // empty.
    const std::string crashId_;
    // Output tokens that were generated and discarded.
    const std::uint32_t outputTokens_ = 0;

    auto operator<=>(const Failed &) const = default;
};

// Router to agent: stop the attempt. The reply is Failed, with NotRun if the attempt had not started.
struct Cancel
{
    const AttemptId attempt_;

    auto operator<=>(const Cancel &) const = default;
};

// Router to agent, on a new connection: resend the attempt's output, beginning at byte offset_, and continue.
struct Attach
{
    const AttemptId attempt_;
    const std::uint64_t offset_ = 0;

    auto operator<=>(const Attach &) const = default;
};

// Router to agent: if the attempt has not started, prevent it from ever starting.
struct Void
{
    const AttemptId attempt_;

    auto operator<=>(const Void &) const = default;
};

// A complete response of an upstream.
struct UpstreamResponse
{
    // HTTP status of the upstream.
    const std::uint16_t status_ = 0;
    const std::string contentType_;
    const std::string body_;

    auto operator<=>(const UpstreamResponse &) const = default;
};

// Reply to Void. NotRun: the attempt is permanently voided. Ran: response_ holds the output. MayHaveRun: it is running.
struct VoidReply
{
    const AttemptId attempt_;
    const RunState runState_ = RunState::MayHaveRun;
    const std::optional<UpstreamResponse> response_;

    auto operator<=>(const VoidReply &) const = default;
};

// Agent to router: the agent accepts no new attempts; attempts in flight continue.
struct Leaving
{
    auto operator<=>(const Leaving &) const = default;
};

// The manifest that was accepted at this revision of the key-value service.
struct ManifestUpdate
{
    const std::uint64_t revision_ = 0;
    const std::string text_;

    auto operator<=>(const ManifestUpdate &) const = default;
};

// The requests of one account that one router has admitted since its start.
struct AccountUsage
{
    const std::uint64_t requests_ = 0;
    // Estimated output tokens.
    const std::uint64_t work_ = 0;

    auto operator<=>(const AccountUsage &) const = default;
};

// Router to router: the totals of the accounts that were active recently. They never decrease, so the receiver keeps
// the maximum.
struct AccountUsageReport
{
    const NodeId router_;
    const std::map<std::string, AccountUsage> accounts_;

    auto operator<=>(const AccountUsageReport &) const = default;
};

// A prompt segment that several requests share.
struct SharedSegment
{
    const std::uint64_t id_ = 0;
    const std::uint32_t tokens_ = 0;

    auto operator<=>(const SharedSegment &) const = default;
};

// The shared segments, in order, of a prompt that was routed to an engine and is now in its prefix cache.
struct RoutedPrompt
{
    const std::string engine_;
    const std::vector<SharedSegment> segments_;

    auto operator<=>(const RoutedPrompt &) const = default;
};

// The load that one router has placed on one engine.
struct EngineLoad
{
    // Prompt tokens whose prefill is not complete.
    const std::uint64_t pendingPrefillTokens_ = 0;
    // Requests that were sent to the engine and have not ended.
    const std::uint32_t inFlightRequests_ = 0;

    auto operator<=>(const EngineLoad &) const = default;
};

// Statistics of the recent prompts of one route at one router; older requests have less weight.
struct RoutePromptStats
{
    const std::string service_;
    const std::string route_;
    // The weighted number of requests, in thousandths.
    const std::uint64_t milliRequests_ = 0;
    // Tokens of prompt segments that no other request shares.
    const std::uint64_t unsharedTokens_ = 0;

    auto operator<=>(const RoutePromptStats &) const = default;
};

// Router to router: the sender's load on model engines and the prompts that it routed to them.
struct EngineUsageReport
{
    const NodeId router_;
    // True if the router has no load on engines that are not listed; else its load on them is unchanged.
    const bool complete_ = false;
    const std::map<std::string, EngineLoad> engines_;
    // Prompts that were routed since the last report, oldest first.
    const std::vector<RoutedPrompt> prompts_;
    // The mix of prompts that arrived at the sender; empty if the report does not include it.
    const std::vector<RoutePromptStats> promptStats_;

    auto operator<=>(const EngineUsageReport &) const = default;
};

// Router to router: asks for the changes of the platform's store that follow a revision.
struct StoreFollow
{
    const NodeId router_;
    // The era and the revision of the store up to which the sender has applied all changes.
    const std::uint64_t era_ = 0;
    const std::uint64_t appliedRevision_ = 0;
    // The reading of the sender's clock, in nanoseconds since an epoch that only the sender knows.
    const std::uint64_t stamp_ = 0;
    // The newest stamp that was returned to the sender; 0 if none was.
    const std::uint64_t confirmedStamp_ = 0;

    auto operator<=>(const StoreFollow &) const = default;
};

// One change of a key in the platform's store.
struct StoreChange
{
    const std::string key_;
    // Empty if the key was removed.
    const std::string value_;
    const std::uint64_t revision_ = 0;
    const bool removed_ = false;

    auto operator<=>(const StoreChange &) const = default;
};

// Router to router, in response to StoreFollow and after each change: all changes after one revision up to another one
// of the same era.
struct StoreChanges
{
    // The sender, and the process whose stamp is returned.
    const NodeId router_;
    const NodeId follower_;
    const std::uint64_t era_ = 0;
    const std::uint64_t afterRevision_ = 0;
    const std::uint64_t upToRevision_ = 0;
    const std::vector<StoreChange> changes_;
    // A stamp of the follower: the store had no changes after upToRevision_ when the sender received it; 0 if there is
    // none.
    const std::uint64_t confirmedStamp_ = 0;
    // The number of outages of the store that the sender has noticed.
    const std::uint64_t outages_ = 0;

    auto operator<=>(const StoreChanges &) const = default;
};

// Router to router: a part of the encoding of a message that exceeds a datagram.
struct Fragment
{
    // Distinguishes the messages of one sender.
    const std::uint64_t messageId_ = 0;
    const std::uint32_t index_ = 0;
    const std::uint32_t count_ = 0;
    const std::string data_;

    auto operator<=>(const Fragment &) const = default;
};

// Router to router: one crash while requests with this fingerprint were running. Receivers merge reports by crash id.
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

// A crash in which a request was lost.
struct FeatureCrash
{
    // Identifies the crash, not the request: a hash of the upstream's id and incarnation.
    const std::uint64_t crash_ = 0;
    // Time since the crash.
    const Milliseconds age_ = Milliseconds(0);
    // The crash in which the attempt before was lost if this one was a retry, else 0.
    const std::uint64_t previous_ = 0;
    // Whether the answers to all requests with the feature that were lost in it had begun.
    const bool answersBegan_ = false;

    auto operator<=>(const FeatureCrash &) const = default;
};

// What is held against a feature that requests share.
struct FeatureEvidence
{
    // The fingerprint of a whole request, or the id of a segment of a prompt.
    const bool isWholeRequest_ = false;
    const std::uint64_t id_ = 0;
    // Its position among the features of a request.
    const std::uint32_t depth_ = 0;
    const std::vector<FeatureCrash> crashes_;
    // Time since a request with the feature last went well, if one is known.
    const std::optional<Milliseconds> successAge_;

    auto operator<=>(const FeatureEvidence &) const = default;
};

// Router to router: the evidence from which requests that crash upstreams are found.
struct RequestCrashEvidence
{
    const NodeId router_;
    const std::vector<FeatureEvidence> features_;

    auto operator<=>(const RequestCrashEvidence &) const = default;
};

// Router to router, after the sender has read all entries of the store and after another router registered: the version
// of the configuration that the sender has in force. A router with a newer one replies with its own.
struct ConfigurationInForce
{
    const NodeId router_;
    const std::uint64_t version_ = 0;

    auto operator<=>(const ConfigurationInForce &) const = default;
};

// Router to router, at a regular interval: the open connections of the sender's callers.
struct CallerReport
{
    const NodeId router_;
    const std::uint32_t connections_ = 0;
    // For how long the load balancer has been told that the sender is ready, at most a day; empty while it is not
    // ready.
    const std::optional<Milliseconds> readyFor_;
    const std::string dataCentre_;
    // Processor capacity of the sender's VM, in thousandths of a core; 0 if unknown.
    const std::uint32_t capacity_ = 0;
    // Whether the sender makes callers connect to other routers, and whether it did so a short time ago.
    const bool isShedding_ = false;
    const bool hasShed_ = false;

    auto operator<=>(const CallerReport &) const = default;
};

// What an upstream said of the request rate that it takes from all routers together.
struct UpstreamRateLimit
{
    const NodeId upstream_;
    // Requests a second, in thousandths.
    const std::uint64_t milliPerSecond_ = 0;
    // Time since the limit was last named.
    const Milliseconds namedAge_ = Milliseconds(0);
    // Time since the last request was sent that got a response without a limit, if there was one.
    const std::optional<Milliseconds> unlimitedAge_;

    auto operator<=>(const UpstreamRateLimit &) const = default;
};

// Router to router: the rate limits that upstreams named to the sender or ended.
struct UpstreamRateLimitReport
{
    const NodeId router_;
    const std::vector<UpstreamRateLimit> limits_;

    auto operator<=>(const UpstreamRateLimitReport &) const = default;
};

// The requests of each account that began to run in one window of usage reporting at one router, so far.
struct UsageWindow
{
    const std::uint64_t number_ = 0;
    // Whether no further request can be counted in the window.
    const bool closed_ = false;
    // The requests of all accounts. The report may list only a part of the accounts.
    const std::uint64_t total_ = 0;
    const std::map<std::string, std::uint64_t> counts_;

    auto operator<=>(const UsageWindow &) const = default;
};

// Router to router, at a regular interval: the sender's counts of recent windows. Counts never decrease, so the
// receiver keeps the maximum.
struct UsageWindowReport
{
    const NodeId router_;
    const std::vector<UsageWindow> windows_;

    auto operator<=>(const UsageWindowReport &) const = default;
};

// Router to agent: start to leave.
struct Drain
{
    auto operator<=>(const Drain &) const = default;
};

// Requests the events of one request, or of a time range if request_ is empty. The reply is TimelineReply.
struct TimelineQuery
{
    const std::uint64_t queryId_ = 0;
    const std::string requestId_;
    // Microseconds since the epoch.
    const std::uint64_t fromMicros_ = 0;
    const std::uint64_t toMicros_ = 0;

    auto operator<=>(const TimelineQuery &) const = default;
};

struct TimelineReply
{
    const std::uint64_t queryId_ = 0;
    // A JSON array of events in the format of package observe.
    const std::string events_;

    auto operator<=>(const TimelineReply &) const = default;
};

using Message = std::variant<Hello, Heartbeat, Dispatch, Started, Frame, Finished, Failed, Cancel, Attach, Void,
    VoidReply, Leaving, ManifestUpdate, AccountUsageReport, CrashReports, Drain, TimelineQuery, TimelineReply,
    EngineUsageReport, StoreFollow, StoreChanges, Fragment, RequestCrashEvidence, ConfigurationInForce, CallerReport,
    UpstreamRateLimitReport, UsageWindowReport>;

} // namespace jasminewood::wire
