#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    // upstream registers again. Comparable only until the store comes back from an older copy.
    const std::int64_t registeredAt_ = 0;
    // Orders what the upstream wrote in this incarnation; empty if unknown.
    const std::optional<std::uint64_t> sequence_ = {};
    // The version of the upstream's software; empty if unknown.
    const std::string version_ = {};

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
// The time for which an entry that is older than what its upstream said before does not count. The store may have
// performed a lost write late, or have come back from an older copy. The entry of an upstream that has left expires
// within this time; one that is still there then is renewed by an upstream that runs.
constexpr Milliseconds outdatedEntryPeriod = Milliseconds(10'000);
// How long, and for how many upstreams, the last entry is remembered after its removal.
constexpr Milliseconds removedEntryMemory = Milliseconds(60'000);
constexpr std::size_t maximumRemovedEntries = 4'096;

// Not thread-safe. Precondition of all calls: now does not go backwards.
class UpstreamDirectory
{
public:
    // Adds the entry of an upstream or replaces the one with the same id. Returns false if the entry does not count
    // yet, since its upstream wrote it before what is known: a late write brings back neither an upstream that left nor
    // its former state. It counts after outdatedEntryPeriod if it is still there, unless it takes back that its
    // upstream leaves and is not from an older copy of the store.
    auto put(const UpstreamRecord &record, TimePoint now) -> bool;

    // Handles an entry that was removed. Within lapsedEntryGracePeriod after an outage the
    // upstream stays routable for a grace period, because its entry may have expired only because it could not be
    // renewed. During an outage it does so until onStoreAvailable() decides.
    auto remove(const std::string &id, TimePoint now) -> void;

    // Handles an entry that can no longer be read: it names no upstream to use, whatever it said before. Unlike a
    // removed entry it has not expired, so no grace period applies.
    auto invalidate(const std::string &id, TimePoint now) -> void;

    // Replaces all entries by the result of a complete read.
    auto replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void;

    // The same for the first complete read after the store came back from an older copy, whose entries may be older
    // than those that were known. An upstream's own words are ordered by its incarnation and sequence: one that was
    // seen leaving or removed stays so until it writes again, at most for outdatedEntryPeriod. The upstreams whose
    // entries are missing may have registered after the copy was made and stay routable for lapsedEntryGracePeriod.
    auto restoreAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void;

    // Called when a call to the store failed. The outage ends with onStoreAvailable(), which must be called after the
    // changes that the first successful call reports have been applied. If most of the entries known before were
    // removed during the outage, they have expired, and the upstreams among them that are still missing stay routable
    // for lapsedEntryGracePeriod. Otherwise the upstreams could renew their entries, only this router could not read
    // them, and those that are missing have left.
    auto onStoreFailed(TimePoint now) -> void;
    auto onStoreAvailable(TimePoint now) -> void;

    // Returns the upstreams that accept new work, ordered by id.
    auto routableUpstreams(TimePoint now) const -> std::vector<RoutableUpstream>;

    // Returns the software versions of each service's upstreams, including those that are leaving.
    auto versionsByService(TimePoint now) const -> std::map<std::string, std::set<std::string>>;

    // Returns the ids of the upstreams whose entries are older than what they said before, and differ from it.
    auto outdatedUpstreams() const -> std::vector<std::string>;

private:
    struct Entry
    {
        // What the upstream said last.
        std::shared_ptr<const UpstreamRecord> record_;
        // When the upstream stops being routable; set only for a removed entry.
        std::optional<TimePoint> routableUntil_;
        // Whether record_ was read before the store came back from an older copy.
        bool readBeforeRestore_ = false;
        // The entry in the store if it is older than record_, and when it counts all the same.
        std::shared_ptr<const UpstreamRecord> outdated_;
        TimePoint outdatedUntil_;
        // Whether the entry was known before the current outage, and was removed during it, even if it is back.
        bool knownBeforeOutage_ = false;
        bool removedInOutage_ = false;
    };

    auto mostEntriesExpired() const -> bool;
    // Returns whether an entry was written before what is known of its upstream.
    auto isOutdated(const Entry &entry, const UpstreamRecord &record, TimePoint now) const -> bool;
    auto removeEntry(Entry &entry, TimePoint now) -> void;
    // Lets outdated entries count that are still there after their time.
    auto acceptOutdated(TimePoint now) -> void;
    // Forgets removed entries that are old or too many.
    auto forgetRemoved(TimePoint now) -> void;

    // Removed entries are kept for a while.
    std::map<std::string, Entry> entries_;
    // Empty unless the store is unavailable.
    std::optional<TimePoint> outageStart_;
    // Whether the store came back from an older copy in this outage.
    bool restored_ = false;
    // The end of the grace period that follows an outage.
    TimePoint graceEndsAt_;
    // When entries of the older copy from which the store came back count.
    TimePoint restoredUntil_;
};

} // namespace jasminewood::membership
