#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/manifest/submission.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/platform/vm_list.h"
#include "jasminewood/router/router_peers.h"
#include "jasminewood/router/upstream_manager.h"

// Service "platform" of the router: watches the manifest in the key-value service, polls the VM list, and submits
// manifests.

namespace jasminewood::router
{

// Keys of the manifest and of the submission records in the key-value service.
constexpr auto manifestKey = "/jasminewood/manifest";
constexpr auto submissionKeyPrefix = "/jasminewood/submissions/";

constexpr Milliseconds vmListPollInterval = Milliseconds(2000);

// Thread-safe. Runs one thread that watches the manifest and one that polls the VM list.
class PlatformSync
{
public:
    PlatformSync(std::shared_ptr<platform::KeyValueClient> keyValueClient, const platform::VmListOptions &vmList,
        std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Submits a manifest and returns the outcome: Accepted, Conflict or OutcomeUnknown. An accepted manifest is active
    // in this process when the call returns.
    auto submit(const manifest::SubmissionRequest &request) -> manifest::Action;

    // Resolves a submission whose outcome is unknown, by its id.
    auto submissionStatus(const std::string &submission) -> manifest::CallResult;

    // Returns the number of calls to the key-value service since the start; a pending watch counts as one.
    auto keyValueCalls() const -> std::uint64_t;

    // Returns why the last read or watch of the manifest failed; empty while the watch succeeds.
    auto keyValueFailure() const -> Status;

    // Returns why the last read of the VM list failed; empty if it succeeded.
    auto vmListFailure() const -> Status;

private:
    auto watchManifestUntilStopped() -> void;
    // Reads the manifest, then watches it until a call fails or this service stops. Returns the reason for the end.
    auto watchManifest(membership::Backoff &backoff) -> Failure;
    auto readManifest() -> Result<platform::StorePosition>;
    auto pollVmListUntilStopped() -> void;
    // Records the result of a read of the VM list; null stands for success.
    auto recordVmListResult(const Failure *failure) -> void;
    auto applyManifestEntry(const platform::KeyValue &entry) -> void;
    auto perform(const manifest::Action &action) -> manifest::CallResult;
    auto writeManifest(const manifest::WriteIfUnchanged &action) -> manifest::CallResult;
    auto sleepUnlessStopping(Milliseconds duration) -> bool;

    const std::shared_ptr<platform::KeyValueClient> keyValueClient_;
    const platform::VmListClient vmListClient_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RouterPeers> routerPeers_;

    mutable std::mutex mutex_;
    std::condition_variable stopRequested_;
    std::shared_ptr<platform::WatchCall> activeWatch_;
    Status keyValueFailure_;
    Status vmListFailure_;
    bool stopping_ = false;
    std::thread manifestThread_;
    std::thread vmListThread_;
};

} // namespace jasminewood::router
