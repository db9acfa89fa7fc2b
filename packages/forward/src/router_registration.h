#pragma once

#include <compare>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "jasminewood/core/result.h"
#include "jasminewood/platform/key_value.h"

// Keeps the entry of this router in the store: under a lease that is renewed, and written again if it is gone or has
// another writer.
//
// The store may perform a write seconds after its response was lost. Each write is therefore conditional on the
// revision of the entry, so that a late one fails once another one was performed, and a write that is repeated has the
// same lease, so that the entry belongs to the lease that is renewed whichever of them is performed.

namespace jasminewood::forward::internal
{

// What the store's feed last said of the entry.
struct EntryObservation
{
    // The entry was like this after all changes up to here.
    const platform::StorePosition upTo_;
    // The revision of the entry's last write; 0 if there is no entry.
    const platform::Revision revision_ = 0;

    auto operator<=>(const EntryObservation &) const = default;
};

// renew() and revoke() must be called by one thread. The others are thread-safe.
class RouterRegistration
{
public:
    RouterRegistration(
        std::shared_ptr<platform::KeyValueClient> store, const std::string &key, const std::string &value);

    // Renews the lease, and writes the entry if there is none of this router.
    auto renew() -> Status;

    // Ends the lease, and the entry with it.
    auto revoke() -> Status;

    // Records what the store's feed says of the entry.
    auto observe(const EntryObservation &observation) -> void;

    // Returns whether the entry must be written again: it is gone, another writer has replaced it, or its lease has
    // ended with its era.
    auto isLost() const -> bool;

    auto key() const -> const std::string &;

private:
    auto renewLease() -> Status;
    // Returns the revision that the entry of this router now has.
    auto write() -> Result<platform::StorePosition>;
    // Returns the entry in the store, if there is one.
    auto read() -> Result<std::optional<platform::KeyValue>>;
    auto isOwn(const platform::KeyValue &entry) const -> bool;
    auto isWritten() const -> bool;
    auto observedRevision() const -> platform::Revision;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const std::string key_;
    const std::string value_;
    mutable std::mutex mutex_;
    // The lease outlives a write whose response was lost.
    std::optional<platform::Lease> lease_;
    // Where this router's entry was written; empty if there is none that is known.
    std::optional<platform::StorePosition> written_;
    std::optional<EntryObservation> observed_;
};

} // namespace jasminewood::forward::internal
