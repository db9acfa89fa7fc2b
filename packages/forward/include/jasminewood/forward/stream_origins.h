#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/forward/configuration_watcher.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/routing/stream_versions.h"

// Service "stream-origins": at which software version of a service each stream began that may be resumed.
//
// routing::StreamVersions decides; this service tells it what the store feed, the configuration and the upstreams say,
// and writes to the store what the routers have to agree on or may have to know. It reads the store itself where a
// record that the feed has not brought yet would decide.

namespace jasminewood::forward
{

class PeerNetwork;

struct StreamOriginsOptions
{
    // The prefix of this system's keys in the store.
    const std::string keyPrefix_ = "jasminewood/";
    // The longest random delay before agreed versions are written, so that one router writes and the others read it.
    const Milliseconds maximumProposalDelay_ = Milliseconds(400);
    // How long new records are collected for one write, at least.
    const Milliseconds recordInterval_ = Milliseconds(250);
    // The pause after a failed write, and between two writes of agreed versions.
    const Milliseconds retryInterval_ = Milliseconds(1'000);
    const std::uint64_t seed_ = 0;
};

// Requires the services "environment", "configuration", "upstreams" and "store-feed", and must start after the former
// three; counts the routers if there is a service "peer-network". Thread-safe.
class StreamOrigins
{
public:
    StreamOrigins(std::shared_ptr<platform::KeyValueClient> store, const StreamOriginsOptions &options = {});

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Returns the versions at which new streams of the service may begin: those of which all routers know, otherwise
    // those that are agreed on; empty if there are none, and streams may begin at any.
    auto allowedVersions(const std::string &service) const -> std::set<std::string>;

    // Returns the only version at which streams may begin without a record while records cannot be written; empty while
    // they can, and if there is no such version.
    auto versionWithoutRecord(const std::string &service) const -> std::optional<std::string>;

    // Records that the first event of a new stream is to be passed on, which this request brought. An empty version
    // stands for an unknown one. Waits for the write if the stream counted as one of another version without it; fails
    // with step "record" if that could not be done before the deadline, and with step "caller" soon after
    // hasCallerLeft, which must not block and may be empty, returns true.
    auto recordBegin(const std::string &requestId, const routing::StreamOrigin &origin, TimePoint deadline,
        const std::function<auto()->bool> &hasCallerLeft = {}) -> Status;

    // Returns where the stream began whose first event this request brought, on a route to this service. Waits until
    // the deadline while it is unknown.
    auto awaitOrigin(const std::string &requestId, const std::string &service, TimePoint deadline)
        -> routing::OriginDecision;

private:
    // The streams of one key, which is written again while streams are added.
    struct Batch
    {
        const std::string key_;
        const TimePoint begunAt_;
        std::vector<routing::StreamRecord> records_;
        // The revision of the last write of the key; 0 before the first one.
        platform::Revision revision_ = 0;
    };

    struct WriterLease
    {
        const platform::Lease lease_;
        // No key is written under the lease from then on, since it would not outlive the memory.
        const TimePoint usableUntil_;
    };

    // A write of agreed versions.
    struct Proposal
    {
        const std::string service_;
        const routing::AgreedVersions agreed_;
        const platform::Revision expectedRevision_ = 0;
    };

    auto subscribe(StoreFeed &feed) -> void;
    auto applySnapshot(const platform::Snapshot &snapshot) -> void;
    auto applyEvent(const platform::WatchEvent &event) -> void;
    // Takes over what the configuration and the upstreams say, once all changes have been passed on.
    auto applyProgress(BootTime upToDateAt) -> void;
    // Writes whenever something is due. Run by a thread of its own.
    auto runWrites() -> void;

