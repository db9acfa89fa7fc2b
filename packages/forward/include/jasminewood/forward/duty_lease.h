#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/election/fencing_token.h"
#include "jasminewood/election/leader_election.h"
#include "jasminewood/forward/duty_keys.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"

// The lease of the router that holds a duty: performs the actions of the election with the store. What other routers do
// is seen in the copy of the store's keys that the store feed provides, so that only the holder calls the store.
//
//     lease.advance();
//     if (const auto permit = lease.permit()) { ... call the platform with permit->fencingToken_ until permit->until_ }

namespace jasminewood::forward
{

// The calls to the store that a duty needs, and the clock. See KeyValueClient.
struct DutyStore
{
    const std::function<auto(std::chrono::seconds timeToLive)->Result<platform::Lease>> grantLease_;
    const std::function<auto(const platform::Lease &lease)->Result<std::chrono::seconds>> keepAlive_;
    const std::function<auto(const platform::Lease &lease)->Status> revokeLease_;
    const std::function<auto(const platform::ConditionalWrites &writes)->Result<platform::WriteOutcome>> writeAll_;
    const std::function<auto(const std::string &prefix)->Result<platform::Snapshot>> getPrefix_;
    // Returns the time of a clock that counts suspensions.
    const std::function<auto()->TimePoint> now_;
};

// Returns the calls of a client, with the boot clock.
auto dutyStore(const std::shared_ptr<platform::KeyValueClient> &client) -> DutyStore;

struct DutyLeaseOptions
{
    const std::string duty_;
    // The prefix of the duty's keys in the store.
    const std::string keyPrefix_;
    const Milliseconds leaseTime_ = Milliseconds(3'000);
    const std::uint64_t seed_ = 0;
};

// The right to act as holder.
struct DutyPermit
{
    const std::uint64_t fencingToken_ = 0;
    // Of the store's clock; no call may be sent later.
    const TimePoint until_;

    auto operator<=>(const DutyPermit &) const = default;
};

// Returns the time of the boot clock, which counts suspensions, as the election needs it.
auto bootNow() -> TimePoint;

// advance() and resign() must be called by one thread; the other functions are thread-safe.
class DutyLease
{
public:
    // routers returns the names of all live routers; wallClock returns the time since the start of 1970.
    DutyLease(DutyStore store, std::shared_ptr<node::Environment> environment, const DutyLeaseOptions &options,
        std::function<auto()->std::set<std::string>> routers, std::function<auto()->Milliseconds> wallClock);

    // Performs what is due. Blocks while it calls the store.
    auto advance() -> void;

    // Returns when the next action is due, unless the keys change before.
    auto nextAt() const -> TimePoint;

    auto permit() const -> std::optional<DutyPermit>;

    // The platform refused this token: the duty is given up, and taken again later with a higher one.
    auto recordRefusal(std::uint64_t fencingToken) -> void;

    // Gives the duty up for good. The lease ends at once if revoke is set, else by itself.
    auto resign(bool revoke) -> void;

    // The keys of the duty.
    auto keys() -> DutyKeys &;
    auto keys() const -> const DutyKeys &;
    // Reads all keys of the duty from the store.
    auto readKeys() -> Status;

    auto holderKey() const -> std::string;
    // Returns the holder as far as it is known; empty if there is none.
    auto holder() const -> std::optional<HolderRecord>;
    // Returns the revision of the holder's key if it names this process with the permit's token.
    auto ownRevision(const DutyPermit &permit) const -> std::optional<platform::Revision>;

private:
    // Returns the outcome of an action, or nothing if it is not known yet.
    auto perform(const election::GrantLease &action) -> std::optional<election::Event>;
    auto perform(const election::CreateKey &action) -> std::optional<election::Event>;
    auto perform(const election::ReadKey &action) -> std::optional<election::Event>;
    auto perform(const election::KeepAlive &action) -> std::optional<election::Event>;
    auto perform(const election::WatchKey &action) -> std::optional<election::Event>;
    auto perform(const election::RevokeLease &action) -> std::optional<election::Event>;
    auto perform(const election::Stopped &action) -> std::optional<election::Event>;

    auto tokenKey() const -> std::string;
    // Returns the state of the holder's key as an event.
    auto keyState() const -> election::Event;
    // Returns how long this router is no candidate since it learned of the store's era: a holder of the era before, or
    // this router before its restart, may have acted until then.
    auto quietTime() const -> Milliseconds;
    auto candidacyDelay() const -> Milliseconds;
    auto recordTokens() -> void;
    // Returns whether the key of this holder has ended although its lease was not reported as ended.
    auto hasLostKey() const -> bool;
    auto isDue(TimePoint now) const -> bool;
    auto step(const election::Event &event) -> void;
    auto logChange() -> void;

    const DutyStore store_;
    const std::shared_ptr<node::Environment> environment_;
    const DutyLeaseOptions options_;
    const std::function<auto()->std::set<std::string>> routers_;
    const std::function<auto()->Milliseconds> wallClock_;
    const observe::Gauge holderGauge_;
    const observe::Gauge tokenGauge_;
    DutyKeys keys_;
    std::optional<platform::Lease> lease_;
    std::uint64_t highestToken_ = 0;
    // Whether the feed has shown the key of the present holder, which is this process.
    bool ownKeySeen_ = false;
    std::uint64_t loggedToken_ = 0;
    mutable std::mutex mutex_;
    // Guarded by mutex_.
    election::LeaderElection election_;
    std::optional<election::Action> action_;
    TimePoint dueAt_;
    std::optional<std::uint64_t> refusedToken_;
    bool refusalPending_ = false;
};

} // namespace jasminewood::forward
