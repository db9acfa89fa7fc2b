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

// A real deployment with concurrent callers whose history is checked at the end.
//
//     auto scene = Scene({.bookingCount_ = 2});
//     auto callers = Callers(8, [&](std::size_t caller) { scene.bookUntilAnswered(...); });
//     scene.kill("router-1");
//     callers.join();
//     scene.checkHistory();

namespace jasminewood::testbench
{

// Waits of the stories end with a failed check after this time; it only bounds a failure.
constexpr auto storyDeadline = std::chrono::seconds(30);

// Counts events of several tasks.
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
    // Time that one booking takes at the fake.
    const Milliseconds bookingWork_ = Milliseconds(50);
    const double tokenMs_ = 5;
    const std::size_t engineSlots_ = 64;
    const std::vector<std::string> vmsFlags_;
};

// What a caller was left with.
struct CallEnd
{
    // Whether the answer claims to be whole.
    const bool answered_ = false;
    // 0 if the connection broke before the status.
    const int status_ = 0;
    const std::optional<RunState> runState_;
    const std::string step_;
    const bool retryAfter_ = false;
    const std::string text_;
    const std::string body_;

    auto operator<=>(const CallEnd &) const = default;
};

// Returns the end as it stands in a failed check.
auto toString(const CallEnd &end) -> std::string;

struct ChatCall
{
    const std::string router_;
    // The last user message.
    const std::string message_;
    const std::string requestClass_ = "chat";
    const bool stream_ = true;
    // Called with the number of whole tokens received so far.
    const std::function<auto(std::size_t tokens)->void> onTokens_ = nullptr;
};

struct BookingCall
{
    const std::string router_;
    const std::string key_;
};

// Thread-safe but for the construction and checkHistory().
class Scene
{
public:
    // Fails the test if the deployment does not start.
    explicit Scene(const SceneOptions &options);

    // Ends all processes; removes the files of a scene whose check passed.
    ~Scene();

    Scene(const Scene &) = delete;
    auto operator=(const Scene &) -> Scene & = delete;

    auto system() -> Deployment &;

    // Each call records what it sent and how it ended.
    auto chat(const ChatCall &call) -> CallEnd;
    auto book(const BookingCall &call) -> CallEnd;

    // Repeats a booking over the routers in turn, beginning with router `first`, until it is answered, or until it may
    // have run and repeats do not change that. Returns the last end.
    auto bookUntilSettled(const std::string &key, std::size_t first) -> CallEnd;

    // A fault by the deployment; fails the test if the fake does not take it.
    auto fault(const std::string &name, const std::string &json) -> void;

    // Kill or freeze a process for good, as far as the history is concerned.
    auto kill(const std::string &name) -> void;
    auto markEnded(const std::string &name) -> void;

    // Starts a process again; fails the test if that fails.
    auto restart(const std::string &name) -> void;

    auto record(const decltype(HistoryEvent::event_) &what) -> void;

    // Calls at the key-value service so far, by its own count.
    auto storeCalls() -> std::size_t;

    // Calls to the key-value service that the routers made since they started, by their count; also of failed calls.
    auto routersStoreCalls() -> std::size_t;

    // How often a process logged a step of an attempt since the start, for example "void".
    auto loggedSteps(const std::string &name, const std::string &step) -> std::size_t;

    // Waits until a process has logged a step of attempts so often; fails the test otherwise.
    auto awaitLogged(const std::string &name, const std::string &step, std::size_t count) -> void;

    // Waits until a manifest of at least this revision is in force in each named process; fails the test otherwise.
    auto awaitManifest(const std::vector<std::string> &names, std::uint64_t revision) -> void;

    // Waits until each router is connected to all others; fails the test otherwise.
    auto awaitPeers() -> void;

    // Routers and agents.
    auto processes() -> std::vector<std::string>;

    // Connects the routers to an agent by another address.
    auto redirect(const std::string &agent, const std::string &address) -> void;

    // The history so far, with the runs and the logs.
    auto collect() -> History;

    // Fails the test with all violations, and names the folder with the logs.
    auto checkHistory(const HistoryLimits &limits = {}) -> void;

private:
    auto nextCall() -> std::string;
    auto finish(const std::string &call, const CallEnd &end, const std::string &requestId) -> void;
    auto processNamed(const History &logs, const std::string &name, Microseconds time) const -> std::string;

    const WallTime origin_;
    const std::string directory_;
    std::shared_ptr<Deployment> system_;
    std::atomic<std::size_t> calls_ = 0;
    bool keepFiles_ = true;
    std::mutex mutex_;
    History history_;
    // Names of processes that were ended by the story.
    std::vector<std::pair<Microseconds, std::string>> ended_;
};

// Concurrent tasks that are joined at the end.
class Callers
{
public:
    // Runs the body once on each of `count` threads with the number of the thread.
    Callers(std::size_t count, const std::function<auto(std::size_t)->void> &body);

    ~Callers();
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    // Waits for all bodies; fails the test with the message of the first one that failed.
    auto join() -> void;

private:
    std::mutex mutex_;
    std::string failure_;
    std::vector<std::thread> threads_;
};

} // namespace jasminewood::testbench
