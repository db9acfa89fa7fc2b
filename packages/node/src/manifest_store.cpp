#include "jasminewood/node/manifest_store.h"

#include <utility>

#include "jasminewood/manifest/check.h"

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
    return holder_.current();
}

auto ManifestStore::update(std::uint64_t revision, const std::string &text) -> bool
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (revision <= holder_.revision()) {
            return false;
        }
    }
    const auto checked = manifest::check(text, "manifest");
    const auto *valid = std::get_if<std::shared_ptr<const manifest::Manifest>>(&checked);
    if (valid == nullptr) {
        const auto &faults = std::get<std::vector<manifest::ConfigError>>(checked);
        environment_->log().error("a manifest from the platform does not pass the check",
            {{"revision", std::int64_t(revision)}, {"reason", ini::toString(faults.front())}});
        return false;
    }
    return apply(manifest::VersionedManifest {.revision_ = revision, .manifest_ = *valid, .text_ = text});
}

auto ManifestStore::apply(const manifest::VersionedManifest &offered) -> bool
{
    const auto notifying = std::lock_guard(notifyMutex_);
    auto subscribers = std::vector<ManifestSubscriber>();
    {
        const auto lock = std::lock_guard(mutex_);
        if (!holder_.update(offered)) {
            return false;
        }
        subscribers = subscribers_;
    }
    environment_->log().info("manifest in force", {{"revision", std::int64_t(offered.revision_)}});
    environment_->timeline().record(
        {.step_ = "manifest", .detail_ = "revision " + std::to_string(offered.revision_) + " in force"});
    const auto inForce = current();
    for (const auto &subscriber : subscribers) {
        subscriber(inForce);
    }
    return true;
}

auto ManifestStore::subscribe(ManifestSubscriber subscriber) -> void
{
    const auto notifying = std::lock_guard(notifyMutex_);
    const auto inForce = current();
    if (inForce) {
        subscriber(inForce);
    }
    const auto lock = std::lock_guard(mutex_);
    subscribers_.push_back(std::move(subscriber));
}

} // namespace jasminewood::node
