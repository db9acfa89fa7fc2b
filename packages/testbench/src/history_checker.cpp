#include "jasminewood/testbench/history_checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <fmt/format.h>

namespace jasminewood::testbench
{

namespace
{

constexpr auto microsPerSecond = 1e6;

// Returns the events of one type with their times, sorted by time.
template <typename Kind>
auto eventsOf(const History &history) -> std::vector<std::pair<Microseconds, const Kind *>>
{
    auto found = std::vector<std::pair<Microseconds, const Kind *>>();
    for (const auto &event : history) {
        if (const auto *kind = std::get_if<Kind>(&event.event_)) {
            found.emplace_back(event.time_, kind);
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const auto &left, const auto &right) -> bool {
        return left.first < right.first;
    });
    return found;
}

class Checker
{
public:
    Checker(const History &history, const HistoryLimits &limits)
        : history_(history)
        , limits_(limits)
    {
        for (const auto &[time, sent] : eventsOf<RequestSent>(history)) {
            sent_.emplace(sent->callId_, std::make_pair(time, sent));
        }
    }

    auto violations() -> std::vector<Violation>
    {
        checkRunsAtMostOnce();
        checkResponses();
        checkTermination();
        checkNotRun();
        checkManifestRevisions();
        checkManifestPropagation();
        checkProgress();
        checkSheds();
        return std::move(violations_);
    }

private:
    auto add(Invariant invariant, Microseconds time, std::string detail) -> void
    {
        violations_.push_back(Violation {.invariant_ = invariant, .time_ = time, .detail_ = std::move(detail)});
    }

    auto checkRunsAtMostOnce() -> void
    {
        auto runs = std::map<std::string, std::string>();
        for (const auto &[time, run] : eventsOf<RunRecorded>(history_)) {
            if (run->idempotencyKey_.empty()) {
                continue;
            }
            const auto [first, isFirst] = runs.emplace(run->idempotencyKey_, run->requestId_);
            if (!isFirst) {
                add(Invariant::RunsAtMostOnce, time,
                    fmt::format("key {} ran as {} and as {}", run->idempotencyKey_, first->second, run->requestId_));
            }
        }
    }

    auto checkResponses() -> void
    {
        for (const auto &[time, response] : eventsOf<ResponseReceived>(history_)) {
            const auto sent = sent_.find(response->callId_);
            if (sent == sent_.end()) {
                add(Invariant::ResponseMatchesRequest, time,
                    fmt::format("{} received a response without a request", response->callId_));
            } else if (sent->second.second->expectedResponse_ != response->text_) {
                add(Invariant::ResponseMatchesRequest, time,
                    fmt::format("{} expected \"{}\" and received \"{}\"", response->callId_,
                        sent->second.second->expectedResponse_, response->text_));
            }
        }
        for (const auto &[time, error] : eventsOf<ErrorReceived>(history_)) {
            const auto sent = sent_.find(error->callId_);
            if (sent != sent_.end() && !sent->second.second->expectedResponse_.starts_with(error->partialResponse_)) {
                add(Invariant::ResponseMatchesRequest, time,
                    fmt::format("{} expected \"{}\" and received before the error \"{}\"", error->callId_,
                        sent->second.second->expectedResponse_, error->partialResponse_));
            }
        }
    }

    // Returns the time at which each call ended.
    auto callEnds() const -> std::map<std::string, Microseconds>
    {
        auto found = std::map<std::string, Microseconds>();
        for (const auto &[time, response] : eventsOf<ResponseReceived>(history_)) {
            found.emplace(response->callId_, time);
        }
        for (const auto &[time, error] : eventsOf<ErrorReceived>(history_)) {
            found.emplace(error->callId_, time);
        }
        return found;
    }

    auto checkTermination() -> void
    {
        const auto ended = callEnds();
        for (const auto &[call, sent] : sent_) {
            if (ended.find(call) == ended.end()) {
                add(Invariant::RequestTerminates, sent.first,
                    fmt::format("{} has neither a response nor an error", call));
            }
        }
    }

