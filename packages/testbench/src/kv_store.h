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

// The store of the fake key-value service: revisions, transactions, leases and the event history for watches.

namespace jasminewood::testbench::internal
{

// The events that one wait of a watch returns, and the revision up to which they are complete.
struct KvEvents
{
    const std::int64_t revision_ = 0;
    const std::vector<KvEvent> events_;
    // If the requested revision has been compacted, the oldest revision that is kept; else 0.
    const std::int64_t compactRevision_ = 0;
};

struct KvLease
{
    const std::int64_t id_ = 0;
    const std::chrono::seconds timeToLive_ = std::chrono::seconds(0);
    const TimePoint expiresAt_;

    auto operator<=>(const KvLease &) const = default;
};

// Thread-safe. Leases expire upon the next call or wait.
class KvStore
{
public:
    // Fails with step "kv" if a transaction puts a key twice or if a put refers to a lease that does not exist.
    auto apply(const KvOperation &operation) -> Result<KvOutcome>;

    auto revision() -> std::int64_t;

    // Waits for events of the key range from a revision on, until there are some or `cancelled` returns true.
    auto waitForEvents(const KvKeyRange &keyRange, std::int64_t from, const std::function<auto()->bool> &cancelled)
        -> KvEvents;

    // Makes all waits evaluate `cancelled` again.
    auto wake() -> void;

    // Creates a lease; with id 0 the store chooses one. Returns the id, or nothing if the lease exists already.
    auto grant(std::int64_t id, std::chrono::seconds timeToLive) -> std::optional<std::int64_t>;

    // Renews a lease and returns its time to live, or 0 if the lease does not exist.
    auto keepAlive(std::int64_t id) -> std::chrono::seconds;

    // Deletes the lease and its keys; returns whether the lease existed.
    auto revoke(std::int64_t id) -> bool;

private:
    struct OperationExecutor;

    auto validate(const KvOperation &operation) const -> Status;
    auto collectPuts(const std::vector<KvOperation> &operations, std::set<std::string> &keys) const -> Status;
    auto isSatisfied(const KvCompare &compare) const -> bool;
    auto evaluateCompares(const KvTransaction &transaction, std::vector<bool> &compareResults) const -> void;
    auto write(const KvPutRequest &put) -> void;
    auto erase(const KvKeyRange &keyRange) -> std::int64_t;
    auto appendEvent(bool deleted, const std::shared_ptr<const KvEntry> &entry) -> void;
    auto commitWrite() -> void;
    auto eraseKeysOfLease(std::int64_t lease) -> void;
    auto expireLeases() -> void;
    auto nextWakeUp() const -> TimePoint;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    // True if the operation in progress has written at revision_ + 1.
    bool hasUncommittedWrite_ = false;
    std::map<std::string, std::shared_ptr<const KvEntry>> entries_;
    std::deque<KvEvent> history_;
    std::int64_t compactRevision_ = 0;
    std::map<std::int64_t, std::shared_ptr<const KvLease>> leases_;
    std::int64_t lastLeaseId_ = 1000;
};

} // namespace jasminewood::testbench::internal
