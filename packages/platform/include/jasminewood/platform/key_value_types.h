#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/clock.h"

// Data types of the key-value service: entries, conditions, operations, outcomes and events.

namespace jasminewood::platform
{

using Revision = std::int64_t;
using LeaseId = std::int64_t;

// Counts how often the service came back from an older copy of itself. What was written after the copy is lost, and its
// revisions are given out again for other changes. Always 0 for a service that does not state it.
using Era = std::int64_t;

// A point in the history of the service. Revisions are comparable within one era only.
struct StorePosition
{
    Era era_ = 0;
    // 0 stands for no position.
    Revision revision_ = 0;

    auto operator<=>(const StorePosition &) const = default;
};

// The lease of a key that belongs to no lease.
inline constexpr LeaseId noLease = 0;

// A lease and the era that it was granted in. In another era its id may be that of another client's lease.
struct Lease
{
    const LeaseId id_ = noLease;
    const Era era_ = 0;

    auto operator<=>(const Lease &) const = default;
};

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

// The keys of a prefix, in order, at one position. A watch of the changes after it misses nothing.
struct Snapshot
{
    const StorePosition position_;
    const std::vector<KeyValue> entries_;

    auto operator<=>(const Snapshot &) const = default;
};

// The outcome of a conditional write.
struct WriteOutcome
{
    const bool written_ = false;
    // The service's revision after the call; the key's mod revision if written_ is set.
    const Revision revision_ = 0;
    // The current entry if the condition did not hold and the key exists.
    const std::optional<KeyValue> current_;

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

// Several writes that are performed together if each key of the conditions has its revision, or does not exist if that
// is 0. No key may be put twice.
struct ConditionalWrites
{
    const std::vector<ModRevisionIs> conditions_;
    const std::vector<PutKey> puts_;

    auto operator<=>(const ConditionalWrites &) const = default;
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
    // A key, or a prefix if isPrefix_ is set.
    const std::string key_;
    const bool isPrefix_ = false;
    // The position after which changes are reported; without one, those after the call.
    const StorePosition after_;
    // The watch returns after this time so that its caller starts it again: this replaces a connection that is
    // silently broken.
    const Milliseconds timeout_ = Milliseconds(30'000);

    auto operator<=>(const WatchRequest &) const = default;
};

} // namespace jasminewood::platform