    auto checkNotRun() -> void
    {
        auto runs = std::map<std::string, Microseconds>();
        for (const auto &[time, run] : eventsOf<RunRecorded>(history_)) {
            runs.emplace(run->requestId_, time);
        }
        for (const auto &[time, error] : eventsOf<ErrorReceived>(history_)) {
            const auto run = runs.find(error->requestId_);
            if (error->runState_ == RunState::NotRun && run != runs.end() && !error->requestId_.empty()) {
                add(Invariant::NotRunNeverRuns, time,
                    fmt::format("{} received not_run, but its request {} ran at {:.3f} s", error->callId_,
                        error->requestId_, double(run->second.count()) / microsPerSecond));
            }
        }
    }

    auto checkManifestRevisions() -> void
    {
        auto highest = std::map<std::string, std::uint64_t>();
        for (const auto &[time, seen] : eventsOf<ManifestActive>(history_)) {
            auto &highestSeen = highest[seen->process_];
            if (seen->revision_ < highestSeen) {
                add(Invariant::ManifestRevisionIsMonotonic, time,
                    fmt::format("{} went back from revision {} to {}", seen->process_, highestSeen, seen->revision_));
            }
            highestSeen = std::max(highestSeen, seen->revision_);
        }
    }

    auto checkManifestPropagation() -> void
    {
        auto ended = std::map<std::string, Microseconds>();
        for (const auto &[time, end] : eventsOf<ProcessEnded>(history_)) {
            ended.emplace(end->process_, time);
        }
        auto last = Microseconds(0);
        for (const auto &event : history_) {
            last = std::max(last, event.time_);
        }
        for (const auto &[acceptedAt, accepted] : eventsOf<ManifestAccepted>(history_)) {
            for (const auto &[startedAt, started] : eventsOf<ProcessStarted>(history_)) {
                const auto due = std::max(acceptedAt, startedAt) + limits_.manifestPropagation_;
                const auto end = ended.find(started->process_);
                if ((end == ended.end() || end->second > due)
                    && !becameActiveBy(started->process_, accepted->revision_, due)) {
                    add(Invariant::ManifestPropagates, due,
                        fmt::format("{} has not activated revision {}", started->process_, accepted->revision_));
                }
            }
        }
    }

    auto becameActiveBy(const std::string &process, std::uint64_t revision, Microseconds due) const -> bool
    {
        return std::any_of(history_.begin(), history_.end(), [&](const HistoryEvent &event) -> bool {
            const auto *seen = std::get_if<ManifestActive>(&event.event_);
            return seen != nullptr && seen->process_ == process && seen->revision_ >= revision && event.time_ <= due;
        });
    }

    // A change in the number of a class's calls in flight.
    struct InFlightChange
    {
        const Microseconds time_;
        const int delta_ = 0;
        const bool isResponse_ = false;
    };

    auto checkProgress() -> void
    {
        for (const auto &[requestClass, changes] : changesByClass()) {
            if (limits_.stalledClasses_.count(requestClass) == 0) {
                checkProgress(requestClass, changes);
            }
        }
    }

    auto changesByClass() const -> std::map<std::string, std::multimap<Microseconds, InFlightChange>>
    {
        auto found = std::map<std::string, std::multimap<Microseconds, InFlightChange>>();
        for (const auto &[call, sent] : sent_) {
            found[sent.second->requestClass_].emplace(sent.first, InFlightChange {.time_ = sent.first, .delta_ = 1});
        }
        const auto end = [&](const std::string &call, Microseconds time, bool response) -> void {
            if (const auto sent = sent_.find(call); sent != sent_.end()) {
                found[sent->second.second->requestClass_].emplace(
                    time, InFlightChange {.time_ = time, .delta_ = -1, .isResponse_ = response});
            }
        };
        for (const auto &[time, response] : eventsOf<ResponseReceived>(history_)) {
            end(response->callId_, time, true);
        }
        for (const auto &[time, error] : eventsOf<ErrorReceived>(history_)) {
            end(error->callId_, time, false);
        }
        return found;
    }

