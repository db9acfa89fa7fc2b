#pragma once

#include <string>

#include <rapidcheck.h>

#include "jasminewood/wire/codec.h"

// Generators of message values within the limits of the format.

namespace jasminewood::wire
{

inline auto anyName() -> std::string
{
    return *rc::gen::container<std::string>(std::size_t(*rc::gen::inRange(0, 20)), rc::gen::arbitrary<char>());
}

inline auto anyBody() -> std::string
{
    return *rc::gen::arbitrary<std::string>();
}

template <typename Number>
auto anyNumber() -> Number
{
    return *rc::gen::arbitrary<Number>();
}

inline auto anyAttemptId() -> AttemptId
{
    return AttemptId {.requestId_ = anyName(), .number_ = anyNumber<std::uint32_t>()};
}

inline auto anyNodeId() -> NodeId
{
    return NodeId {.name_ = anyName(), .incarnation_ = anyNumber<std::uint64_t>()};
}

template <typename Duration>
auto anyDuration() -> Duration
{
    return Duration(*rc::gen::inRange<std::int64_t>(0, Duration(maximumDuration).count() + 1));
}

inline auto anyRunState() -> RunState
{
    return *rc::gen::element(RunState::NotRun, RunState::MayHaveRun, RunState::Ran);
}

inline auto anyOptionalLoad() -> std::optional<LoadReport>
{
    if (anyNumber<bool>()) {
        return std::nullopt;
    }
    return LoadReport {.running_ = anyNumber<std::uint32_t>(),
        .freeSlots_ = anyNumber<std::uint32_t>(),
        .queuedByTier_ = {anyNumber<std::uint32_t>(), 1, 0, anyNumber<std::uint32_t>()},
        .timeToFirstToken_ = anyDuration<Microseconds>(),
        .interTokenLatency_ = anyDuration<Microseconds>(),
        .leaving_ = anyNumber<bool>()};
}

inline auto anyFailure() -> Failure
{
    return Failure {.step_ = anyName(),
        .peer_ = anyName(),
        .reason_ = anyBody(),
        .runState_ = anyRunState(),
        .retryAfter_ = anyNumber<bool>() ? std::make_optional(anyDuration<Milliseconds>()) : std::nullopt};
}

inline auto anyDispatch() -> Dispatch
{
    return Dispatch {.attempt_ = anyAttemptId(),
        .expectedIncarnation_ = anyNumber<std::uint64_t>(),
        .account_ = anyName(),
        .requestClass_ = anyName(),
        .tier_ = *rc::gen::inRange<Tier>(highestTier, lowestTier + 1),
        .method_ = anyName(),
        .path_ = anyBody(),
        .body_ = anyBody(),
        .contentType_ = anyName(),
        .idempotencyKey_ = anyBody(),
        .resumable_ = anyNumber<bool>(),
        .idempotent_ = anyNumber<bool>(),
        .crashSuspect_ = anyNumber<bool>(),
        .maximumWait_ = anyDuration<Milliseconds>(),
        .costEstimate_ = anyNumber<std::uint32_t>(),
        .resumeText_ = anyBody(),
        .resumeTokens_ = anyNumber<std::uint32_t>()};
}

inline auto anyCrashReports() -> CrashReports
{
    auto reports = std::vector<CrashReport>();
    const auto count = *rc::gen::inRange(0, 5);
    for (auto index = 0; index < count; ++index) {
        reports.push_back(CrashReport {.fingerprint_ = anyNumber<std::uint64_t>(),
            .crashId_ = anyName(),
            .age_ = anyDuration<Milliseconds>(),
            .cleared_ = anyNumber<bool>()});
    }
    return CrashReports {.reports_ = std::move(reports)};
}

inline auto anyRequestCrashEvidence() -> RequestCrashEvidence
{
    auto features = std::vector<FeatureEvidence>();
    const auto count = *rc::gen::inRange(0, 5);
    for (auto index = 0; index < count; ++index) {
        const auto successAge = anyNumber<bool>() ? std::optional(anyDuration<Milliseconds>()) : std::nullopt;
        features.push_back({.isWholeRequest_ = anyNumber<bool>(),
            .id_ = anyNumber<std::uint64_t>(),
            .depth_ = anyNumber<std::uint32_t>(),
            .crashes_ = {{.crash_ = anyNumber<std::uint64_t>(),
                .age_ = anyDuration<Milliseconds>(),
                .previous_ = anyNumber<std::uint64_t>(),
                .answersBegan_ = anyNumber<bool>()}},
            .successAge_ = successAge});
    }
    return RequestCrashEvidence {.router_ = anyNodeId(), .features_ = std::move(features)};
}

inline auto anyAccountUsageReport() -> AccountUsageReport
{
    auto accounts = std::map<std::string, AccountUsage>();
    const auto count = *rc::gen::inRange(0, 5);
    for (auto index = 0; index < count; ++index) {
        accounts.emplace(
            anyName(), AccountUsage {.requests_ = anyNumber<std::uint64_t>(), .work_ = anyNumber<std::uint64_t>()});
    }
    return AccountUsageReport {.router_ = anyNodeId(), .accounts_ = std::move(accounts)};
}

inline auto anyUsageWindowReport() -> UsageWindowReport
{
    auto windows = std::vector<UsageWindow>();
    const auto count = *rc::gen::inRange(0, 4);
    for (auto index = 0; index < count; ++index) {
        windows.push_back({.number_ = anyNumber<std::uint64_t>(),
            .closed_ = anyNumber<bool>(),
            .total_ = anyNumber<std::uint64_t>(),
            .counts_ = {{anyName(), anyNumber<std::uint64_t>()}}});
    }
    return UsageWindowReport {.router_ = anyNodeId(), .windows_ = std::move(windows)};
}

inline auto anyRoutedPrompt() -> RoutedPrompt
{
    auto segments = std::vector<SharedSegment>();
    const auto count = *rc::gen::inRange(0, 4);
    for (auto index = 0; index < count; ++index) {
        segments.push_back({.id_ = anyNumber<std::uint64_t>(), .tokens_ = anyNumber<std::uint32_t>()});
    }
    return RoutedPrompt {.engine_ = anyName(), .segments_ = std::move(segments)};
}

inline auto anyEngineUsageReport() -> EngineUsageReport
{
    auto engines = std::map<std::string, EngineLoad>();
    auto promptStats = std::vector<RoutePromptStats>();
    const auto count = *rc::gen::inRange(0, 5);
    for (auto index = 0; index < count; ++index) {
        engines.emplace(anyName(),
            EngineLoad {
                .pendingPrefillTokens_ = anyNumber<std::uint64_t>(), .inFlightRequests_ = anyNumber<std::uint32_t>()});
        promptStats.push_back({.service_ = anyName(),
            .route_ = anyName(),
            .milliRequests_ = anyNumber<std::uint64_t>(),
            .unsharedTokens_ = anyNumber<std::uint64_t>()});
    }
    auto prompts = std::vector<RoutedPrompt>();
    for (auto index = 0; index < count; ++index) {
        prompts.push_back(anyRoutedPrompt());
    }
    return EngineUsageReport {.router_ = anyNodeId(),
        .complete_ = anyNumber<bool>(),
        .engines_ = std::move(engines),
        .prompts_ = std::move(prompts),
        .promptStats_ = std::move(promptStats)};
}

inline auto anyStoreChanges() -> StoreChanges
{
    return {.router_ = anyNodeId(),
        .follower_ = anyNodeId(),
        .era_ = anyNumber<std::uint64_t>(),
        .afterRevision_ = anyNumber<std::uint64_t>(),
        .upToRevision_ = anyNumber<std::uint64_t>(),
        .changes_ = {{.key_ = anyName(),
            .value_ = anyBody(),
            .revision_ = anyNumber<std::uint64_t>(),
            .removed_ = anyNumber<bool>()}},
        .confirmedStamp_ = anyNumber<std::uint64_t>(),
        .outages_ = anyNumber<std::uint64_t>()};
}

inline auto anyOptionalResponse() -> std::optional<UpstreamResponse>
{
    if (anyNumber<bool>()) {
        return std::nullopt;
    }
    return UpstreamResponse {.status_ = anyNumber<std::uint16_t>(), .contentType_ = anyName(), .body_ = anyBody()};
}

// Creates one value of each message type, in the order of the type numbers.
inline auto anyMessageOfEachType() -> std::vector<Message>
{
    return {Hello {.node_ = anyNodeId(), .role_ = Role::Agent, .dataCentre_ = anyName(), .pool_ = anyName()},
        Heartbeat {.sequence_ = anyNumber<std::uint64_t>(), .load_ = anyOptionalLoad()}, anyDispatch(),
        Started {.attempt_ = anyAttemptId()},
        Frame {.attempt_ = anyAttemptId(), .offset_ = anyNumber<std::uint64_t>(), .data_ = anyBody()},
        Finished {.attempt_ = anyAttemptId(),
            .length_ = anyNumber<std::uint64_t>(),
            .digest_ = anyNumber<std::uint64_t>(),
            .status_ = anyNumber<std::uint16_t>(),
            .contentType_ = anyName(),
            .finishReason_ = anyName(),
            .promptTokens_ = anyNumber<std::uint32_t>(),
            .outputTokens_ = anyNumber<std::uint32_t>()},
        Failed {.attempt_ = anyAttemptId(),
            .failure_ = anyFailure(),
            .crashId_ = anyName(),
            .outputTokens_ = anyNumber<std::uint32_t>()},
        Cancel {.attempt_ = anyAttemptId()}, Attach {.attempt_ = anyAttemptId(), .offset_ = anyNumber<std::uint64_t>()},
        Void {.attempt_ = anyAttemptId()},
        VoidReply {.attempt_ = anyAttemptId(), .runState_ = anyRunState(), .response_ = anyOptionalResponse()},
        Leaving {}, ManifestUpdate {.revision_ = anyNumber<std::uint64_t>(), .text_ = anyBody()},
        anyAccountUsageReport(), anyCrashReports(), Drain {},
        TimelineQuery {.queryId_ = anyNumber<std::uint64_t>(),
            .requestId_ = anyName(),
            .fromMicros_ = anyNumber<std::uint64_t>(),
            .toMicros_ = anyNumber<std::uint64_t>()},
        TimelineReply {.queryId_ = anyNumber<std::uint64_t>(), .events_ = anyBody()}, anyEngineUsageReport(),
        StoreFollow {.router_ = anyNodeId(),
            .era_ = anyNumber<std::uint64_t>(),
            .appliedRevision_ = anyNumber<std::uint64_t>(),
            .stamp_ = anyNumber<std::uint64_t>(),
            .confirmedStamp_ = anyNumber<std::uint64_t>()},
        anyStoreChanges(),
        Fragment {.messageId_ = anyNumber<std::uint64_t>(),
            .index_ = anyNumber<std::uint32_t>(),
            .count_ = anyNumber<std::uint32_t>(),
            .data_ = anyBody()},
        anyRequestCrashEvidence(),
        ConfigurationInForce {.router_ = anyNodeId(), .version_ = anyNumber<std::uint64_t>()},
        CallerReport {.router_ = anyNodeId(),
            .connections_ = anyNumber<std::uint32_t>(),
            .readyFor_ = anyNumber<bool>() ? std::optional(anyDuration<Milliseconds>()) : std::nullopt,
            .dataCentre_ = anyName(),
            .capacity_ = anyNumber<std::uint32_t>(),
            .isShedding_ = anyNumber<bool>(),
            .hasShed_ = anyNumber<bool>()},
        UpstreamRateLimitReport {.router_ = anyNodeId(),
            .limits_ = {{.upstream_ = anyNodeId(),
                .milliPerSecond_ = anyNumber<std::uint64_t>(),
                .namedAge_ = anyDuration<Milliseconds>(),
                .unlimitedAge_ = anyNumber<bool>() ? std::optional(anyDuration<Milliseconds>()) : std::nullopt}}},
        anyUsageWindowReport()};
}

} // namespace jasminewood::wire
