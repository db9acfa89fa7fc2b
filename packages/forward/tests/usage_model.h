#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "jasminewood/forward/usage_holder.h"

// A simulation of the environment of UsageHolder: a store whose calls are lost or performed late and that comes back
// from older copies of itself, a platform whose replies are lost and that executes calls late, copies of the store's
// keys that lag behind, and routers that are suspended, killed and started again.

namespace jasminewood::forward
{

// The faults that occur; to show which of them a check depends on.
struct UsageFaults
{
    const bool storeFails_ = true;
    const bool storeIsRestored_ = true;
    const bool platformFails_ = true;
    const bool routersFail_ = true;
    // Whether the platform compares fencing tokens.
    const bool platformFences_ = true;
};

class UsageModel
{
public:
    UsageModel(std::uint64_t seed, const UsageFaults &faults);
    ~UsageModel();

    UsageModel(const UsageModel &) = delete;
    auto operator=(const UsageModel &) -> UsageModel & = delete;

    // Runs for a time of the simulation, with or without new faults.
    auto run(Milliseconds time, bool withFaults) -> void;

    // Returns a description of the first rule that was broken; empty if all held.
    auto violation() const -> std::string;

    // Returns how many windows the platform accepted that ended within the last time of this length.
    auto acceptedWithin(Milliseconds time) const -> std::size_t;

    // Returns the number of calls that were sent, and of tokens with which they were sent.
    auto callCount() const -> std::size_t;
    auto tokenCount() const -> std::size_t;

private:
    struct Entry
    {
        std::string value_;
        platform::Revision revision_ = 0;
        platform::LeaseId lease_ = platform::noLease;
    };

    struct StoreLease
    {
        Milliseconds timeToLive_ = Milliseconds(0);
        TimePoint endsAt_;
    };

    struct StoreData
    {
        platform::Revision revision_ = 1;
        std::map<std::string, Entry> entries_;
        std::map<platform::LeaseId, StoreLease> leases_;
    };

    struct Router
    {
        std::string name_;
        std::uint64_t incarnation_ = 1;
        // Time by which its time of day is wrong.
        Milliseconds clockError_ = Milliseconds(0);
        TimePoint suspendedUntil_;
        std::optional<TimePoint> startsAt_;
        TimePoint advanceAt_;
        // Until when it cannot reach the store.
        TimePoint cutOffUntil_;
        std::unique_ptr<UsageHolder> holder_;
        std::optional<std::uint64_t> refusedToken_;
    };

    struct LateAction
    {
        TimePoint at_;
        std::function<auto()->void> perform_;
    };

    struct SentCall
    {
        TimePoint at_;
        std::string router_;
        std::uint64_t token_ = 0;
    };

    auto chance(int percent) -> bool;
    auto randomTime(Milliseconds maximum) -> Milliseconds;
    auto start(Router &router) -> void;
    auto storeOf(Router &router) -> DutyStore;
    auto viewOf(Router &router) -> UsageView;
    auto timeAt(const Router &router) const -> Milliseconds;
    // Performs a call to the store now, later or never, and returns whether its response arrives.
    auto storeCall(Router &router, const std::function<auto()->void> &perform) -> bool;
    auto writeAll(const platform::ConditionalWrites &writes) -> platform::WriteOutcome;
    auto snapshot() const -> platform::Snapshot;
    auto expireLeases() -> void;
    auto step() -> void;
    auto causeFaults() -> void;
    auto failRouter(Router &router) -> void;
    auto stepRouter(Router &router) -> void;
    auto updateKeys(Router &router) -> void;
    auto send(Router &router, const duties::UsageCall &call) -> void;
    auto execute(const duties::UsageCall &call) -> duties::UsageReply;
    auto checkSent(const Router &router, const duties::UsageCall &call) -> void;
    auto violate(const std::string &reason) -> void;

    std::mt19937_64 random_;
    const UsageFaults faults_;
    bool withFaults_ = false;
    TimePoint now_;
    StoreData data_;
    StoreData copy_;
    platform::Era era_ = 1;
    platform::LeaseId lastLease_ = 0;
    std::list<LateAction> lateActions_;
    std::vector<std::unique_ptr<Router>> routers_;
    std::uint64_t lastCount_ = 0;
    std::uint64_t highestExecuted_ = 0;
    std::uint64_t highestSent_ = 0;
    std::vector<SentCall> sent_;
    std::map<std::uint64_t, std::string> tokenOwners_;
    std::map<duties::WindowNumber, duties::AccountCounts> contents_;
    std::map<duties::WindowNumber, TimePoint> accepted_;
    std::string violation_;
};

} // namespace jasminewood::forward
