#pragma once

#include <cstdint>
#include <functional>
#include <tuple>
#include <type_traits>
#include <utility>

#include "jasminewood/wire/codec.h"
#include "jasminewood/wire/messages.h"

// The fields of each message and of its nested values, in the order of the encoding. Encoding, decoding and the check
// of limits all use these lists, so that they are always consistent.

namespace jasminewood::wire::internal
{

// A string of at most maximumBodyBytes, encoded as a byte string. All other strings are names of at most
// maximumNameBytes.
struct Body
{
    const std::string &text_;
};

inline auto fieldsOf(const NodeId &value)
{
    return std::tie(value.name_, value.incarnation_);
}

inline auto fieldsOf(const AttemptId &value)
{
    return std::tie(value.requestId_, value.number_);
}

inline auto fieldsOf(const Failure &value)
{
    return std::make_tuple(std::cref(value.step_), std::cref(value.peer_), Body {value.reason_},
        std::cref(value.runState_), std::cref(value.retryAfter_));
}

inline auto fieldsOf(const LoadReport &value)
{
    return std::tie(value.running_, value.freeSlots_, value.queuedByTier_, value.timeToFirstToken_,
        value.interTokenLatency_, value.leaving_);
}

inline auto fieldsOf(const CrashReport &value)
{
    return std::tie(value.fingerprint_, value.crashId_, value.age_, value.cleared_);
}

inline auto fieldsOf(const Hello &value)
{
    return std::tie(value.version_, value.node_, value.role_, value.dataCentre_, value.pool_);
}

inline auto fieldsOf(const Heartbeat &value)
{
    return std::tie(value.sequence_, value.load_);
}

inline auto fieldsOf(const Dispatch &value)
{
    return std::make_tuple(std::cref(value.attempt_), std::cref(value.expectedIncarnation_), std::cref(value.account_),
        std::cref(value.requestClass_), std::cref(value.tier_), std::cref(value.method_), Body {value.path_},
        Body {value.body_}, std::cref(value.contentType_), Body {value.idempotencyKey_}, std::cref(value.resumable_),
        std::cref(value.idempotent_), std::cref(value.crashSuspect_), std::cref(value.maximumWait_),
        std::cref(value.costEstimate_), Body {value.resumeText_}, std::cref(value.resumeTokens_));
}

inline auto fieldsOf(const Started &value)
{
    return std::tie(value.attempt_);
}

inline auto fieldsOf(const Frame &value)
{
    return std::make_tuple(std::cref(value.attempt_), std::cref(value.offset_), Body {value.data_});
}

inline auto fieldsOf(const Finished &value)
{
    return std::tie(value.attempt_, value.length_, value.digest_, value.status_, value.contentType_,
        value.finishReason_, value.promptTokens_, value.outputTokens_);
}

inline auto fieldsOf(const Failed &value)
{
    return std::tie(value.attempt_, value.failure_, value.crashId_, value.outputTokens_);
}

inline auto fieldsOf(const Cancel &value)
{
    return std::tie(value.attempt_);
}

inline auto fieldsOf(const Attach &value)
{
    return std::tie(value.attempt_, value.offset_);
}

inline auto fieldsOf(const Void &value)
{
    return std::tie(value.attempt_);
}

inline auto fieldsOf(const UpstreamResponse &value)
{
    return std::make_tuple(std::cref(value.status_), std::cref(value.contentType_), Body {value.body_});
}

inline auto fieldsOf(const VoidReply &value)
{
    return std::tie(value.attempt_, value.runState_, value.response_);
}

inline auto fieldsOf(const Leaving & /*value*/)
{
    return std::tuple<>();
}

inline auto fieldsOf(const ManifestUpdate &value)
{
    return std::make_tuple(std::cref(value.revision_), Body {value.text_});
}

inline auto fieldsOf(const AccountUsage &value)
{
    return std::tie(value.requests_, value.work_);
}

inline auto fieldsOf(const AccountUsageReport &value)
{
    return std::tie(value.router_, value.accounts_);
}

inline auto fieldsOf(const SharedSegment &value)
{
    return std::tie(value.id_, value.tokens_);
}

inline auto fieldsOf(const RoutedPrompt &value)
{
    return std::tie(value.engine_, value.segments_);
}

inline auto fieldsOf(const EngineLoad &value)
{
    return std::tie(value.pendingPrefillTokens_, value.inFlightRequests_);
}

inline auto fieldsOf(const RoutePromptStats &value)
{
    return std::tie(value.service_, value.route_, value.milliRequests_, value.unsharedTokens_);
}

inline auto fieldsOf(const EngineUsageReport &value)
{
    return std::tie(value.router_, value.complete_, value.engines_, value.prompts_, value.promptStats_);
}

inline auto fieldsOf(const StoreFollow &value)
{
    return std::tie(value.router_, value.era_, value.appliedRevision_, value.stamp_, value.confirmedStamp_);
}

inline auto fieldsOf(const StoreChange &value)
{
    return std::make_tuple(
        std::cref(value.key_), Body {value.value_}, std::cref(value.revision_), std::cref(value.removed_));
}

inline auto fieldsOf(const StoreChanges &value)
{
    return std::tie(value.router_, value.follower_, value.era_, value.afterRevision_, value.upToRevision_,
        value.changes_, value.confirmedStamp_, value.outages_);
}

inline auto fieldsOf(const Fragment &value)
{
    return std::make_tuple(
        std::cref(value.messageId_), std::cref(value.index_), std::cref(value.count_), Body {value.data_});
}

inline auto fieldsOf(const FeatureCrash &value)
{
    return std::tie(value.crash_, value.age_, value.previous_, value.answersBegan_);
}

inline auto fieldsOf(const FeatureEvidence &value)
{
    return std::tie(value.isWholeRequest_, value.id_, value.depth_, value.crashes_, value.successAge_);
}

inline auto fieldsOf(const RequestCrashEvidence &value)
{
    return std::tie(value.router_, value.features_);
}

inline auto fieldsOf(const ConfigurationInForce &value)
{
    return std::tie(value.router_, value.version_);
}

inline auto fieldsOf(const CallerReport &value)
{
    return std::tie(value.router_, value.connections_, value.readyFor_, value.dataCentre_, value.capacity_,
        value.isShedding_, value.hasShed_);
}

inline auto fieldsOf(const UpstreamRateLimit &value)
{
    return std::tie(value.upstream_, value.milliPerSecond_, value.namedAge_, value.unlimitedAge_);
}

inline auto fieldsOf(const UpstreamRateLimitReport &value)
{
    return std::tie(value.router_, value.limits_);
}

inline auto fieldsOf(const UsageWindow &value)
{
    return std::tie(value.number_, value.closed_, value.total_, value.counts_);
}

inline auto fieldsOf(const UsageWindowReport &value)
{
    return std::tie(value.router_, value.windows_);
}

inline auto fieldsOf(const CrashReports &value)
{
    return std::tie(value.reports_);
}

inline auto fieldsOf(const Drain & /*value*/)
{
    return std::tuple<>();
}

inline auto fieldsOf(const TimelineQuery &value)
{
    return std::tie(value.queryId_, value.requestId_, value.fromMicros_, value.toMicros_);
}

inline auto fieldsOf(const TimelineReply &value)
{
    return std::make_tuple(std::cref(value.queryId_), Body {value.events_});
}

template <typename Value>
using FieldsOf = decltype(fieldsOf(std::declval<const Value &>()));

template <typename Value>
constexpr auto fieldCount = std::tuple_size_v<FieldsOf<Value>>;

// Type numbers are part of the format: a number is never reused for another message. 0 stands for no message type.
template <typename Value>
constexpr std::uint32_t typeNumber = 0;

template <>
inline constexpr std::uint32_t typeNumber<Hello> = 1;
template <>
inline constexpr std::uint32_t typeNumber<Heartbeat> = 2;
template <>
inline constexpr std::uint32_t typeNumber<Dispatch> = 3;
template <>
inline constexpr std::uint32_t typeNumber<Started> = 4;
template <>
inline constexpr std::uint32_t typeNumber<Frame> = 5;
template <>
inline constexpr std::uint32_t typeNumber<Finished> = 6;
template <>
inline constexpr std::uint32_t typeNumber<Failed> = 7;
template <>
inline constexpr std::uint32_t typeNumber<Cancel> = 8;
template <>
inline constexpr std::uint32_t typeNumber<Attach> = 9;
template <>
inline constexpr std::uint32_t typeNumber<Void> = 10;
template <>
inline constexpr std::uint32_t typeNumber<VoidReply> = 11;
template <>
inline constexpr std::uint32_t typeNumber<Leaving> = 12;
template <>
inline constexpr std::uint32_t typeNumber<ManifestUpdate> = 13;
template <>
inline constexpr std::uint32_t typeNumber<AccountUsageReport> = 14;
template <>
inline constexpr std::uint32_t typeNumber<CrashReports> = 15;
template <>
inline constexpr std::uint32_t typeNumber<Drain> = 16;
template <>
inline constexpr std::uint32_t typeNumber<TimelineQuery> = 17;
template <>
inline constexpr std::uint32_t typeNumber<TimelineReply> = 18;
template <>
inline constexpr std::uint32_t typeNumber<EngineUsageReport> = 19;
template <>
inline constexpr std::uint32_t typeNumber<StoreFollow> = 20;
template <>
inline constexpr std::uint32_t typeNumber<StoreChanges> = 21;
template <>
inline constexpr std::uint32_t typeNumber<Fragment> = 22;
template <>
inline constexpr std::uint32_t typeNumber<RequestCrashEvidence> = 23;
template <>
inline constexpr std::uint32_t typeNumber<ConfigurationInForce> = 24;
template <>
inline constexpr std::uint32_t typeNumber<CallerReport> = 25;
template <>
inline constexpr std::uint32_t typeNumber<UpstreamRateLimitReport> = 26;
template <>
inline constexpr std::uint32_t typeNumber<UsageWindowReport> = 27;

} // namespace jasminewood::wire::internal
