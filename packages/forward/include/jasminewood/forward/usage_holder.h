#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "jasminewood/core/clock.h"
#include "jasminewood/duties/usage_call.h"
#include "jasminewood/duties/usage_decision.h"
#include "jasminewood/duties/usage_ledger.h"
#include "jasminewood/duties/usage_tally.h"
#include "jasminewood/forward/duty_lease.h"
#include "jasminewood/node/environment.h"

// The duty of usage reporting at one router: holds the lease, fixes windows in the store and decides which report is
// sent. It has no threads of its own and does not call the platform.

namespace jasminewood::forward
{

constexpr auto usageDuty = "usage_reporting";

struct UsageHolderOptions
{
    const duties::UsageSchedule schedule_;
    const Milliseconds leaseTime_ = Milliseconds(3'000);
    // Longest call to the platform.
    const Milliseconds callTimeout_ = Milliseconds(2'000);
    const std::string keyPrefix_ = "jasminewood/duties/usage/";
    const std::uint64_t seed_ = 0;
};

// What this router knows of the others and of the requests.
struct UsageView
{
    // The names of all live routers.
    const std::function<auto()->std::set<std::string>> routers_;
    // The time since the start of 1970.
    const std::function<auto()->Milliseconds> time_;
    const std::function<auto(duties::WindowNumber number)->duties::WindowSummary> summary_;
};

// One thread calls advance(), and another one nextCall() and recordReply(). The other functions are thread-safe.
class UsageHolder
{
public:
    UsageHolder(DutyStore store, std::shared_ptr<node::Environment> environment, const UsageHolderOptions &options,
        UsageView view);

    // Performs what is due: renews the lease, and fixes a window. Blocks while it calls the store. Returns the time
    // until the next action, unless the keys change before.
    auto advance() -> Milliseconds;

    // Returns the call to make now, if there is one. No other call may be made before recordReply().
    auto nextCall() -> std::optional<duties::UsageCall>;
    auto recordReply(const duties::UsageCall &call, const Result<duties::UsageReply> &reply) -> void;
    // Returns how long no call is made since the last one failed.
    auto callPause() const -> Milliseconds;

    // Gives the duty up for good. To be called after the threads have ended their work.
    auto resign() -> void;

    auto keys() -> DutyKeys &;
    auto isHolder() const -> bool;
    // Returns the name of the holder as far as it is known.
    auto holderName() const -> std::optional<std::string>;

private:
    // Reads the windows of the store's copy into the ledger.
    auto updateLedger() -> void;
    // Reads the keys from the store if a write may have been performed. Returns whether the copy can be relied on.
    auto confirmKeys() -> bool;
    // Fixes the next window if it is due.
    auto fixWindow(const DutyPermit &permit) -> void;
    // Writes a ledger with one more window to the store. The window counts as fixed only if the store has it.
    auto writeWindow(const DutyPermit &permit, duties::WindowNumber number, const duties::WindowSummary &summary)
        -> void;
    // Returns the first window that this router may fix: the store may have lost earlier ones in an era before.
    auto firstAllowedWindow() const -> duties::WindowNumber;
    auto logWindow(duties::WindowNumber number, const duties::WindowSummary &summary) const -> void;
    auto countWindow(const std::string &result) const -> void;
    auto windowsKey() const -> std::string;
    auto ledger() const -> duties::UsageLedger;

    const DutyStore store_;
    const std::shared_ptr<node::Environment> environment_;
    const UsageHolderOptions options_;
    const UsageView view_;
    DutyLease lease_;
    // Used by the thread that holds the lease only.
    std::uint64_t heldToken_ = 0;
    Milliseconds heldSince_ = Milliseconds(0);
    // The last value of the store that was read into the ledger.
    std::string readValue_;
    // From when the keys are read from the store before anything else is written; empty if that is not needed.
    std::optional<TimePoint> readKeysFrom_;
    mutable std::mutex mutex_;
    // Guarded by mutex_.
    duties::UsageLedger ledger_;
    TimePoint callFrom_;
    // When the last call without a response ended.
    std::optional<TimePoint> unansweredAt_;
};

} // namespace jasminewood::forward
