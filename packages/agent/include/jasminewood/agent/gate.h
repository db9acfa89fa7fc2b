#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "jasminewood/agent/attempt_ledger.h"
#include "jasminewood/agent/attempt_run.h"
#include "jasminewood/agent/upstream.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/link/connection.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/node/manifest_store.h"
#include "jasminewood/scheduling/attempt_scheduler.h"
#include "jasminewood/scheduling/output_length_estimator.h"
#include "jasminewood/wire/messages.h"

// Service "gate" of the agent: the only way by which work reaches the upstream, and the place where a request is known
// to have run or not.
//
//     gate->dispatch(message, router);       // answered by Started, Frames and Finished, or by Failed
//     gate->leave();                         // refuses new work from now on
//     gate->waitIdle(drainTimeout);          // work in flight goes on

namespace jasminewood::agent
{

// A router whose connection broke may attach again within this time before its idempotent attempts are cancelled.
constexpr Milliseconds reattachGracePeriod = Milliseconds(5000);
// How often an attempt makes room for higher tiers before it keeps its slot to the end.
constexpr std::uint32_t maximumPreemptions = 3;
// Output of a finished attempt is kept for this long, for a router that attaches or voids late.
constexpr Milliseconds outputRetention = Milliseconds(60'000);

using RouterConnection = std::shared_ptr<link::Connection>;

// Thread-safe. Starts one task that assigns slots, and one task for each running attempt.
class Gate
{
public:
    explicit Gate(scheduling::QueueDiscipline order = scheduling::TierAndShare {});

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    auto dispatch(const wire::Dispatch &message, const RouterConnection &router) -> void;
    auto cancel(const wire::Cancel &message, const RouterConnection &router) -> void;
    auto attach(const wire::Attach &message, const RouterConnection &router) -> void;
    auto voidAttempt(const wire::Void &message, const RouterConnection &router) -> void;

    // The connection ended. Its attempts run on for attachGrace.
    auto handleDisconnect(const RouterConnection &router) -> void;

    // Refuses new work from now on, as not run.
    auto leave() -> void;

    auto leaving() const -> bool;

    // Waits until nothing is queued or running; returns whether that happened in time.
    auto waitIdle(Milliseconds timeout) -> bool;

    auto loadReport() const -> wire::LoadReport;

    // Waits until the load has changed since the version given, and returns the present version.
    auto waitForLoadChange(std::uint64_t version) -> std::uint64_t;

    // Lets waitLoadChange() return at once.
    auto wakeLoadWaiters() -> void;

private:
    // An attempt that never started and never will, and why. Sent without the mutex, since a frozen router can block a
    // send for its whole deadline.
    struct Refusal
    {
        std::shared_ptr<AttemptRun> run_;
        Failure failure_;
    };

    using Refusals = std::vector<Refusal>;

    // How far an interrupted attempt is.
    enum class Interruption : std::uint8_t
    {
        // Its call is being ended.
        Ending,
        // Queued again.
        Waiting,
        // Has a slot again.
        Granted,
        // Will not continue.
        Withdrawn,
    };

    auto enqueue(const wire::Dispatch &message, const RouterConnection &router, Refusals &refusals)
        -> std::optional<wire::Failed>;
    auto entryOf(const wire::Dispatch &message, TimePoint now) const -> scheduling::QueueEntry;
    auto refusal(const std::string &reason) const -> Failure;
    auto neverStart(const AttemptId &attempt, const std::string &reason, Refusals &refusals) -> void;
    auto deliver(const Refusals &refusals) -> void;
    auto sendUnknown(const AttemptId &attempt, const std::string &step, RunState runState,
        const RouterConnection &router) const -> void;
    auto assignSlots() -> void;
    auto startAttempt(const scheduling::QueueEntry &entry) -> void;
    auto withdraw(const AttemptId &attempt, const std::string &reason, Refusals &refusals) -> bool;
    auto callUpstream(AttemptRun &run) -> CallOutcome;
    auto awaitSlot(const AttemptRun &run) -> bool;
    auto interrupt(const AttemptId &attempt) -> void;
    auto runAttempt(AttemptRun &run) -> void;
    auto freeSlot(const wire::Dispatch &dispatch, const CallOutcome &outcome, std::uint32_t outputTokens) -> void;
    auto finish(AttemptRun &run, const CallCompleted &outcome) -> void;
    auto finish(AttemptRun &run, const CallFailed &outcome) -> void;
    auto endUnattached(TimePoint now, Refusals &refusals) -> void;
    auto forgetOldRuns(TimePoint now) -> void;
    auto applyManifest(const node::ManifestPointer &manifest) -> void;
    auto loadChanged() -> void;
    auto find(const AttemptId &attempt) const -> std::shared_ptr<AttemptRun>;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifests_;
    std::shared_ptr<Upstream> upstream_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    scheduling::AttemptScheduler queue_;
    scheduling::OutputLengthEstimator lengths_;
    std::uint32_t longTokens_ = 0;
    std::map<std::string, double> accountWeights_;
    std::optional<AttemptLedger> ledger_;
    std::map<AttemptId, std::shared_ptr<AttemptRun>> runs_;
    // Attempts that were told to make room, until they end or their call was continued.
    std::map<AttemptId, Interruption> interrupted_;
    // How often each running attempt was interrupted.
    std::map<AttemptId, std::uint32_t> interruptions_;
    std::uint32_t activeTasks_ = 0;
    // Counts changes of queue, slots and leaving state.
    std::uint64_t loadVersion_ = 0;
    bool leaving_ = false;
    bool stopping_ = false;
    std::thread assigner_;
};

} // namespace jasminewood::agent
