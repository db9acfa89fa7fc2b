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

// Service "gate" of the agent: queues dispatched attempts, limits how many run at once and records which of them ran.
// All work reaches the upstream through it.
//
//     gate->handleDispatch(message, router); // replied to with Started, Frames and Finished, or Failed
//     gate->leave();                         // rejects new attempts from now on
//     gate->waitUntilIdle(drainTimeout);     // attempts in flight complete

namespace jasminewood::agent
{

// Grace period after a router's connection is lost. Idempotent attempts to which no router attaches within it are
// cancelled.
constexpr Milliseconds reattachGracePeriod = Milliseconds(5000);
// An attempt that was preempted this often keeps its slot until it ends.
constexpr std::uint32_t maximumPreemptions = 3;
// The output of an ended attempt is retained for this time, so that a router can still attach to it or ask for its
// result with Void.
constexpr Milliseconds outputRetention = Milliseconds(60'000);

using RouterConnection = std::shared_ptr<link::Connection>;

// Thread-safe. Runs one scheduler thread and one thread for each running attempt.
class Gate
{
public:
    explicit Gate(scheduling::QueueDiscipline discipline = scheduling::TierAndShare {});

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    auto handleDispatch(const wire::Dispatch &message, const RouterConnection &router) -> void;
    auto handleCancel(const wire::Cancel &message, const RouterConnection &router) -> void;
    auto handleAttach(const wire::Attach &message, const RouterConnection &router) -> void;
    auto handleVoid(const wire::Void &message, const RouterConnection &router) -> void;

    // Called when the connection is closed. Its attempts continue for reattachGracePeriod.
    auto handleDisconnect(const RouterConnection &router) -> void;

    // Rejects new attempts as not run from now on.
    auto leave() -> void;

    auto leaving() const -> bool;

    // Waits until no attempt is queued or running. Returns false if the timeout expires first.
    auto waitUntilIdle(Milliseconds timeout) -> bool;

    auto loadReport() const -> wire::LoadReport;

    // Waits until the load version differs from the given one or the gate stops, and returns the current version.
    auto waitForLoadChange(std::uint64_t version) -> std::uint64_t;

    // Makes all current calls of waitForLoadChange() return.
    auto wakeLoadWaiters() -> void;

private:
    // A queued attempt that will never start, and the failure that its router gets. Sent without holding mutex_,
    // because an unresponsive router can block a send until the send timeout.
    struct Rejection
    {
        std::shared_ptr<AttemptRun> run_;
        Failure failure_;
    };

    using Rejections = std::vector<Rejection>;

    // Progress of the preemption of an attempt.
    enum class PreemptionState : std::uint8_t
    {
        // The upstream call is being cancelled.
        CancellingCall,
        // The attempt is in the queue again.
        Requeued,
        // The attempt has a slot again and can continue.
        SlotGranted,
        // The attempt was removed from the queue and does not continue.
        Withdrawn,
    };

    auto enqueue(const wire::Dispatch &message, const RouterConnection &router, Rejections &rejections)
        -> std::optional<wire::Failed>;
    auto makeQueueEntry(const wire::Dispatch &message, TimePoint now) const -> scheduling::QueueEntry;
    auto makeFailure(const std::string &reason) const -> Failure;
    // Makes sure that the attempt does not start from now on; returns whether it ran. Requires mutex_.
    auto voidAttempt(const AttemptId &attempt) -> RunState;
    auto rejectAttempt(const AttemptId &attempt, const std::string &reason, Rejections &rejections) -> void;
    auto sendRejections(const Rejections &rejections) -> void;
    auto sendUnknownAttemptFailure(const AttemptId &attempt, const std::string &step, RunState runState,
        const RouterConnection &router) const -> void;
    auto runScheduler() -> void;
    auto startAttempt(const scheduling::QueueEntry &entry) -> void;
    // Removes an attempt from the queue; returns whether it was queued.
    auto withdrawQueued(const AttemptId &attempt, const std::string &reason, Rejections &rejections) -> bool;
    auto callUpstream(AttemptRun &run) -> CallOutcome;
    // Queues a preempted attempt again and waits for a slot. Returns false if the attempt was not preempted or must not
    // continue.
    auto requeueAndAwaitSlot(const AttemptRun &run) -> bool;
    auto preemptAttempt(const AttemptId &attempt) -> void;
    auto runAttempt(AttemptRun &run) -> void;
    auto releaseSlot(const wire::Dispatch &dispatch, const CallOutcome &outcome, std::uint32_t outputTokens) -> void;
    auto finish(AttemptRun &run, const CallCompleted &outcome) -> void;
    auto finish(AttemptRun &run, const CallFailed &outcome) -> void;
    auto cancelDetachedAttempts(TimePoint now, Rejections &rejections) -> void;
    auto eraseExpiredRuns(TimePoint now) -> void;
    auto applyManifest(const node::ManifestPointer &manifest) -> void;
    auto notifyLoadChange() -> void;
    auto findRun(const AttemptId &attempt) const -> std::shared_ptr<AttemptRun>;

    std::shared_ptr<node::Environment> environment_;
    std::shared_ptr<node::ManifestStore> manifestStore_;
    std::shared_ptr<Upstream> upstream_;

    mutable std::mutex mutex_;
    std::condition_variable stateChanged_;
    scheduling::AttemptScheduler scheduler_;
    scheduling::OutputLengthEstimator lengthEstimator_;
    std::uint32_t longAttemptTokens_ = 0;
    std::map<std::string, double> accountWeights_;
    std::optional<AttemptLedger> ledger_;
    std::map<AttemptId, std::shared_ptr<AttemptRun>> runs_;
    // Preempted attempts, until they continue or end.
    std::map<AttemptId, PreemptionState> preemptedAttempts_;
    // Number of preemptions of each running attempt.
    std::map<AttemptId, std::uint32_t> preemptionCounts_;
    std::uint32_t activeAttemptThreads_ = 0;
    // Incremented at each change of the queue, the slots or leaving_.
    std::uint64_t loadVersion_ = 0;
    bool leaving_ = false;
    bool stopping_ = false;
    std::thread schedulerThread_;
};

} // namespace jasminewood::agent
