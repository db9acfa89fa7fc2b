#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Decides at which software version of a service a stream may be resumed.
//
// Upstreams of several versions may serve side by side. What two versions write does not fit together, so a stream is
// resumed only at the version that began it. Any router may be asked to resume any stream, also after all routers were
// killed. So the routers agree, in the store, on the versions at which they begin streams (AgreedVersions), and a
// router begins a stream at another version only after that version was added. One of them may be the base version: the
// one that was alone before the others were added. Each stream without a record began there, whoever began it and
// whatever became of that router, because a stream at any other version is passed on only after its record was written.
// While there are several versions, streams of the base version are recorded too, but afterwards: that is of use only
// while the store cannot be read. A stream whose version is not known is not resumed.
//
//     versions.setAgreed("chat", {.era_ = 1, .versions_ = {"v1", "v2"}, .base_ = "v1"}, now);
//     const auto need = versions.recordBegin(
//         {.stream_ = 7, .origin_ = {.service_ = "chat", .version_ = "v2"}}, ageOfStoreState, now);
//     const auto decision = versions.originOf(7, "chat", {.age_ = ageOfStoreState}, now);

namespace jasminewood::routing
{

// Identifies a stream: a hash of the id of the request that brought its first event.
using StreamId = std::uint64_t;

// Stands for streams without a record that may have begun at any version. Among the agreed versions it has the effect
// that a stream without a record is not resumed.
constexpr auto unrecordedVersion = "";

// Where a stream began.
struct StreamOrigin
{
    const std::string service_;
    const std::string version_;

    auto operator<=>(const StreamOrigin &) const = default;
};

// It is not known where the stream began.
struct UnknownOrigin
{
    auto operator<=>(const UnknownOrigin &) const = default;
};

// The stream began at the base version unless the store has a record of it that was not read yet.
struct RecordsNeeded
{
    auto operator<=>(const RecordsNeeded &) const = default;
};

using OriginDecision = std::variant<StreamOrigin, UnknownOrigin, RecordsNeeded>;

// When the record of a stream that begins has to be written to the store.
enum class RecordNeed : std::uint8_t
{
    // Not at all: without a record the stream counts as what it is.
    Never,
    // Some time later.
    Later,
    // Before its first event is passed on: without a record the stream counts as one of the base version.
    BeforeFirstEvent,
};

// How much of what the store accepted was passed to a StreamVersions.
struct StoreView
{
    // The time since all that the store had accepted then was passed on.
    const Milliseconds age_ = Milliseconds(0);
    // Whether that includes all that it accepted before the caller's request arrived.
    const bool includesRecords_ = false;

    auto operator<=>(const StoreView &) const = default;
};

struct StreamRecord
{
    const StreamId stream_ = 0;
    const StreamOrigin origin_;

    auto operator<=>(const StreamRecord &) const = default;
};

// The versions of one service at which routers begin streams, as the store has them.
struct AgreedVersions
{
    // The era of the store in which they were written. After the store came back from an older copy they may lack
    // versions, so they count as incomplete until a router writes them again.
    const std::uint64_t era_ = 0;
    // May include unrecordedVersion.
    const std::set<std::string> versions_;
    // The base version, at which each stream without a record began; unrecordedVersion if there is none.
    const std::string base_ = unrecordedVersion;

