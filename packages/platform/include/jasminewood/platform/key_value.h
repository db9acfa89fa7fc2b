#pragma once

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
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
//
// A service may come back from an older copy of itself, which begins a new era. The client never returns anything from
// an older era than the newest one that a response stated.

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

    // Writes the key if its mod revision is the expected one, or if it does not exist and 0 is expected. With
    // PagedProtocol the outcome does not include the current entry.
    auto compareAndSwap(const std::string &key, Revision expectedModRevision, const std::string &value)
        -> Result<WriteOutcome>;

    // Performs several writes together if all conditions hold. The outcome does not include a current entry, and its
    // revision is that of all written keys.
    auto writeAll(const ConditionalWrites &writes) -> Result<WriteOutcome>;

    // Writes the key unconditionally and returns the position of the write. The service may perform it seconds after
    // its response was lost, and so undo a later write: what more than one call writes needs a condition.
    auto put(const std::string &key, const std::string &value, LeaseId lease = noLease) -> Result<StorePosition>;

    // Deletes the key and returns whether it existed.
    auto remove(const std::string &key) -> Result<bool>;

    // Performs several operations in one call.
    auto transaction(const Transaction &transaction) -> Result<TransactionOutcome>;

    auto grantLease(std::chrono::seconds timeToLive) -> Result<Lease>;

    // Renews the lease. Returns its remaining time to live, or 0 if it has expired. A lease ends with its era.
    auto keepAlive(const Lease &lease) -> Result<std::chrono::seconds>;

    // Revokes the lease, which deletes its keys. Does nothing if its era has ended.
    auto revokeLease(const Lease &lease) -> Status;

    // Calls onEvent in order of revision for all changes after after_. Returns the position after which to watch next
    // when the watch's timeout is over, or with PagedProtocol after the first events. Fails with step "kv compacted" if
    // the history after after_ has been compacted and with step "kv restored" if its era has ended or the service has
    // not reached after_, so that the caller has to read a snapshot, and with step "cancel" after cancel().
    auto watch(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>;

    // Returns the newest era that a response stated.
    auto era() const -> Era;

    // Returns the number of calls that this client has made; a watch counts as one.
    auto callCount() const -> std::uint64_t;

private:
    // The maximum time of a call, and the maximum time without data; 0 for no limit.
    struct CallLimits
    {
        const Milliseconds total_ = Milliseconds(0);
        const Milliseconds idle_ = Milliseconds(0);
    };

    struct Response
    {
        const Era era_ = 0;
        const int status_ = 0;
        const std::string body_;
    };

    auto post(const std::string &operation, const std::string &path, const std::string &body) -> Result<Response>;
    auto wrapFailure(const std::string &operation, const Failure &reason) const -> Failure;
    auto countCall(const std::string &operation) -> void;
    // Returns the era that a response states and records it. Fails if it is older than one that is known.
    auto admitEra(const std::string &operation, const std::map<std::string, std::string> &headers) -> Result<Era>;
    // Performs a call and returns its response with any status.
    auto performCall(const std::string &operation, const HttpCall &call, const CallLimits &limits) -> Result<Response>;
    template <typename Value>
    auto parseBody(const std::string &operation, const Result<Response> &response,
        const std::function<auto(const std::string &)->Result<Value>> &parser) const -> Result<Value>;
    // Performs a call and returns its response if its status is 200.
    auto fetchBody(const std::string &operation, const HttpCall &call, const CallLimits &limits) -> Result<Response>;
    // Limits of a call that must be complete within the timeout, and of a read, which must make progress.
    auto callLimits() const -> CallLimits;
    auto readLimits() const -> CallLimits;
    auto getAllPages(const PagedProtocol &protocol, const std::string &prefix) -> Result<Snapshot>;
    // Returns nothing if a new era began between two pages.
    auto getPagesOfOneEra(const PagedProtocol &protocol, const std::string &prefix) -> Result<std::optional<Snapshot>>;
    auto watchStream(const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>;
    auto watchByLongPoll(const PagedProtocol &protocol, const WatchRequest &request, WatchCall &call,
        const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>;
    // Performs a conditional write that is encoded as a call.
    auto conditionalCall(const PagedProtocol &protocol, const HttpCall &call) -> Result<WriteOutcome>;
    auto conditionalWrite(const Condition &condition, const PutKey &write) -> Result<WriteOutcome>;

    const KeyValueOptions options_;
    std::atomic<std::uint64_t> calls_ = 0;
    std::atomic<Era> era_ = 0;
};

} // namespace jasminewood::platform
