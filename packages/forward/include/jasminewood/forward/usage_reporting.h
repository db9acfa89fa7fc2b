#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/core/boot_clock.h"
#include "jasminewood/core/clock.h"
#include "jasminewood/duties/usage_call.h"
#include "jasminewood/duties/usage_tally.h"
#include "jasminewood/duties/usage_windows.h"
#include "jasminewood/duties/window_clock.h"
#include "jasminewood/forward/peer_network.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/forward/usage_holder.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/wire/messages.h"

// Service "usage-reporting": counts the requests of each client account that begin to run here, tells them to the
// router that holds the duty, and reports the sums of all routers to the platform while this router holds it.

namespace jasminewood::forward
{

struct UsageReportingOptions
{
    const UsageHolderOptions holder_;
    // How often this router tells its counts.
    const Milliseconds tellInterval_ = Milliseconds(1'000);
};

// Requires the services "environment", "peer-network" and "store-feed"; must start before the last one. Thread-safe.
class UsageReporting
{
public:
    UsageReporting(std::shared_ptr<platform::KeyValueClient> store, const UsageReportingOptions &options,
        duties::UsageCaller caller);

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Ends the calls to the platform and the lease, so that another router takes over while this one ends its requests,
    // which are still counted. Does not wait for it.
    auto giveUpDuty() -> void;

    // Counts a request of a client account that began to run.
    auto recordBegan(const std::string &account, BootTime when) -> void;

    // Returns whether this router holds the duty.
    auto isHolder() const -> bool;

private:
    auto subscribe(StoreFeed &feed) -> void;
    auto applyReport(const wire::UsageWindowReport &report) -> void;

    auto tellLoop() -> void;
    // Closes the windows that have ended, and tells the counts to the holder and to the next ones in rank.
    auto tellCounts() -> void;
    auto recipients() const -> std::vector<std::string>;
    auto liveRouters() const -> std::set<std::string>;

    auto holderLoop() -> void;
    auto callLoop() -> void;

    auto now() const -> Milliseconds;
    // These require mutex_.
    auto timeAt(BootTime time) const -> Milliseconds;
    auto latestWindow() const -> duties::WindowNumber;
    // Waits for the given time or until something has changed since the last wait of this thread; returns false if the
    // duty is given up.
    auto waitFor(Milliseconds time, std::uint64_t &seenChanges) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const UsageReportingOptions options_;
    const duties::UsageCaller caller_;
    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<PeerNetwork> network_;
    std::unique_ptr<UsageHolder> holder_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    // Wakes the thread that calls the platform.
    std::condition_variable callsChanged_;
    bool stopping_ = false;
    bool givenUp_ = false;
    bool callsEnded_ = false;
    // Counts the changes of the store's keys and the reports, for the threads that wait for them.
    std::uint64_t changes_ = 0;
    duties::WindowClock clock_;
    duties::UsageWindows windows_;
    duties::UsageTally tally_;
    // Used by the thread that tells the counts, and after its end.
    std::vector<std::string> toldRouters_;
    std::uint64_t tellCount_ = 0;
    std::thread tellThread_;
    std::thread holderThread_;
    std::thread callThread_;
};

} // namespace jasminewood::forward
