#pragma once

#include <compare>
#include <optional>
#include <string>
#include <variant>

#include "jasminewood/forward/upstream_pool.h"
#include "jasminewood/membership/upstream_directory.h"

// Decides at which software version the stream of one answer goes on. What upstreams of two versions write does not fit
// together, so the version of the upstream that brought the first event holds until the end of the answer.
//
//     const auto present = pool.recordOf(assignment.upstream_.id_);
//     const auto decision = streamVersion.recordFirstEvent(assignment.upstream_, present);
//     const auto next = pool.choose({.service_ = service, .versions_ = streamVersion.criterion()}, now);

namespace jasminewood::forward::internal
{

// The event is the first one of a new stream.
struct StreamBegins
{
    auto operator<=>(const StreamBegins &) const = default;
};

// The event is of the version at which the stream began.
struct StreamGoesOn
{
    auto operator<=>(const StreamGoesOn &) const = default;
};

// The event is not known to be of the version at which the stream began, so it must not be passed on.
struct EventOfOtherVersion
{
    auto operator<=>(const EventOfOtherVersion &) const = default;
};

using EventDecision = std::variant<StreamBegins, StreamGoesOn, EventOfOtherVersion>;

// Returns the version of the upstream that was chosen for an attempt; empty if it is not known. The entry by which it
// was chosen may be older than the process that responds: then the present entry has another version. There is no
// present entry if the upstream takes no new requests.
auto knownVersion(const membership::UpstreamRecord &chosen, const std::optional<membership::UpstreamRecord> &present)
    -> std::optional<std::string>;

class StreamVersion
{
public:
    // Sets the version at which an earlier answer began the stream that the caller resumes. Called before the first
    // attempt.
    auto fixAt(const std::string &version) -> void;

    // Records that the first event of an attempt is to be passed on. Arguments as for knownVersion().
    auto recordFirstEvent(const membership::UpstreamRecord &chosen,
        const std::optional<membership::UpstreamRecord> &present) -> EventDecision;

    // Takes back that the stream began: its first event is not passed on.
    auto withdraw() -> void;

    // Returns the upstream that brought the first event of the stream; empty if none did in this answer.
    auto firstUpstream() const -> std::optional<membership::UpstreamRecord>;

    // Records the present entry of firstUpstream(). If it has another version, the version of the stream is not known.
    auto recordPresentEntry(const std::optional<membership::UpstreamRecord> &present) -> void;

    // Returns whether the stream began.
    auto hasBegun() const -> bool;

    // Returns the version at which the stream began; empty if it has not begun or the version is not known.
    auto version() const -> std::optional<std::string>;

    // Returns which upstreams may run the next attempt; forNewStream if the stream has not begun.
    auto criterion(const VersionCriterion &forNewStream = AnyVersion {}) const -> VersionCriterion;

private:
    // No event was passed on yet.
    struct NotBegun
    {
    };
    struct BegunAt
    {
        const std::string version_;
    };
    // It is not known at which version the stream began.
    struct BegunAtUnknown
    {
    };

    auto begin(const std::optional<std::string> &version) -> void;

    std::variant<NotBegun, BegunAt, BegunAtUnknown> state_;
    std::optional<membership::UpstreamRecord> firstUpstream_;
};

} // namespace jasminewood::forward::internal
