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

// Service "platform" of the router: follows the manifest in the key-value service and the VM list, and performs
// submissions of manifests.

namespace jasminewood::router
{

// Where the manifest and the records of submissions stand in the key-value service.
constexpr auto manifestKey = "/jasminewood/manifest";
constexpr auto submissionKeyPrefix = "/jasminewood/submissions/";

constexpr Milliseconds vmListPollInterval = Milliseconds(2000);

// Thread-safe. Runs one task for the watch of the manifest and one for the VM list.
class PlatformSync
{
public:
    PlatformSync(
        std::shared_ptr<platform::KeyValueClient> keyValues, const platform::VmListOptions &vmList, std::uint64_t seed);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Submits a manifest and returns the outcome: Accepted, Conflict or Unknown. An accepted manifest is in force in
    // this process when the call returns.
    auto submit(const manifest::SubmissionRequest &request) -> manifest::Action;

    // Resolves a submission whose outcome was unknown, by its id.
    auto submissionStatus(const std::string &submission) -> manifest::CallResult;

    // Calls to the key-value service since the start; a waiting watch counts as one.
    auto keyValueCalls() const -> std::uint64_t;

    // Why the last try to read or watch the manifest failed; empty while the watch works.
    auto keyValueFailure() const -> Status;

    // Why the last try to read the VM list failed; empty if it succeeded.
    auto vmListFailure() const -> Status;

private:
    auto followManifest() -> void;
    // Reads the manifest and watches it until a call fails or this service stops.
    auto watchManifest(membership::Backoff &backoff) -> Failure;
    auto readManifest() -> Result<platform::Revision>;
    auto followVmList() -> void;
    // Null after a success.
    auto noteVmList(const Failure *failure) -> void;
    auto apply(const platform::KeyValue &entry) -> void;
    auto perform(const manifest::Action &action) -> manifest::CallResult;
    auto write(const manifest::WriteIfUnchanged &action) -> manifest::CallResult;
    auto waitUnlessStopping(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> keyValues_;
    const platform::VmListClient vmList_;
    const std::uint64_t seed_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<UpstreamManager> upstreams_;
    std::shared_ptr<RouterPeers> peers_;

    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    std::shared_ptr<platform::WatchCall> watch_;
    Status keyValueFailure_;
    Status vmListFailure_;
    bool stopping_ = false;
    std::thread manifestTask_;
    std::thread vmListTask_;
};

} // namespace jasminewood::router
