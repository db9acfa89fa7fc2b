#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/election/leader_election.h"
#include "jasminewood/platform/key_value_types.h"

// The keys of one duty in the store, as far as this router knows them, and their text forms.

namespace jasminewood::forward
{

// The value of the key that names the holder of a duty.
struct HolderRecord
{
    const election::LeaderRecord leader_;
    // The era of the store that the lease was granted in.
    const platform::Era era_ = 0;

    auto operator<=>(const HolderRecord &) const = default;
};

auto formatHolder(const HolderRecord &record) -> std::string;

// Returns nothing if the text is malformed.
auto parseHolder(const std::string &text) -> std::optional<HolderRecord>;

struct DutyKey
{
    const std::string value_;
    const platform::Revision revision_ = 0;

    auto operator<=>(const DutyKey &) const = default;
};

// Thread-safe.
class DutyKeys
{
public:
    // All keys, as of one position, from the store feed. It alone begins a new era, since its events state none. Older
    // knowledge of a key does not replace newer knowledge of the same era. The time is of the boot clock.
    auto applySnapshot(const platform::Snapshot &snapshot, TimePoint now) -> void;
    // All keys, read from the store itself. Returns false, without effect, if they are of another era.
    auto applyRead(const platform::Snapshot &snapshot) -> bool;
    auto applyEvent(const platform::WatchEvent &event) -> void;
    // A key that this router wrote.
    auto applyWrite(const std::string &key, const std::string &value, platform::Revision revision) -> void;

    // Returns nothing if the key does not exist.
    auto find(const std::string &key) const -> std::optional<DutyKey>;

    // Returns the revision of a key; 0 if it does not exist.
    auto revisionOf(const std::string &key) const -> platform::Revision;

    // Returns the era of the store and when this router learned of it; empty before the first snapshot.
    struct KnownEra
    {
        platform::Era era_ = 0;
        TimePoint learnedAt_;
    };
    auto era() const -> std::optional<KnownEra>;

private:
    struct Entry
    {
        // Empty if the key was deleted.
        std::optional<std::string> value_;
        platform::Revision revision_ = 0;
    };

    // These require mutex_.
    auto applyAll(const platform::Snapshot &snapshot) -> void;
    auto apply(const std::string &key, std::optional<std::string> value, platform::Revision revision) -> void;

    mutable std::mutex mutex_;
    std::optional<KnownEra> era_;
    std::map<std::string, Entry> entries_;
};

} // namespace jasminewood::forward
