#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/manifest/manifest.h"

// Manifests with their revisions. Revisions are those of the key-value service, so that a manifest that was accepted
// later always has a higher revision.
//
//     auto latest = manifest::LatestManifest();
//     if (latest.update(received)) { push(latest.current()); }

namespace jasminewood::manifest
{

// A valid manifest and the revision under which it was accepted. Equal revisions always have equal text.
struct VersionedManifest
{
    const std::uint64_t revision_ = 0;
    // Id of the submission that was accepted.
    const std::string submission_;
    const std::shared_ptr<const Manifest> manifest_;
    const std::string text_;

    // Compares revision, submission and text; the text determines the manifest.
    auto operator<=>(const VersionedManifest &other) const -> std::strong_ordering;
    auto operator==(const VersionedManifest &other) const -> bool;
};

// Keeps the manifest with the highest revision, regardless of the order and repetition of the updates. Not thread-safe;
// the owning service must synchronise access.
class LatestManifest
{
public:
    // Replaces the current manifest if the candidate has a higher revision. Returns whether it was replaced.
    auto update(VersionedManifest candidate) -> bool;

    // Returns null before the first update. The returned value stays valid after it is replaced.
    auto current() const -> std::shared_ptr<const VersionedManifest>;

    // Returns 0 before the first update.
    auto revision() const -> std::uint64_t;

private:
    std::shared_ptr<const VersionedManifest> current_;
};

} // namespace jasminewood::manifest
