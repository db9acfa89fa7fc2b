#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/client.h"

// A client of the key-value service, over the JSON gateway of etcd v3.
//
//     auto client = platform::KeyValueClient({.url_ = "http://10.0.0.9:2379"});
//     const auto claimed = client.createIfAbsent("/jasminewood/claims/1", value);
//     if (!claimed && claimed.reason().runState_ == RunState::MayHaveRun) { /* read the key back */ }
//
// A failure has step "kv OPERATION" and the service's peer. Its run state is NotRun if the service certainly did not
// perform the operation, and MayHaveRun if the answer was lost. Its retry time is that of the options.

namespace jasminewood::platform
{

using Revision = std::int64_t;
using LeaseId = std::int64_t;

// Means that a key belongs to no lease.
inline constexpr LeaseId noLease = 0;

struct KeyValue
{
    const std::string key_;
    const std::string value_;
    const Revision createRevision_ = 0;
    // The revision of the last write, which compareAndSwap() expects.
    const Revision modRevision_ = 0;
    const LeaseId lease_ = noLease;

    auto operator<=>(const KeyValue &) const = default;
};

// The keys of a prefix, in order, at one revision. A watch from revision_ + 1 misses nothing.
struct Snapshot
{
    const Revision revision_ = 0;
    const std::vector<KeyValue> entries_;

    auto operator<=>(const Snapshot &) const = default;
};

// What a conditional write did.
struct WriteOutcome
{
    const bool written_ = false;
    // The service's revision after the call; the key's mod revision if written_ is set.
    const Revision revision_ = 0;
    // The present entry if the write was refused and the key exists.
    const std::optional<KeyValue> present_;

    auto operator<=>(const WriteOutcome &) const = default;
};

struct KeyAbsent
{
    const std::string key_;

    auto operator<=>(const KeyAbsent &) const = default;
};

struct ModRevisionIs
{
    const std::string key_;
    const Revision revision_ = 0;

    auto operator<=>(const ModRevisionIs &) const = default;
};

struct ValueIs
{
    const std::string key_;
    const std::string value_;

    auto operator<=>(const ValueIs &) const = default;
};

using Condition = std::variant<KeyAbsent, ModRevisionIs, ValueIs>;

struct PutKey
{
    const std::string key_;
    const std::string value_;
    const LeaseId lease_ = noLease;

    auto operator<=>(const PutKey &) const = default;
};

struct ReadKey
{
    const std::string key_;

    auto operator<=>(const ReadKey &) const = default;
};

struct DeleteKey
{
    const std::string key_;

    auto operator<=>(const DeleteKey &) const = default;
};

struct Transaction;

// A transaction inside another one. All conditions, also nested ones, are checked before any write.
struct NestedTransaction
{
    const std::shared_ptr<const Transaction> transaction_;
};

using Operation = std::variant<PutKey, ReadKey, DeleteKey, NestedTransaction>;

// Performs onSuccess_ if all conditions hold, else onFailure_, at one revision. No key may be put twice.
struct Transaction
{
    const std::vector<Condition> conditions_;
    const std::vector<Operation> onSuccess_;
    const std::vector<Operation> onFailure_;
};

struct OperationOutcome;

struct TransactionOutcome
{
    const bool succeeded_ = false;
    const Revision revision_ = 0;
    // One for each operation of the branch that was performed.
    const std::vector<OperationOutcome> operations_;
};

struct OperationOutcome
{
    // The entry that a ReadKey found.
    const std::optional<KeyValue> found_;
    // The outcome of a nested transaction.
    const std::shared_ptr<const TransactionOutcome> nested_;
};

struct KeyPut
{
    const KeyValue entry_;

    auto operator<=>(const KeyPut &) const = default;
};

struct KeyDeleted
{
    const std::string key_;
    const Revision revision_ = 0;

    auto operator<=>(const KeyDeleted &) const = default;
};

using WatchEvent = std::variant<KeyPut, KeyDeleted>;

struct WatchRequest
{
    // A key, or a prefix if prefix_ is set.
    const std::string key_;
    const bool prefix_ = false;
    const Revision fromRevision_ = 0;
    // The watch returns after this time so that its caller renews it: a connection that went silent is thereby
    // replaced.
    const Milliseconds limit_ = Milliseconds(30'000);

    auto operator<=>(const WatchRequest &) const = default;
};

// Cancels one watch. Thread-safe; used for one watch only.
class WatchCall
{
public:
    // Ends the watch at once, also if it starts later.
    auto cancel() -> void;

private:
    friend class KeyValueClient;

    http::StreamCall call_;
    std::atomic<bool> cancelled_ = false;
};

struct KeyValueOptions
{
    // For example "http://10.0.0.9:2379".
    const std::string url_;
    // Limit of each call except a watch.
    const Milliseconds deadline_ = Milliseconds(2'000);
    const Milliseconds connectTimeout_ = Milliseconds(1'000);
    // The retry time that failures carry.
    const Milliseconds retryAfter_ = Milliseconds(1'000);

    auto operator<=>(const KeyValueOptions &) const = default;
};

// Thread-safe. All calls block until their deadline at most.
class KeyValueClient
{
public:
    explicit KeyValueClient(const KeyValueOptions &options);

    auto get(const std::string &key) -> Result<std::optional<KeyValue>>;
    auto getPrefix(const std::string &prefix) -> Result<Snapshot>;

    // Writes the key unless it exists.
    auto createIfAbsent(const std::string &key, const std::string &value, LeaseId lease = noLease)
        -> Result<WriteOutcome>;

    // Writes the key if its mod revision is the expected one.
    auto compareAndSwap(const std::string &key, Revision expectedModRevision, const std::string &value)
        -> Result<WriteOutcome>;

    // Writes the key whatever it holds and returns its mod revision.
    auto put(const std::string &key, const std::string &value, LeaseId lease = noLease) -> Result<Revision>;

    // Deletes the key and returns whether it existed.
    auto remove(const std::string &key) -> Result<bool>;

    // Performs several operations in one call.
    auto transaction(const Transaction &transaction) -> Result<TransactionOutcome>;

    auto grantLease(std::chrono::seconds timeToLive) -> Result<LeaseId>;

    // Returns the remaining time, or 0 if the lease has expired.
    auto keepAlive(LeaseId lease) -> Result<std::chrono::seconds>;

    // Deletes the keys of the lease.
    auto revokeLease(LeaseId lease) -> Status;

    // Calls onEvent in order of revision for all changes from fromRevision_ on. Returns the revision from which to
    // watch next once the limit is reached. Fails with step "kv compacted" if fromRevision_ is no longer kept, so that
    // the caller has to read a snapshot, and with step "cancel" after cancel().
    auto watch(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;

    // The number of calls made since the start; a watch counts as one.
    auto calls() const -> std::uint64_t;

private:
    auto post(const std::string &operation, const std::string &path, const std::string &body) -> Result<std::string>;
    auto conditionalWrite(const Condition &condition, const PutKey &write) -> Result<WriteOutcome>;

    const KeyValueOptions options_;
    std::atomic<std::uint64_t> calls_ = 0;
};

} // namespace jasminewood::platform