    auto operator<=>(const AgreedVersions &) const = default;
};

// Whether a state of the store followed the last known one directly, or states between them may not have been heard of.
enum class HeardChanges : std::uint8_t
{
    All,
    Some,
};

using VersionsByService = std::map<std::string, std::set<std::string>>;

struct StreamVersionsOptions
{
    // Whether the whole system starts for the first time, so that no stream can have begun before.
    const bool isFirstStart_ = false;
    // How long a stream may be resumed after it began.
    const Milliseconds memory_ = Milliseconds(30'000);
    // How long after it learned of a version a router begins to prefer it, and for how long what the store said holds.
    // A router that learns of a version later than that does not believe that there is no other one.
    const Milliseconds propagationTime_ = Milliseconds(2'000);
    // The maximum number of streams that are remembered; the oldest are forgotten first.
    const std::size_t maximumStreams_ = 65'536;
};

// Not thread-safe. Precondition: now does not go backwards.
class StreamVersions
{
public:
    explicit StreamVersions(const StreamVersionsOptions &options = {});

    // Sets how long a stream may be resumed after it began.
    auto setMemory(Milliseconds memory) -> void;

    // Sets the era of the store. In a new era all records have to be written again.
    auto setEra(std::uint64_t era) -> void;

    // Sets what the store has about one service. Must be called for what the store has at the start before the first
    // call of setRegistered().
    auto setAgreed(const std::string &service, const AgreedVersions &agreed, TimePoint now,
        HeardChanges heard = HeardChanges::All) -> void;

    // Sets the versions of all registered upstreams, including those that are leaving.
    auto setRegistered(const VersionsByService &registered, TimePoint now) -> void;

    // Records a stream that this router begins. storeAge as in StoreView. A stream that was recorded with another
    // origin before has an unknown one from then on.
    auto recordBegin(const StreamRecord &record, Milliseconds storeAge, TimePoint now) -> RecordNeed;

    // Records a stream of which the store tells.
    auto recordReported(const StreamRecord &record, TimePoint now) -> void;

    // Returns where a stream began that a caller wants to resume on a route to this service.
    auto originOf(StreamId stream, const std::string &service, const StoreView &view, TimePoint now) const
        -> OriginDecision;

    // Returns the base version of the service; empty if there is none.
    auto baseVersion(const std::string &service) const -> std::optional<std::string>;

    // Returns the agreed versions of which all routers know that read the store; empty if there are none.
    auto admittedVersions(const std::string &service, TimePoint now) const -> std::set<std::string>;

    // Returns the agreed versions without unrecordedVersion.
    auto agreedVersions(const std::string &service) const -> std::set<std::string>;

    // Returns what should replace the agreed versions of the service; empty if they need no change.
    auto proposal(const std::string &service, TimePoint now) const -> std::optional<AgreedVersions>;

    // Returns streams that this router began and that have to be written to the store. Each call is followed by
    // confirmWritten() or putBack().
    auto takeUnwritten(TimePoint now, std::size_t maximumCount = std::numeric_limits<std::size_t>::max())
        -> std::vector<StreamRecord>;

    // Counts the streams as written.
    auto confirmWritten(const std::vector<StreamRecord> &records) -> void;

    // Counts the streams as not written, because the write failed.
    auto putBack(const std::vector<StreamRecord> &records) -> void;

    // Returns whether the record of a stream that this router began is in the store.
    auto isWritten(StreamId stream) const -> bool;

    // Returns whether takeUnwritten() would return anything.
    auto hasUnwritten() const -> bool;

private:
    struct Stream
    {
        const StreamOrigin origin_;
        const TimePoint recordedAt_;
        // Whether this router began it.
        const bool isOwn_ = false;
    };

    struct Service
    {
        std::optional<AgreedVersions> agreed_;
        std::set<std::string> registered_;
        // When each agreed version may be admitted.
        std::map<std::string, TimePoint> admittedAt_;
        // When each agreed version was last registered, or else first seen among the agreed ones.
        std::map<std::string, TimePoint> lastRegisteredAt_;
    };

    auto findService(const std::string &service) const -> const Service *;
    // Returns whether the agreed versions are complete: none can have been lost with an era of the store.
    auto isComplete(const Service &service) const -> bool;
    auto baseOf(const Service &service) const -> std::optional<std::string>;
    // Returns the base version to propose with these versions.
    auto proposedBase(const Service &service, const std::set<std::string> &versions, TimePoint now) const
        -> std::string;
    auto recordNeed(const StreamOrigin &origin) const -> RecordNeed;
    auto record(const StreamRecord &record, TimePoint now, bool isOwn) -> void;
    auto forgetOldStreams(TimePoint now) -> void;

    const StreamVersionsOptions options_;
    Milliseconds memory_;
    std::optional<std::uint64_t> era_;
    bool eraChanged_ = false;
    // When setRegistered() was last called.
    std::optional<TimePoint> registeredAt_;
    std::map<std::string, Service> services_;
    std::map<StreamId, Stream> streams_;
    // The streams that this router began and whose records are not in the store, and those that are being written.
    std::set<StreamId> unwritten_;
    std::set<StreamId> writing_;
    // Streams were forgotten before the memory had passed. Until then, a missing record says nothing.
    std::optional<TimePoint> recordsMissingUntil_;
    // The streams by the time at which they were recorded.
    std::multimap<TimePoint, StreamId> streamsByAge_;
};

} // namespace jasminewood::routing
