#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "jasminewood/testbench/deployment.h"
#include "jasminewood/testbench/history.h"
#include "jasminewood/testbench/history_checker.h"
#include "log_history.h"

// Runs a deployment of real processes with concurrent callers and checks the history at the end.
//
//     auto scene = Scene({.bookingCount_ = 2});
//     auto callers = Callers(8, [&](std::size_t caller) { scene.bookUntilResolved(...); });
//     scene.kill("router-1");
//     callers.join();
//     scene.checkHistory();

namespace jasminewood::testbench
{

// Timeout after which a wait fails the test. It only limits how long a failed test takes.
constexpr auto testTimeout = std::chrono::seconds(30);

// Counts events of several threads. Thread-safe.
class Counter
{
public:
    auto add() -> void;

    // Fails the test if the count is not reached in time.
    auto waitFor(std::size_t count) -> void;

    auto count() -> std::size_t;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t count_ = 0;
};

struct SceneOptions
{
    const std::size_t routers_ = 3;
    const std::size_t engines_ = 2;
    const std::size_t bookings_ = 2;
    // Processing time of one booking in fake-booking.
    const Milliseconds bookingWork_ = Milliseconds(50);
    const double tokenMs_ = 5;
    const std::size_t engineSlots_ = 64;
    const std::vector<std::string> vmsFlags_;
};

// The outcome of a call for its caller.
struct CallResult
{
    // Whether the response ended without an error.
    const bool completed_ = false;
    // HTTP status; 0 if the connection broke before the response head.
    const int status_ = 0;
    const std::optional<RunState> runState_;
    const std::string step_;
    const bool retryAfter_ = false;
    const std::string text_;
    const std::string body_;

    auto operator<=>(const CallResult &) const = default;
};

// Returns a description of the outcome for the message of a failed check.
auto toString(const CallResult &result) -> std::string;

struct ChatCall
{
    const std::string router_;
    // The last user message.
    const std::string message_;
    const std::string requestClass_ = "chat";
    const bool stream_ = true;
    // Called with the number of complete tokens received so far.
    const std::function<auto(std::size_t tokens)->void> onTokens_ = nullptr;
};

struct BookingCall
{
    const std::string router_;
    const std::string key_;
};

// Thread-safe except for the constructor and checkHistory().
class Scene
{
public:
    // Fails the test if the deployment does not start.
    explicit Scene(const SceneOptions &options);

    // Kills all processes. Removes the files if checkHistory() succeeded.
    ~Scene();

    Scene(const Scene &) = delete;
    auto operator=(const Scene &) -> Scene & = delete;

    auto system() -> Deployment &;

    // Send a request, wait for the outcome and record both in the history.
    auto chat(const ChatCall &call) -> CallResult;
    auto book(const BookingCall &call) -> CallResult;

    // Retries a booking over the routers round-robin, beginning with router `first`, until it completes, or until 6
    // calls were reported as "may have run", or 60 retries. Returns the last outcome.
    auto bookUntilResolved(const std::string &key, std::size_t first) -> CallResult;

    // Injects a fault; fails the test if the fake rejects it.
    auto fault(const std::string &name, const std::string &json) -> void;

    // Record in the history that a process ended. kill() also kills it; markEnded() is for processes that the test
    // stops itself.
    auto kill(const std::string &name) -> void;
    auto markEnded(const std::string &name) -> void;

    // Restarts a process; fails the test if that fails.
    auto restart(const std::string &name) -> void;

    auto record(const decltype(HistoryEvent::event_) &what) -> void;

    // Returns the number of calls that the key-value service has counted so far.
    auto storeCalls() -> std::size_t;

    // Returns the number of calls to the key-value service that the routers have counted since they started, including
    // failed calls.
    auto routersStoreCalls() -> std::size_t;

    // Returns how often a process has logged a step of an attempt, for example "void".
    auto loggedSteps(const std::string &name, const std::string &step) -> std::size_t;

    // Waits until a process has logged a step of attempts this many times; fails the test on timeout.
    auto awaitLogged(const std::string &name, const std::string &step, std::size_t count) -> void;

    // Waits until a manifest of at least this revision is active in each named process; fails the test on timeout.
    auto awaitManifest(const std::vector<std::string> &names, std::uint64_t revision) -> void;

    // Waits until each router is connected to all others; fails the test on timeout.
    auto awaitPeers() -> void;

    // Returns the names of all routers and agents.
    auto processes() -> std::vector<std::string>;

    // Changes the address of an agent in the VM list.
    auto redirect(const std::string &agent, const std::string &address) -> void;

    // Returns the history so far, including the runs recorded by the fakes and the events in the logs.
    auto collect() -> History;

    // Fails the test if there are violations, with a message that lists them and the directory with the logs.
    auto checkHistory(const HistoryLimits &limits = {}) -> void;

private:
    auto nextCall() -> std::string;
    auto recordOutcome(const std::string &call, const CallResult &result, const std::string &requestId) -> void;
    auto processNamed(const History &logs, const std::string &name, Microseconds time) const -> std::string;

    const WallTime origin_;
    const std::string directory_;
    std::shared_ptr<Deployment> system_;
    std::atomic<std::size_t> calls_ = 0;
    bool keepFiles_ = true;
    std::mutex mutex_;
    History history_;
    // Times and names of the processes that the test ended.
    std::vector<std::pair<Microseconds, std::string>> ended_;
};

// Runs concurrent callers on threads that are joined at the end.
class Callers
{
public:
    // Runs the body once on each of `count` threads with the number of the thread.
    Callers(std::size_t count, const std::function<auto(std::size_t)->void> &body);

    ~Callers();
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    // Waits for all threads; fails the test with the message of the first one that failed.
    auto join() -> void;

private:
    std::mutex mutex_;
    std::string failure_;
    std::vector<std::thread> threads_;
};

} // namespace jasminewood::testbench
