#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// Tracks the upstreams that register themselves in the platform's store, each under its own id.
//
//     directory.put(record, now);
//     directory.remove(id, now);
//     const auto upstreams = directory.routableUpstreams(now);

namespace jasminewood::membership
{

// The registration of one upstream.
struct UpstreamRecord
{
    const std::string id_;
    const std::string service_;
    // "IP:PORT"
    const std::string address_;
    const std::string dataCentre_;
    // The number of requests that the upstream runs concurrently.
    const std::uint32_t slots_ = 1;
    // True if the upstream accepts no new work.
    const bool leaving_ = false;
    // When the process started, in milliseconds since the epoch; distinguishes successive runs under one id. 0 if
    // unknown.
    const std::int64_t incarnation_ = 0;
    // The revision of the store at which the entry was created; 0 if unknown. It changes if the entry expires and the
    // upstream registers again.
    const std::int64_t registeredAt_ = 0;

    auto operator<=>(const UpstreamRecord &) const = default;
};

// An upstream that accepts new work.
struct RoutableUpstream
{
    const UpstreamRecord record_;
    // When it stops being routable; set only if its entry was removed and may reappear.
    const std::optional<TimePoint> routableUntil_;

    auto operator<=>(const RoutableUpstream &) const = default;
};

// The time after a store outage within which upstreams that are still running register again if their entries expired
// during the outage.
constexpr Milliseconds lapsedEntryGracePeriod = Milliseconds(2'000);
// The maximum time for which an upstream stays routable if its entry is removed shortly after an outage. The entry may
// have expired because of the outage, or the upstream may be leaving and must not receive new work for long.
constexpr Milliseconds removedEntryGracePeriod = Milliseconds(1'000);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class UpstreamDirectory
{
public:
    // Adds the entry of an upstream or replaces the one with the same id.
    auto put(const UpstreamRecord &record, TimePoint now) -> void;

    // Handles an entry that was removed or can no longer be read. Within lapsedEntryGracePeriod after an outage the
    // upstream stays routable for a grace period, because its entry may have expired only because it could not be
    // renewed. During an outage it does so until onStoreAvailable() decides.
    auto remove(const std::string &id, TimePoint now) -> void;

    // Replaces all entries by the result of a complete read.
    auto replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void;

    // Called when a call to the store failed. The outage ends with onStoreAvailable(), which must be called after the
    // changes that the first successful call reports have been applied. If most of the entries known before were
    // removed during the outage, they have expired, and the upstreams among them that are still missing stay routable
    // for lapsedEntryGracePeriod. Otherwise the upstreams could renew their entries, only this router could not read
    // them, and those that are missing have left.
    auto onStoreFailed(TimePoint now) -> void;
    auto onStoreAvailable(TimePoint now) -> void;

    // Returns the upstreams that accept new work, ordered by id.
    auto routableUpstreams(TimePoint now) const -> std::vector<RoutableUpstream>;

private:
    struct Entry
    {
        std::shared_ptr<const UpstreamRecord> record_;
        // When the upstream stops being routable; set only for a removed entry.
        std::optional<TimePoint> routableUntil_;
        // Whether the entry was known before the current outage, and was removed during it, even if it is back.
        bool knownBeforeOutage_ = false;
        bool removedInOutage_ = false;
    };

    auto mostEntriesExpired() const -> bool;

    std::map<std::string, Entry> entries_;
    // Empty unless the store is unavailable.
    std::optional<TimePoint> outageStart_;
    // The end of the grace period that follows an outage.
    TimePoint graceEndsAt_;
};

} // namespace jasminewood::membership
