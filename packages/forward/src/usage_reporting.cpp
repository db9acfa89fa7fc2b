#include "jasminewood/forward/usage_reporting.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "jasminewood/duties/duty_rank.h"
#include "jasminewood/wire/codec.h"

namespace jasminewood::forward
{

namespace
{

// Routers besides the holder that are told the counts, so that they can take over.
constexpr std::size_t successorCount = 2;
// How long the thread that holds the lease waits after an error.
constexpr Milliseconds idleInterval = Milliseconds(1'000);
// How often the thread that calls the platform looks for a report, besides each action of the holder.
constexpr Milliseconds callInterval = Milliseconds(1'000);
// Closed windows before the last one do not change. They are told again to new recipients, and each time after this
// many reports, since datagrams may be lost.
constexpr std::uint64_t fullTellInterval = 5;
constexpr duties::WindowNumber repeatedWindows = 1;
// Accounts in one report, which has to fit into what a receiver assembles of fragments.
constexpr std::size_t accountsPerReport = 2'000;

auto timeOfDay() -> Milliseconds
{
    return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

// Divides the counts of a window into messages of bounded size.
auto makeReports(const NodeId &router, const duties::WindowCounts &window) -> std::vector<wire::UsageWindowReport>
{
    auto reports = std::vector<wire::UsageWindowReport>();
    const auto total = duties::totalOf(window.counts_);
    auto entry = window.counts_.begin();
    do {
        auto part = duties::AccountCounts();
        for (; entry != window.counts_.end() && part.size() < accountsPerReport; ++entry) {
            // A longer name would make the whole report invalid.
            if (entry->first.size() <= wire::maximumNameBytes) {
                part.insert(*entry);
            }
        }
        reports.push_back({.router_ = router,
            .windows_
            = {{.number_ = window.number_, .closed_ = window.closed_, .total_ = total, .counts_ = std::move(part)}}});
    } while (entry != window.counts_.end());
    return reports;
}

} // namespace

UsageReporting::UsageReporting(
    std::shared_ptr<platform::KeyValueClient> store, const UsageReportingOptions &options, duties::UsageCaller caller)
    : store_(std::move(store))
    , options_(options)
    , caller_(std::move(caller))
    , clock_(timeOfDay(), BootClock::now())
    , windows_(options.holder_.schedule_.windowLength_, clock_.at(BootClock::now()))
{
}

auto UsageReporting::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("peer-network", network_)) {
        return failure;
    }
    auto feed = std::shared_ptr<StoreFeed>();
    if (auto failure = services.require("store-feed", feed)) {
        return failure;
    }
    holder_ = std::make_unique<UsageHolder>(dutyStore(store_), environment_, options_.holder_,
        UsageView {.routers_ =
                       [this] {
                           return liveRouters();
                       },
            .time_ =
                [this] {
                    return now();
                },
            .summary_ =
                [this](duties::WindowNumber number) {
                    const auto lock = std::scoped_lock(mutex_);
                    return tally_.summary(number, bootNow());
                }});
    subscribe(*feed);
    network_->addHandler([this](const wire::Message &message) {
        if (const auto *report = std::get_if<wire::UsageWindowReport>(&message)) {
            applyReport(*report);
        }
    });
    tellThread_ = std::thread([this] {
        tellLoop();
    });
    holderThread_ = std::thread([this] {
        holderLoop();
    });
    callThread_ = std::thread([this] {
        callLoop();
    });
    return std::nullopt;
}

auto UsageReporting::subscribe(StoreFeed &feed) -> void
{
    const auto notify = [this] {
        {
            const auto lock = std::scoped_lock(mutex_);
            ++changes_;
        }
        changed_.notify_all();
        callsChanged_.notify_all();
    };
    feed.addListener({.keyPrefix_ = options_.holder_.keyPrefix_,
        .onSnapshot_ =
            [this, notify](const platform::Snapshot &snapshot) {
                holder_->keys().applySnapshot(snapshot, bootNow());
                notify();
            },
        .onEvent_ =
            [this, notify](const platform::WatchEvent &event) {
                holder_->keys().applyEvent(event);
                notify();
            }});
}

auto UsageReporting::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
        givenUp_ = true;
    }
    changed_.notify_all();
    callsChanged_.notify_all();
    for (auto *thread : {&callThread_, &holderThread_, &tellThread_}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    if (holder_) {
        // The last counts, which no later report would carry.
        tellCounts();
    }
}

auto UsageReporting::giveUpDuty() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        givenUp_ = true;
    }
    changed_.notify_all();
}

auto UsageReporting::recordBegan(const std::string &account, BootTime when) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    windows_.record(account, timeAt(when));
}

