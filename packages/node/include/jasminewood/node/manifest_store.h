#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/manifest/revision.h"
#include "jasminewood/node/environment.h"

// Service "manifest": the newest manifest that this process has received.
//
//     manifestStore->subscribe([](const node::ManifestPointer &manifest) { ... });
//     manifestStore->update(update.revision_, update.text_);

namespace jasminewood::node
{

using ManifestPointer = std::shared_ptr<const manifest::VersionedManifest>;
using ManifestSubscriber = std::function<auto(const ManifestPointer &)->void>;

// Thread-safe. The revision of the current manifest never decreases.
class ManifestStore
{
public:
    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Returns the current manifest; null before the first one.
    auto current() const -> ManifestPointer;

    // Makes the manifest current if its revision is higher than the current one and the text is valid. Returns whether
    // it became current.
    auto update(std::uint64_t revision, const std::string &text) -> bool;

    // Calls the subscriber with the current manifest, if there is one, and with each later one, in order of revision.
    // The subscriber must not call update().
    auto subscribe(ManifestSubscriber subscriber) -> void;

private:
    auto apply(const manifest::VersionedManifest &newManifest) -> bool;

    std::shared_ptr<Environment> environment_;
    mutable std::mutex mutex_;
    // Held while subscribers are called, so that they receive revisions in order.
    std::mutex notificationMutex_;
    manifest::LatestManifest latestManifest_;
    std::vector<ManifestSubscriber> subscribers_;
};

} // namespace jasminewood::node
