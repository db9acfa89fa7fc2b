#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>

#include "jasminewood/manifest/manifest.h"

// The order of manifests. Revisions are those of the key-value service, so that a later accepted manifest always has a
// higher revision.
//
//     auto holder = manifest::LatestManifest();
//     if (holder.update(received)) { push(holder.current()); }

namespace jasminewood::manifest
{

// A checked manifest as accepted under a revision. Equal revisions always have equal text.
struct VersionedManifest
{
    const std::uint64_t revision_ = 0;
    // Id of the submission that was accepted.
    const std::string submission_;
    const std::shared_ptr<const Manifest> manifest_;
    const std::string text_;

    // Compares revision, submission and text; the manifest follows from the text.
    auto operator<=>(const VersionedManifest &other) const -> std::strong_ordering;
    auto operator==(const VersionedManifest &other) const -> bool;
};

// Keeps the manifest with the highest revision offered, whatever the order and repetition of the offers. Not
// thread-safe; the owning service guards it.
class LatestManifest
{
public:
    // Returns true if the offer has a higher revision than the kept one and replaced it.
    auto update(VersionedManifest offered) -> bool;

    // Null before the first offer. The value stays valid after it is replaced.
    auto current() const -> std::shared_ptr<const VersionedManifest>;

    // 0 before the first offer.
    auto revision() const -> std::uint64_t;

private:
    std::shared_ptr<const VersionedManifest> current_;
};

} // namespace jasminewood::manifest
