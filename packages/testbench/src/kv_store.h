#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "kv_values.h"

// The store of the fake key-value service: revisions, transactions, leases and the history that watches read.

namespace jasminewood::testbench::internal
{

// What a watch waits for.
struct KvEvents
{
    const std::int64_t revision_ = 0;
    const std::vector<KvEvent> events_;
    // Set if the requested revision is no longer kept: the oldest one that is.
    const std::int64_t compactRevision_ = 0;
};

struct KvLease
{
    const std::int64_t id_ = 0;
    const std::chrono::seconds timeToLive_ = std::chrono::seconds(0);
    const TimePoint end_;

    auto operator<=>(const KvLease &) const = default;
};

// Thread-safe. Leases expire upon the next call or wait.
class KvStore
{
public:
    // Fails with step "kv" if a transaction puts a key twice or if a put names an unknown lease.
    auto apply(const KvOperation &operation) -> Result<KvOutcome>;

    auto revision() -> std::int64_t;

    // Waits for events of the span from a revision on, until there are some or `ended` returns true.
    auto waitForEvents(const KvSpan &span, std::int64_t from, const std::function<auto()->bool> &ended) -> KvEvents;

    // Makes waits look at `ended` again.
    auto wake() -> void;

    // Creates a lease; id 0 lets the store choose. Returns its id, or nothing if the id is taken.
    auto grant(std::int64_t id, std::chrono::seconds timeToLive) -> std::optional<std::int64_t>;

    // Renews a lease and returns its time to live, 0 if it is unknown.
    auto keepAlive(std::int64_t id) -> std::chrono::seconds;

    // Deletes the keys of the lease; returns whether it was known.
    auto revoke(std::int64_t id) -> bool;

private:
    struct Performer;

    auto check(const KvOperation &operation) const -> Status;
    auto collectPuts(const std::vector<KvOperation> &operations, std::set<std::string> &keys) const -> Status;
    auto holds(const KvCompare &compare) const -> bool;
    auto decide(const KvTransaction &transaction, std::vector<bool> &decisions) const -> void;
    auto write(const KvPut &put) -> void;
    auto erase(const KvSpan &span) -> std::int64_t;
    auto addEvent(bool deleted, const std::shared_ptr<const KvEntry> &entry) -> void;
    auto finishWrite() -> void;
    auto eraseLeased(std::int64_t lease) -> void;
    auto expireLeases() -> void;
    auto nextCheck() const -> TimePoint;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    // Whether the operation in progress has written at revision_ + 1.
    bool dirty_ = false;
    std::map<std::string, std::shared_ptr<const KvEntry>> entries_;
    std::deque<KvEvent> history_;
    std::int64_t compactRevision_ = 0;
    std::map<std::int64_t, std::shared_ptr<const KvLease>> leases_;
    std::int64_t lastLease_ = 1000;
};

} // namespace jasminewood::testbench::internal