    // These require mutex_.
    // Returns the age of what the store said; the longest time if it said nothing.
    auto storeAge() const -> Milliseconds;
    auto applyEntry(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void;
    auto applyVersions(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void;
    auto applyChange(const platform::WatchEvent &event, TimePoint now) -> void;
    auto applyDeletion(const platform::KeyDeleted &deletion, TimePoint now) -> void;
    // Handles an entry of agreed versions that is missing or cannot be read: it has to be written again.
    auto applyLostVersions(const std::string &key, TimePoint now) -> void;
    auto applyConfiguration(const std::shared_ptr<const routes::RouteTable> &table) -> void;
    auto scheduleProposals(TimePoint now) -> void;
    auto scheduleRecords(TimePoint now, routing::RecordNeed need) -> void;
    auto canRecord(TimePoint now) const -> bool;
    // Puts off all writes of records.
    auto delayRecords(TimePoint now) -> void;
    auto proposals(TimePoint now) const -> std::vector<Proposal>;
    auto recordInterval() const -> Milliseconds;
    auto nextDueAt() const -> std::optional<TimePoint>;
    auto logIgnored(const platform::KeyValue &entry, const Failure &failure) const -> void;
    // Adds streams to the batch, or begins a new one with them.
    auto extendBatch(const std::vector<routing::StreamRecord> &records, TimePoint now) -> void;

    // These release the lock during calls to the store.
    auto writeProposals(std::unique_lock<std::mutex> &lock) -> void;
    auto writeRecords(std::unique_lock<std::mutex> &lock) -> void;

    // Reads and applies what changed in the store since the feed's last report.
    auto readRecords(std::unique_lock<std::mutex> &lock) -> Status;
    // Reads the records whenever a request needs them. Run by a thread of its own.
    auto runReads() -> void;

    // These must be called without mutex_, by the thread that writes.
    auto writeProposal(const Proposal &proposal) -> void;
    // Returns the revision of the write.
    auto writeBatch(const Batch &batch, Milliseconds memory) -> Result<platform::Revision>;
    auto renewLease(Milliseconds memory) -> Status;

    auto versionsKey(const std::string &service) const -> std::string;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const StreamOriginsOptions options_;
    const std::string versionsPrefix_;
    const std::string streamsPrefix_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<StoreFeed> feed_;
    std::shared_ptr<PeerNetwork> network_;
    std::optional<observe::Counter> writtenCounter_;
    std::optional<observe::Counter> readCounter_;
    mutable std::mutex mutex_;
    // Notified when the writing thread has something to do, when the reading thread has, and when an origin may have
    // become known or a record may have been written.
    std::condition_variable workCondition_;
    std::condition_variable readCondition_;
    std::condition_variable originCondition_;
    bool stopping_ = false;
    // Empty until the first snapshot.
    std::optional<routing::StreamVersions> versions_;
    platform::Era era_ = 0;
    // All changes that the store accepted before were passed to versions_.
    std::optional<BootTime> upToDateAt_;
    std::shared_ptr<const routes::RouteTable> table_;
    // The services with streams that may be resumed.
    std::set<std::string> services_;
    Milliseconds memory_ = Milliseconds(0);
    // The revisions of the entries of agreed versions, by key.
    std::map<std::string, platform::Revision> revisions_;
    std::optional<TimePoint> proposalsDueAt_;
    std::optional<TimePoint> recordsDueAt_;
    // Neither agreed versions nor records are written before.
    TimePoint nextProposalAt_;
    TimePoint nextRecordsAt_;
    // Not even records that a stream waits for are written before.
    TimePoint recordsDelayedUntil_;
    // The newest request that needs the records, and up to when all of them have been read.
    std::optional<BootTime> recordsNeededAt_;
    std::optional<BootTime> recordsReadAt_;
    // The read in progress.
    std::shared_ptr<platform::WatchCall> recordsCall_;
    membership::Backoff proposalDelay_;
    std::optional<Batch> batch_;
    std::uint64_t batchCount_ = 0;
    // Used by the writing thread only.
    std::optional<WriterLease> lease_;
    std::thread writeThread_;
    std::thread readThread_;
};

} // namespace jasminewood::forward
