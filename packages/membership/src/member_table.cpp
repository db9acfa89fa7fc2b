#include "jasminewood/membership/member_table.h"

#include <algorithm>
#include <functional>
#include <set>

namespace jasminewood::membership
{

namespace
{

// A second lost link without a connection in between means that reconnecting failed too.
constexpr std::uint32_t linkLossesUntilGone = 2;

} // namespace

auto toString(MemberState state) -> std::string
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Live:
        return "live";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        break;
    }
    return "gone";
}

MemberTable::MemberTable(std::uint64_t seed)
    : seed_(seed)
{
}

auto MemberTable::applyVmList(const std::vector<VmEntry> &entries, TimePoint now) -> void
{
    if (entries.empty()) {
        return;
    }
    for (auto &[name, entry] : entries_) {
        entry.listed_ = false;
    }
    for (const auto &vm : entries) {
        applyVmEntry(vm, now);
    }
    removeStale();
}

auto MemberTable::onConnected(const Peer &peer, TimePoint now) -> void
{
    auto &entry = findOrCreate(peer.node_.name_, now);
    if (entry.incarnation_ != peer.node_.incarnation_) {
        entry.incarnation_ = peer.node_.incarnation_;
        entry.leaving_ = false;
        entry.connectedAt_ = now;
    }
    entry.address_ = peer.address_;
    entry.pool_ = peer.pool_;
    entry.dataCentre_ = peer.dataCentre_;
    entry.connected_ = true;
    entry.gone_ = false;
    entry.linkLosses_ = 0;
    entry.backoff_.reset();
}

auto MemberTable::onLinkLost(const NodeId &node, TimePoint now) -> void
{
    auto *entry = findCurrent(node);
    if (entry == nullptr) {
        return;
    }
    entry->connected_ = false;
    ++entry->linkLosses_;
    entry->gone_ = entry->gone_ || entry->linkLosses_ >= linkLossesUntilGone;
    // The first reconnect is tried immediately: service must be restored within 2 s.
    entry->dialAt_ = entry->gone_ ? now + entry->backoff_.nextDelay() : now;
    removeStale();
}

auto MemberTable::onUnreachable(const std::string &name, TimePoint now) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    auto &entry = found->second;
    entry.connected_ = false;
    entry.gone_ = true;
    entry.dialAt_ = now + entry.backoff_.nextDelay();
    removeStale();
}

auto MemberTable::onLeaving(const NodeId &node) -> void
{
    if (auto *entry = findCurrent(node)) {
        entry->leaving_ = true;
    }
}

auto MemberTable::members() const -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (const auto &[name, entry] : entries_) {
        members.push_back(toMember(name, entry));
    }
    return members;
}

auto MemberTable::find(const std::string &name) const -> std::optional<Member>
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? std::nullopt : std::optional<Member>(toMember(name, found->second));
}

auto MemberTable::routableMembers(const std::string &pool) const -> std::vector<Member>
{
    auto routable = std::vector<Member>();
    for (const auto &[name, entry] : entries_) {
        if (entry.pool_ == pool && entry.connected_ && !entry.leaving_ && !entry.gone_) {
            routable.push_back(toMember(name, entry));
        }
    }
    return routable;
}

auto MemberTable::dialTargets(TimePoint now) const -> std::vector<Member>
{
    auto due = std::vector<Member>();
    for (const auto &[name, entry] : entries_) {
        if (!entry.connected_ && entry.dialAt_ <= now) {
            due.push_back(toMember(name, entry));
        }
    }
    return due;
}

auto MemberTable::nextDialTime() const -> std::optional<TimePoint>
{
    auto earliest = std::optional<TimePoint>();
    for (const auto &[name, entry] : entries_) {
        if (!entry.connected_ && (!earliest || entry.dialAt_ < *earliest)) {
            earliest = entry.dialAt_;
        }
    }
    return earliest;
}

auto MemberTable::toMember(const std::string &name, const Entry &entry) -> Member
{
    const auto state = entry.gone_ ? MemberState::Gone
        : entry.leaving_           ? MemberState::Leaving
        : entry.connected_         ? MemberState::Live
        : entry.incarnation_ == 0  ? MemberState::Joining
                                   : MemberState::Suspect;
    return Member {.node_ = NodeId {.name_ = name, .incarnation_ = entry.incarnation_},
        .address_ = entry.address_,
        .pool_ = entry.pool_,
        .dataCentre_ = entry.dataCentre_,
        .state_ = state};
}

auto MemberTable::findCurrent(const NodeId &node) -> Entry *
{
    const auto found = entries_.find(node.name_);
    return found == entries_.end() || found->second.incarnation_ != node.incarnation_ ? nullptr : &found->second;
}

auto MemberTable::findOrCreate(const std::string &name, TimePoint now) -> Entry &
{
    const auto seed = seed_ ^ std::hash<std::string>()(name);
    return entries_.try_emplace(name, Entry {.dialAt_ = now, .backoff_ = Backoff(seed)}).first->second;
}

// While a link is up, its Hello is newer than the list and takes precedence. The list's leaving flag may describe the
// previous incarnation until the maximum lag of the list has passed since the connection.
auto MemberTable::applyVmEntry(const VmEntry &vm, TimePoint now) -> void
{
    auto &entry = findOrCreate(vm.name_, now);
    entry.listed_ = true;
    if (!entry.connected_) {
        entry.address_ = vm.address_;
        entry.pool_ = vm.pool_;
        entry.dataCentre_ = vm.dataCentre_;
    }
    if (vm.leaving_ && (entry.incarnation_ == 0 || now - entry.connectedAt_ > maximumVmListLag)) {
        entry.leaving_ = true;
    }
}

// Keeps an unlisted member while its link is up or is being re-established.
auto MemberTable::removeStale() -> void
{
    std::erase_if(entries_, [](const auto &item) {
        const auto &entry = item.second;
        return !entry.listed_ && !entry.connected_ && (entry.gone_ || entry.incarnation_ == 0);
    });
}

} // namespace jasminewood::membership
