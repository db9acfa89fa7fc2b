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

// Derives the state of each upstream from the VM list, the links and the announcements of agents.
//
//     table.vmList(entries, now);
//     table.connected(hello, now);
//     for (const auto &member : table.routable("chat")) { ... }

namespace jasminewood::membership
{

// The longest time by which the VM list lags behind the actual state.
constexpr Milliseconds maximumVmListLag = Milliseconds(30'000);

enum class MemberState : std::uint8_t
{
    // Known from the VM list, not connected yet.
    Joining,
    Live,
    // Silent once; a new connection is being tried.
    Suspect,
    // Finishes its work and takes no new work.
    Leaving,
    // Refused a connection or stayed silent on a second one.
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

// The peer of a new connection, from its Hello.
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

// Holds one entry for each member name. Events of a link name the incarnation that the link belongs to; events of an
// earlier incarnation are disregarded. Not thread-safe.
class MemberTable
{
public:
    // The seed determines the jitter of all backoff delays.
    explicit MemberTable(std::uint64_t seed);

    // Takes over a new VM list. An empty list is disregarded, because the list is empty during an outage. Members that
    // are missing stay as long as their link lives.
    auto applyVmList(const std::vector<VmEntry> &entries, TimePoint now) -> void;

    // A connection to the peer is established. Another incarnation replaces the member and is not leaving.
    auto onConnected(const Peer &peer, TimePoint now) -> void;

    // The link to this member was silent for too long or broke: Suspect the first time, Gone the second time without
    // connected() in between.
    auto onLinkLost(const NodeId &node, TimePoint now) -> void;

    // A dial of this name was refused: Gone, and dialled again with backoff while the VM list has it.
    auto onDialRefused(const std::string &name, TimePoint now) -> void;

    // The member announced that it is leaving.
    auto onLeaving(const NodeId &node) -> void;

    // Returns all members by name.
    auto members() const -> std::vector<Member>;

    // Returns the member of that name.
    auto find(const std::string &name) const -> std::optional<Member>;

    // Returns the members of the pool that take new work, by name.
    auto routableMembers(const std::string &pool) const -> std::vector<Member>;

    // Returns the members that have no connection and are due to be dialled, by name. Each dial must be reported by
    // connected(), silent() or refused().
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
        std::uint32_t silences_ = 0;
        TimePoint connectedAt_;
        TimePoint dialAt_;
        Backoff backoff_;
    };

    static auto member(const std::string &name, const Entry &entry) -> Member;
    auto current(const NodeId &node) -> Entry *;
    auto create(const std::string &name, TimePoint now) -> Entry &;
    auto list(const VmEntry &vm, TimePoint now) -> void;
    auto removeForgotten() -> void;

    std::uint64_t seed_;
    std::map<std::string, Entry> entries_;
};

} // namespace jasminewood::membership
