#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"

// The upstreams that register themselves in the platform's store, each under its own id.
//
//     directory.put(record, now);
//     directory.removed(id, now);
//     const auto upstreams = directory.routable(now);

namespace jasminewood::membership
{

// One registration.
struct UpstreamRecord
{
    const std::string id_;
    const std::string service_;
    // "IP:PORT"
    const std::string address_;
    const std::string dataCentre_;
    // Requests that the upstream runs at the same time.
    const std::uint32_t slots_ = 1;
    // True if the upstream takes no new work.
    const bool leaving_ = false;
    // When the process started, in milliseconds since the epoch; tells two runs under one id apart. 0 if unknown.
    const std::int64_t incarnation_ = 0;

    auto operator<=>(const UpstreamRecord &) const = default;
};

// An upstream that takes new work.
struct RoutableUpstream
{
    const UpstreamRecord record_;
    // Until when, if its entry ended and may return.
    const std::optional<TimePoint> routableUntil_;

    auto operator<=>(const RoutableUpstream &) const = default;
};

// Entries that lapsed while the store was away return within this time after it, if their upstream lives.
constexpr Milliseconds lapsedEntryGracePeriod = Milliseconds(2'000);
// An entry that ends after the store returned may be one that lapsed, or that of an upstream that leaves, which has to
// get no new work soon. It counts for this time at most.
constexpr Milliseconds removedEntryGracePeriod = Milliseconds(1'000);

// Not thread-safe. Precondition of all calls: now does not go backwards.
class UpstreamDirectory
{
public:
    // The upstream registered or changed its entry.
    auto put(const UpstreamRecord &record, TimePoint now) -> void;

    // The entry ended, or can no longer be read. Within lapsedEntryReturn after an outage the upstream stays routable
    // for a while, since its entry may have lapsed only because it could not be renewed.
    auto remove(const std::string &id, TimePoint now) -> void;

    // Replaces all entries by those of a complete read.
    auto replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now) -> void;

    // A call to the store failed. The outage ends with storeAnswered(), which follows the changes that the first
    // successful call reports.
    auto onStoreFailed(TimePoint now) -> void;
    auto onStoreAvailable(TimePoint now) -> void;

    // Returns the upstreams that take new work, by id.
    auto routableUpstreams(TimePoint now) const -> std::vector<RoutableUpstream>;

private:
    struct Entry
    {
        std::shared_ptr<const UpstreamRecord> record_;
        // Set for an entry that ended.
        std::optional<TimePoint> endsAt_;
    };

    std::map<std::string, Entry> entries_;
    std::optional<TimePoint> failedSince_;
    // Until when an ended entry may return.
    TimePoint returnsUntil_;
};

} // namespace jasminewood::membership
