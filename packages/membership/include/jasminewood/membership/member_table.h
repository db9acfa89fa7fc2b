#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/ids.h"
#include "jasminewood/membership/backoff.h"

// Derives the state of each upstream from the VM list, the links to agents and their announcements.
//
//     table.applyVmList(entries, now);
//     table.onConnected(peer, now);
//     for (const auto &member : table.routableMembers("chat")) { ... }

namespace jasminewood::membership
{

// The maximum time by which the VM list lags behind the actual state.
constexpr Milliseconds maximumVmListLag = Milliseconds(30'000);

enum class MemberState : std::uint8_t
{
    // Known from the VM list, not connected yet.
    Joining,
    Live,
    // The link was lost once; a new connection is being tried.
    Suspect,
    // Finishes its running requests and accepts no new work.
    Leaving,
    // Refused a connection, or the link was lost again without a new connection in between.
    Gone,
};

// Returns "joining", "live", "suspect", "leaving" or "gone".
auto toString(MemberState state) -> std::string;

// One entry of the VM list.
struct VmEntry
{
    const std::string name_;
    const std::string address_;
    const std::string pool_;
    const std::string dataCentre_;
    const bool leaving_ = false;

    auto operator<=>(const VmEntry &) const = default;
};

// The peer of a new connection, as described by its Hello message.
struct Peer
{
    const NodeId node_;
    const std::string address_;
    const std::string pool_;
    const std::string dataCentre_;

    auto operator<=>(const Peer &) const = default;
};

struct Member
{
    // The incarnation is 0 until the first connection.
    const NodeId node_;
    const std::string address_;
    const std::string pool_;
    const std::string dataCentre_;
    const MemberState state_ = MemberState::Joining;

    auto operator<=>(const Member &) const = default;
};

// Holds one entry for each member name. Link events carry the incarnation that the link belongs to; events of another
// incarnation are ignored. Not thread-safe.
class MemberTable
{
public:
    // The seed determines the jitter of all backoff delays.
    explicit MemberTable(std::uint64_t seed);

    // Applies a new VM list. An empty list is ignored, because the list is empty during an outage. Members that are
    // missing from the list stay while their link is up.
    auto applyVmList(const std::vector<VmEntry> &entries, TimePoint now) -> void;

    // Called when a connection to the peer is established. A new incarnation replaces the previous one and is not
    // leaving.
    auto onConnected(const Peer &peer, TimePoint now) -> void;

    // Called when the link to this member timed out or broke. The member becomes Suspect the first time, and Gone the
    // second time without onConnected() in between.
    auto onLinkLost(const NodeId &node, TimePoint now) -> void;

    // Called when a dial of this member failed. The member becomes Gone and is dialled again with backoff while the VM
    // list contains it.
    auto onUnreachable(const std::string &name, TimePoint now) -> void;

    // Called when the member announced that it is leaving.
    auto onLeaving(const NodeId &node) -> void;

    // Returns all members, ordered by name.
    auto members() const -> std::vector<Member>;

    // Returns the member with this name, if there is one.
    auto find(const std::string &name) const -> std::optional<Member>;

    // Returns the members of the pool that accept new work, ordered by name.
    auto routableMembers(const std::string &pool) const -> std::vector<Member>;

    // Returns the members that have no connection and are due to be dialled, ordered by name. The outcome of each dial
    // must be reported by onConnected(), onLinkLost() or onUnreachable().
    auto dialTargets(TimePoint now) const -> std::vector<Member>;

    // Returns when the next member is due to be dialled; empty if all are connected.
    auto nextDialTime() const -> std::optional<TimePoint>;

private:
    struct Entry
    {
        std::uint64_t incarnation_ = 0;
        std::string address_;
        std::string pool_;
        std::string dataCentre_;
        bool listed_ = false;
        bool connected_ = false;
        bool leaving_ = false;
        bool gone_ = false;
        std::uint32_t linkLosses_ = 0;
        TimePoint connectedAt_;
        TimePoint dialAt_;
        Backoff backoff_;
    };

    static auto toMember(const std::string &name, const Entry &entry) -> Member;
    auto findCurrent(const NodeId &node) -> Entry *;
    auto findOrCreate(const std::string &name, TimePoint now) -> Entry &;
    auto applyVmEntry(const VmEntry &vm, TimePoint now) -> void;
    auto removeStale() -> void;

    std::uint64_t seed_;
    std::map<std::string, Entry> entries_;
};

} // namespace jasminewood::membership
