#pragma once

#include <condition_variable>
#include <cstdint>
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
#include "jasminewood/forward/upstream_watcher.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/routing/stream_versions.h"

// Service "stream-origins": at which software version of a service each stream began that may be resumed.
//
// routing::StreamVersions decides; this service tells it what the store feed, the configuration and the upstreams say,
// and writes to the store what the routers have to agree on or may have to know. No call waits for a write.

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

    // Records that the first event of a new stream was passed on, which this request brought. An empty version stands
    // for an unknown one.
    auto recordBegin(const std::string &requestId, const routing::StreamOrigin &origin) -> void;

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
    auto run() -> void;

    // These require mutex_.
    // Returns the age of what the store said; the longest time if it said nothing.
    auto storeAge() const -> Milliseconds;
    auto applyEntry(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void;
    auto applyVersions(const platform::KeyValue &entry, routing::HeardChanges heard, TimePoint now) -> void;
    auto applyDeletion(const platform::KeyDeleted &deletion, TimePoint now) -> void;
    // Handles an entry of agreed versions that is missing or cannot be read: it has to be written again.
    auto applyLostVersions(const std::string &key, TimePoint now) -> void;
    auto applyConfiguration(const std::shared_ptr<const routes::RouteTable> &table) -> void;
    auto scheduleProposals(TimePoint now) -> void;
    auto scheduleRecords(TimePoint now) -> void;
    auto proposals(TimePoint now) const -> std::vector<Proposal>;
    auto recordInterval() const -> Milliseconds;
    auto nextDueAt() const -> std::optional<TimePoint>;
    auto logIgnored(const platform::KeyValue &entry, const Failure &failure) const -> void;
    // Adds streams to the batch, or begins a new one with them.
    auto extendBatch(const std::vector<routing::StreamRecord> &records, TimePoint now) -> void;

    // These release the lock during calls to the store.
    auto writeProposals(std::unique_lock<std::mutex> &lock) -> void;
    auto writeRecords(std::unique_lock<std::mutex> &lock) -> void;

    // These must be called without mutex_, by the thread that writes.
    auto writeProposal(const Proposal &proposal) -> void;
    auto writeBatch(const Batch &batch, Milliseconds memory) -> Status;
    auto renewLease(Milliseconds memory) -> Status;

    auto versionsKey(const std::string &service) const -> std::string;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const StreamOriginsOptions options_;
    const std::string versionsPrefix_;
    const std::string streamsPrefix_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<ConfigurationWatcher> configuration_;
    std::shared_ptr<UpstreamWatcher> upstreams_;
    std::shared_ptr<PeerNetwork> network_;
    std::optional<observe::Counter> writtenCounter_;
    mutable std::mutex mutex_;
    // Notified when the writing thread has something to do, and when an origin may have become known.
    std::condition_variable workCondition_;
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
    membership::Backoff proposalDelay_;
    std::optional<Batch> batch_;
    std::uint64_t batchCount_ = 0;
    // Used by the writing thread only.
    std::optional<WriterLease> lease_;
    std::thread thread_;
};

} // namespace jasminewood::forward
