#include "jasminewood/manifest/revision.h"

#include <tuple>
#include <utility>

namespace jasminewood::manifest
{

auto VersionedManifest::operator<=>(const VersionedManifest &other) const -> std::strong_ordering
{
    return std::tie(revision_, submission_, text_) <=> std::tie(other.revision_, other.submission_, other.text_);
}

auto VersionedManifest::operator==(const VersionedManifest &other) const -> bool
{
    return std::tie(revision_, submission_, text_) == std::tie(other.revision_, other.submission_, other.text_);
}

auto LatestManifest::update(VersionedManifest candidate) -> bool
{
    if (current_ && candidate.revision_ <= current_->revision_) {
        return false;
    }
    current_ = std::make_shared<const VersionedManifest>(std::move(candidate));
    return true;
}

auto LatestManifest::current() const -> std::shared_ptr<const VersionedManifest>
{
    return current_;
}

auto LatestManifest::revision() const -> std::uint64_t
{
    return current_ ? current_->revision_ : 0;
}

} // namespace jasminewood::manifest
