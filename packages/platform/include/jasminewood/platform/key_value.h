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

// A client of the key-value service, over one of the protocols of key_value_protocol.h.
//
//     auto client = platform::KeyValueClient({.url_ = "http://10.0.0.9:2379"});
//     const auto claimed = client.createIfAbsent("/jasminewood/claims/1", value);
//     if (!claimed && claimed.failure().runState_ == RunState::MayHaveRun) { /* read the key back */ }
//
// A failure has step "kv OPERATION" and the service's address as peer. Its run state is NotRun if the service certainly
// did not perform the operation, and MayHaveRun if the response was lost. Its retry time is that of the options.

namespace jasminewood::platform
{

// Cancels one watch. Thread-safe. Use each object for one watch only.
class WatchCall
{
public:
    // Ends the watch at once, or as soon as it starts.
    auto cancel() -> void;

private:
    friend class KeyValueClient;

    http::StreamCall call_;
    std::atomic<bool> cancelled_ = false;
};

// The maximum time of a read whose response keeps arriving, as a multiple of the timeout.
constexpr int maximumReadTimeouts = 10;

struct KeyValueOptions
{
    // For example "http://10.0.0.9:2379".
    const std::string url_;
    // Timeout of each call that is not a watch. A read of a prefix, and the response to a watch with PagedProtocol, may
    // take longer for as long as the response keeps arriving, up to maximumReadTimeouts times the timeout: how much
    // there is to read depends on what others have written.
    const Milliseconds timeout_ = Milliseconds(2'000);
    const Milliseconds connectTimeout_ = Milliseconds(1'000);
    // The retry time in failures.
    const Milliseconds retryAfter_ = Milliseconds(1'000);
    const KeyValueProtocol protocol_ = EtcdGateway {};
    // Called before each call with the name of its operation, such as "watch"; may be empty.
    const std::function<auto(const std::string &operation)->void> onCall_ = {};
};

// Thread-safe. All calls block, at most until their deadline.
class KeyValueClient
{
public:
    explicit KeyValueClient(const KeyValueOptions &options);

    auto get(const std::string &key) -> Result<std::optional<KeyValue>>;
    auto getPrefix(const std::string &prefix) -> Result<Snapshot>;

    // Writes the key if it does not exist.
    auto createIfAbsent(const std::string &key, const std::string &value, LeaseId lease = noLease)
        -> Result<WriteOutcome>;

    // Writes the key if its mod revision is the expected one.
    auto compareAndSwap(const std::string &key, Revision expectedModRevision, const std::string &value)
        -> Result<WriteOutcome>;

    // Writes the key unconditionally and returns its mod revision.
    auto put(const std::string &key, const std::string &value, LeaseId lease = noLease) -> Result<Revision>;

    // Deletes the key and returns whether it existed.
    auto remove(const std::string &key) -> Result<bool>;

    // Performs several operations in one call.
    auto transaction(const Transaction &transaction) -> Result<TransactionOutcome>;

    auto grantLease(std::chrono::seconds timeToLive) -> Result<LeaseId>;

    // Renews the lease. Returns its remaining time to live, or 0 if it has expired.
    auto keepAlive(LeaseId lease) -> Result<std::chrono::seconds>;

    // Revokes the lease, which deletes its keys.
    auto revokeLease(LeaseId lease) -> Status;

    // Calls onEvent in order of revision for all changes from fromRevision_ on. Returns the revision from which to
    // watch next after the watch's timeout, or with PagedProtocol after the first events. Fails with step "kv
    // compacted" if the history from fromRevision_ on has been compacted, so that the caller has to read a snapshot,
    // and with step "cancel" after cancel().
    auto watch(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;

    // Returns the number of calls that this client has made; a watch counts as one.
    auto callCount() const -> std::uint64_t;

private:
    // The maximum time of a call, and the maximum time without data; 0 for no limit.
    struct CallLimits
    {
        const Milliseconds total_ = Milliseconds(0);
        const Milliseconds idle_ = Milliseconds(0);
    };

    auto post(const std::string &operation, const std::string &path, const std::string &body) -> Result<std::string>;
    auto wrapFailure(const std::string &operation, const Failure &reason) const -> Failure;
    auto countCall(const std::string &operation) -> void;
    // Performs a call and returns its response with any status.
    auto performCall(const std::string &operation, const HttpCall &call, const CallLimits &limits)
        -> Result<http::ClientResponse>;
    template <typename Value>
    auto parseBody(const std::string &operation, const Result<std::string> &body,
        const std::function<auto(const std::string &)->Result<Value>> &parser) const -> Result<Value>;
    auto fetchBody(const std::string &operation, const HttpCall &call, const CallLimits &limits) -> Result<std::string>;
    // Limits of a call that must be complete within the timeout, and of a read, which must make progress.
    auto callLimits() const -> CallLimits;
    auto readLimits() const -> CallLimits;
    auto getAllPages(const PagedProtocol &protocol, const std::string &prefix) -> Result<Snapshot>;
    auto watchStream(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;
    auto watchByLongPoll(const PagedProtocol &protocol, const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>;
    auto conditionalWrite(const Condition &condition, const PutKey &write) -> Result<WriteOutcome>;

    const KeyValueOptions options_;
    std::atomic<std::uint64_t> calls_ = 0;
};

} // namespace jasminewood::platform