auto UsageReporting::isHolder() const -> bool
{
    return holder_ && holder_->isHolder();
}

auto UsageReporting::timeAt(BootTime time) const -> Milliseconds
{
    return clock_.at(time);
}

auto UsageReporting::now() const -> Milliseconds
{
    const auto lock = std::scoped_lock(mutex_);
    return timeAt(BootClock::now());
}

auto UsageReporting::latestWindow() const -> duties::WindowNumber
{
    // The clocks of the routers differ a little.
    return duties::windowAt(timeAt(BootClock::now()), options_.holder_.schedule_.windowLength_) + 1;
}

auto UsageReporting::waitFor(Milliseconds time, std::uint64_t &seenChanges) -> bool
{
    auto lock = std::unique_lock(mutex_);
    changed_.wait_for(lock, time, [this, &seenChanges] {
        return givenUp_ || changes_ != seenChanges;
    });
    seenChanges = changes_;
    return !givenUp_;
}

auto UsageReporting::liveRouters() const -> std::set<std::string>
{
    const auto others = network_->routerNames();
    auto names = std::set<std::string>(others.sameDataCentre_.begin(), others.sameDataCentre_.end());
    names.insert(others.elsewhere_.begin(), others.elsewhere_.end());
    names.insert(environment_->identity().node_.name_);
    return names;
}

auto UsageReporting::tellLoop() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        environment_->contain("tell usage", [this] {
            tellCounts();
        });
        lock.lock();
        changed_.wait_for(lock, options_.tellInterval_, [this] {
            return stopping_;
        });
    }
}

auto UsageReporting::recipients() const -> std::vector<std::string>
{
    const auto &self = environment_->identity().node_.name_;
    const auto holder = holder_->holderName();
    auto names = std::vector<std::string>();
    if (holder && *holder != self) {
        names.push_back(*holder);
    }
    auto successors = std::size_t(0);
    for (const auto &router : duties::rankRouters(usageDuty, liveRouters())) {
        const auto isListed = router == self || router == holder;
        if (!isListed && successors < successorCount) {
            names.push_back(router);
            ++successors;
        }
    }
    return names;
}

auto UsageReporting::tellCounts() -> void
{
    auto recent = std::vector<duties::WindowCounts>();
    const auto &self = environment_->identity().node_;
    {
        const auto lock = std::scoped_lock(mutex_);
        clock_.observe(timeOfDay(), BootClock::now());
        recent = windows_.recent(timeAt(BootClock::now()));
        for (const auto &window : recent) {
            tally_.apply({.router_ = self,
                             .number_ = window.number_,
                             .closed_ = window.closed_,
                             .total_ = duties::totalOf(window.counts_),
                             .counts_ = window.counts_},
                latestWindow(), bootNow());
        }
    }
    const auto routers = recipients();
    const auto isFull = routers != toldRouters_ || tellCount_ % fullTellInterval == 0;
    ++tellCount_;
    toldRouters_ = routers;
    for (const auto &window : recent) {
        if (!isFull && window.number_ + repeatedWindows < recent.back().number_) {
            continue;
        }
        for (const auto &report : makeReports(self, window)) {
            for (const auto &router : routers) {
                network_->send(router, report);
            }
        }
    }
}

auto UsageReporting::applyReport(const wire::UsageWindowReport &report) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    for (const auto &window : report.windows_) {
        tally_.apply({.router_ = report.router_,
                         .number_ = window.number_,
                         .closed_ = window.closed_,
                         .total_ = window.total_,
                         .counts_ = window.counts_},
            latestWindow(), bootNow());
    }
}

auto UsageReporting::holderLoop() -> void
{
    auto delay = Milliseconds(0);
    auto seenChanges = std::uint64_t(0);
    while (waitFor(delay, seenChanges)) {
        delay = idleInterval;
        environment_->contain("hold a duty", [this, &delay] {
            delay = holder_->advance();
        });
        // There may be a report to send.
        callsChanged_.notify_all();
    }
    {
        auto lock = std::unique_lock(mutex_);
        changed_.wait(lock, [this] {
            return callsEnded_;
        });
    }
    holder_->resign();
}

auto UsageReporting::callLoop() -> void
{
    auto lock = std::unique_lock(mutex_);
    while (!givenUp_) {
        lock.unlock();
        environment_->contain("report usage", [this] {
            if (const auto call = holder_->nextCall()) {
                holder_->recordReply(*call, caller_(*call));
            }
        });
        lock.lock();
        if (!givenUp_) {
            callsChanged_.wait_for(lock, std::max(holder_->callPause(), callInterval));
        }
    }
    callsEnded_ = true;
    changed_.notify_all();
}

} // namespace jasminewood::forward