    auto checkProgress(const std::string &requestClass, const std::multimap<Microseconds, InFlightChange> &changes)
        -> void
    {
        auto inFlight = 0;
        auto lastProgress = Microseconds(0);
        for (const auto &[time, change] : changes) {
            if (inFlight > 0 && time - lastProgress > limits_.progressWindow_) {
                add(Invariant::NoClassStarves, time,
                    fmt::format("class {} completed no request since {:.3f} s", requestClass,
                        double(lastProgress.count()) / microsPerSecond));
            }
            // After a violation is reported, a new window starts.
            if (inFlight == 0 || change.isResponse_ || time - lastProgress > limits_.progressWindow_) {
                lastProgress = time;
            }
            inFlight += change.delta_;
        }
    }

    struct QueuedAttempt
    {
        const Microseconds queuedAt_;
        const Tier tier_;
        const std::string agent_;
    };

    auto checkSheds() -> void
    {
        auto queued = std::map<std::string, QueuedAttempt>();
        for (const auto &[time, attempt] : eventsOf<AttemptQueued>(history_)) {
            queued.emplace(attempt->attempt_,
                QueuedAttempt {.queuedAt_ = time, .tier_ = attempt->tier_, .agent_ = attempt->agent_});
        }
        const auto starts = eventsOf<AttemptStarted>(history_);
        for (const auto &[shedAt, shed] : eventsOf<AttemptShed>(history_)) {
            const auto own = queued.find(shed->attempt_);
            for (const auto &[startedAt, started] : starts) {
                const auto kept = queued.find(started->attempt_);
                // Only attempts queued strictly earlier count: one queued at the same time may have taken a place that
                // became free after the other was shed.
                const auto inQueue = kept != queued.end() && own != queued.end() && startedAt > shedAt
                    && kept->second.agent_ == shed->agent_ && kept->second.queuedAt_ < own->second.queuedAt_;
                if (inQueue && kept->second.tier_ > shed->tier_) {
                    add(Invariant::LowerTiersAreShedFirst, shedAt,
                        fmt::format("{} of tier {} was shed at {} while {} of tier {} kept its place", shed->attempt_,
                            shed->tier_, shed->agent_, started->attempt_, kept->second.tier_));
                }
            }
        }
    }

    const History &history_;
    const HistoryLimits &limits_;
    std::map<std::string, std::pair<Microseconds, const RequestSent *>> sent_;
    std::vector<Violation> violations_;
};

} // namespace

auto toString(Invariant invariant) -> std::string_view
{
    switch (invariant) {
    case Invariant::RunsAtMostOnce:
        return "a non-idempotent key ran more than once";
    case Invariant::ResponseMatchesRequest:
        return "a response is not complete or not the caller's own";
    case Invariant::RequestTerminates:
        return "a request did not end";
    case Invariant::NotRunNeverRuns:
        return "a request that ran was reported as not run";
    case Invariant::ManifestRevisionIsMonotonic:
        return "the manifest revision of a process decreased";
    case Invariant::ManifestPropagates:
        return "an accepted manifest is not active in every process";
    case Invariant::NoClassStarves:
        return "a class with requests in flight made no progress";
    case Invariant::LowerTiersAreShedFirst:
        return "a higher tier was shed in favour of a lower one";
    }
    return "";
}

auto toString(const Violation &violation) -> std::string
{
    return fmt::format("at {:.3f} s: {}: {}", double(violation.time_.count()) / microsPerSecond,
        toString(violation.invariant_), violation.detail_);
}

auto findViolations(const History &history, const HistoryLimits &limits) -> std::vector<Violation>
{
    return Checker(history, limits).violations();
}

} // namespace jasminewood::testbench
