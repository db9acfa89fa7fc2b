#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "jasminewood/platform/key_value_types.h"

// Changes of the platform's store that one router has read and passes on to others.
//
//     const auto step = relay::applyBatch(position, batch);
//     if (const auto *news = std::get_if<relay::NewChanges>(&step)) { ... position = news->upTo_; }

namespace jasminewood::relay
{

// All changes of one era of the store after a revision up to and including a position, in order of revision.
struct ChangeBatch
{
    const platform::Revision after_ = 0;
    const platform::StorePosition upTo_;
    const std::vector<platform::WatchEvent> changes_;

    auto operator<=>(const ChangeBatch &) const = default;
};

// The changes of a batch that are not applied yet, and the position that is reached with them.
struct NewChanges
{
    const platform::StorePosition upTo_;
    const std::vector<platform::WatchEvent> changes_;

    auto operator<=>(const NewChanges &) const = default;
};

// The batch holds nothing new.
struct NothingNew
{
    auto operator<=>(const NothingNew &) const = default;
};

// Changes between the applied position and the batch are missing, or the batch is of a newer era.
struct MissingChanges
{
    auto operator<=>(const MissingChanges &) const = default;
};

using BatchStep = std::variant<NewChanges, NothingNew, MissingChanges>;

auto revisionOf(const platform::WatchEvent &change) -> platform::Revision;

// Decides what of a batch applies to state that includes all changes up to `applied`, or to no state. An older batch
// never takes state back, and changes are never skipped: a new era needs a snapshot.
auto applyBatch(platform::StorePosition applied, const ChangeBatch &batch) -> BatchStep;

// The keys and values that a log holds at most, in bytes.
constexpr std::size_t maximumLogBytes = 64 * 1024;

// The newest changes that a router has read. Not thread-safe.
class ChangeLog
{
public:
    // Starts again from a position: changes up to it cannot be passed on.
    auto restart(platform::StorePosition position) -> void;

    // Appends a batch of the same era that begins at upTo().
    auto append(const ChangeBatch &batch) -> void;

    // Returns the changes after a position; empty if the log does not reach back to it, or not as far as it.
    auto changesSince(platform::StorePosition position) const -> std::optional<ChangeBatch>;

    // Returns the position up to which all changes were read.
    auto upTo() const -> platform::StorePosition;

private:
    auto dropOldest() -> void;

    std::deque<platform::WatchEvent> changes_;
    std::size_t bytes_ = 0;
    // The log holds all changes of the era after this revision.
    platform::Revision after_ = 0;
    platform::StorePosition upTo_;
};

} // namespace jasminewood::relay
