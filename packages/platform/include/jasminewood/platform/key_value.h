#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/client.h"
#include "jasminewood/platform/key_value_protocol.h"
#include "jasminewood/platform/key_value_types.h"

// A client of the key-value service, in one of the dialects of dialect.h.
//
//     auto client = platform::KeyValueClient({.url_ = "http://10.0.0.9:2379"});
//     const auto claimed = client.createIfAbsent("/jasminewood/claims/1", value);
//     if (!claimed && claimed.failure().runState_ == RunState::MayHaveRun) { /* read the key back */ }
//
// A failure has step "kv OPERATION" and the service's peer. Its run state is NotRun if the service certainly did not
// perform the operation, and MayHaveRun if the answer was lost. Its retry time is that of the options.

namespace jasminewood::platform
{

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
    const Milliseconds timeout_ = Milliseconds(2'000);
    const Milliseconds connectTimeout_ = Milliseconds(1'000);
    // The retry time that failures carry.
    const Milliseconds retryAfter_ = Milliseconds(1'000);
    const KeyValueProtocol protocol_ = EtcdGateway {};
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

    // Renews the lease. Returns the remaining time, or 0 if the lease has expired.
    auto keepAlive(LeaseId lease) -> Result<std::chrono::seconds>;

    // Deletes the keys of the lease.
    auto revokeLease(LeaseId lease) -> Status;

    // Calls onEvent in order of revision for all changes from fromRevision_ on. Returns the revision from which to
    // watch next once the limit is reached, or with PagedProtocol once there were events. Fails with step "kv compacted"
    // if fromRevision_ is no longer kept, so that the caller has to read a snapshot, and with step "cancel" after
    // cancel().
    auto watch(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;

    // The number of calls made since the start; a watch counts as one.
    auto calls() const -> std::uint64_t;

private:
    auto post(const std::string &operation, const std::string &path, const std::string &body) -> Result<std::string>;
    auto failed(const std::string &operation, const Failure &reason) const -> Failure;
    // Performs a call and returns its answer, whatever the status.
    auto answered(const std::string &operation, const HttpCall &call) -> Result<http::ClientResponse>;
    template <typename Value>
    auto read(const std::string &operation, const Result<std::string> &body,
        const std::function<auto(const std::string &)->Result<Value>> &reader) const -> Result<Value>;
    auto send(const std::string &operation, const HttpCall &call) -> Result<std::string>;
    auto getPages(const PagedProtocol &dialect, const std::string &prefix) -> Result<Snapshot>;
    auto watchLines(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;
    auto watchOnce(const PagedProtocol &dialect, const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;
    auto conditionalWrite(const Condition &condition, const PutKey &write) -> Result<WriteOutcome>;

    const KeyValueOptions options_;
    std::atomic<std::uint64_t> calls_ = 0;
};

} // namespace jasminewood::platform
