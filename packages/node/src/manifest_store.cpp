#include "jasminewood/node/manifest_store.h"

#include <utility>

#include "jasminewood/manifest/parse_manifest.h"

namespace jasminewood::node
{

auto ManifestStore::start(const kernel::ServiceRegistry &services) -> Status
{
    return services.require("environment", environment_);
}

auto ManifestStore::stop() -> void
{
}

auto ManifestStore::current() const -> ManifestPointer
{
    const auto lock = std::lock_guard(mutex_);
    return latestManifest_.current();
}

auto ManifestStore::update(std::uint64_t revision, const std::string &text) -> bool
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (revision <= latestManifest_.revision()) {
            return false;
        }
    }
    const auto parseResult = manifest::parseManifest(text, "manifest");
    const auto *parsedManifest = std::get_if<std::shared_ptr<const manifest::Manifest>>(&parseResult);
    if (parsedManifest == nullptr) {
        const auto &configErrors = std::get<std::vector<manifest::ConfigError>>(parseResult);
        environment_->log().error("received manifest is invalid",
            {{"revision", std::int64_t(revision)}, {"reason", ini::toString(configErrors.front())}});
        return false;
    }
    return apply(manifest::VersionedManifest {.revision_ = revision, .manifest_ = *parsedManifest, .text_ = text});
}

auto ManifestStore::apply(const manifest::VersionedManifest &newManifest) -> bool
{
    const auto notificationLock = std::lock_guard(notificationMutex_);
    auto subscribers = std::vector<ManifestSubscriber>();
    {
        const auto lock = std::lock_guard(mutex_);
        if (!latestManifest_.update(newManifest)) {
            return false;
        }
        subscribers = subscribers_;
    }
    environment_->log().info("manifest in force", {{"revision", std::int64_t(newManifest.revision_)}});
    environment_->timeline().record(
        {.step_ = "manifest", .detail_ = "revision " + std::to_string(newManifest.revision_) + " in force"});
    const auto appliedManifest = current();
    for (const auto &subscriber : subscribers) {
        subscriber(appliedManifest);
    }
    return true;
}

auto ManifestStore::subscribe(ManifestSubscriber subscriber) -> void
{
    const auto notificationLock = std::lock_guard(notificationMutex_);
    const auto currentManifest = current();
    if (currentManifest) {
        subscriber(currentManifest);
    }
    const auto lock = std::lock_guard(mutex_);
    subscribers_.push_back(std::move(subscriber));
}

} // namespace jasminewood::node
