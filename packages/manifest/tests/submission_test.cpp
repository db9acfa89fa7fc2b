#include "jasminewood/manifest/submission.h"
#include "jasminewood/testkit/property.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// A fake of the key-value service with the transactions that submissions use.
struct FakeStore
{
    std::uint64_t revision_ = 7;
    std::string submission_ = "base";
    std::map<std::string, std::uint64_t> records_ = {};

    auto perform(const manifest::Action &action) -> manifest::CallResult
    {
        if (const auto *write = std::get_if<manifest::WriteIfUnchanged>(&action)) {
            if (write->baseRevision_ != revision_) {
                return manifest::BaseRevisionChanged {};
            }
            ++revision_;
            submission_ = write->submission_;
            records_[submission_] = revision_;
            return manifest::WriteSucceeded {.revision_ = revision_};
        }
        const auto record = records_.find(std::get<manifest::ReadSubmission>(action).submission_);
        if (record != records_.end()) {
            return manifest::RecordFound {.revision_ = record->second};
        }
        return manifest::RecordAbsent {.currentRevision_ = revision_, .currentSubmission_ = submission_};
    }
};

enum class CallFate : std::uint8_t
{
    Answered,
    AnswerLost,
    RequestLost,
    RequestDelayed,
};

constexpr int fateCount = 4;

// Concurrent submissions on one base revision over a network that loses and delays calls. Each choice selects the
// submission to advance and the fate of its call.
struct SubmissionRace
{
    FakeStore store_;
    std::deque<manifest::Action> delayedCalls_;
    std::vector<std::optional<manifest::SubmissionStep>> submissions_;

    explicit SubmissionRace(int count)
    {
        for (auto index = 0; index < count; ++index) {
            submissions_.emplace_back(
                manifest::startSubmission({.id_ = "s" + std::to_string(index), .baseRevision_ = 7, .text_ = "text"}));
        }
    }

    auto call(const manifest::Action &action, CallFate fate) -> manifest::CallResult
    {
        if (fate == CallFate::RequestDelayed) {
            delayedCalls_.push_back(action);
        }
        if (fate == CallFate::RequestLost || fate == CallFate::RequestDelayed) {
            return manifest::CallOutcomeUnknown {.reason_ = "timeout"};
        }
        const auto result = store_.perform(action);
        return fate == CallFate::AnswerLost ? manifest::CallOutcomeUnknown {.reason_ = "timeout"} : result;
    }

    auto advance(std::uint8_t choice) -> void
    {
        auto &step = submissions_.at(choice % submissions_.size());
        const auto remainder = choice / submissions_.size();
        if (remainder % 5 == 4) {
            deliverDelayedCall();
        } else if (!manifest::isOutcome(step->action_)) {
            const auto result = call(step->action_, static_cast<CallFate>(remainder % fateCount));
            step.emplace(manifest::nextStep(manifest::SubmissionState(step->submission_), result));
        }
    }

    auto deliverDelayedCall() -> void
    {
        if (!delayedCalls_.empty()) {
            store_.perform(delayedCalls_.front());
            delayedCalls_.pop_front();
        }
    }

    // Completes all submissions without further network faults; the delayed calls arrive last.
    auto completeAll() -> void
    {
        for (auto &step : submissions_) {
            while (!manifest::isOutcome(step->action_)) {
                step.emplace(
                    manifest::nextStep(manifest::SubmissionState(step->submission_), store_.perform(step->action_)));
            }
        }
        while (!delayedCalls_.empty()) {
            deliverDelayedCall();
        }
    }
};

auto outcomeMatchesStore(const manifest::SubmissionStep &step, const FakeStore &store) -> bool
{
    const auto record = store.records_.find(step.submission_.request_.id_);
    if (const auto *accepted = std::get_if<manifest::Accepted>(&step.action_)) {
        return record != store.records_.end() && record->second == accepted->revision_;
    }
    if (const auto *conflict = std::get_if<manifest::Conflict>(&step.action_)) {
        const auto winner = store.records_.find(conflict->acceptedSubmission_);
        return record == store.records_.end() && winner != store.records_.end()
            && winner->second == conflict->revision_;
    }
    return std::holds_alternative<manifest::OutcomeUnknown>(step.action_);
}

const testkit::TestSuite suite = {"a submission",
    {
        section("whose response is lost",
            {
                // Guards against a reported conflict of a submission with itself.
                test("finds that it was accepted",
                    [] {
                        auto store = FakeStore();
                        auto step = manifest::startSubmission({.id_ = "mine", .baseRevision_ = 7, .text_ = "t"});
                        store.perform(step.action_);
                        const auto read
                            = manifest::nextStep(step.submission_, manifest::CallOutcomeUnknown {.reason_ = "reset"});
                        check(read.action_ == manifest::Action(manifest::ReadSubmission {.submission_ = "mine"}));
                        const auto outcome = manifest::nextStep(read.submission_, store.perform(read.action_));
                        check(outcome.action_ == manifest::Action(manifest::Accepted {.revision_ = 8}));
                    }),
                // Guards against a definite outcome without evidence, and against an unlimited number of calls.
                test("has an unknown outcome while the service is unavailable, and is resolved later",
                    [] {
                        const auto request
                            = manifest::SubmissionRequest {.id_ = "mine", .baseRevision_ = 7, .text_ = "t"};
                        auto step = std::optional(manifest::startSubmission(request));
                        auto calls = 0;
                        while (!manifest::isOutcome(step->action_)) {
                            ++calls;
                            step.emplace(manifest::nextStep(manifest::SubmissionState(step->submission_),
                                manifest::CallOutcomeUnknown {.reason_ = "timeout"}));
                        }
                        check(std::holds_alternative<manifest::OutcomeUnknown>(step->action_));
                        check(calls == manifest::maximumUnknownOutcomes);
                        const auto resumed = manifest::resumeSubmission(request);
                        const auto again
                            = manifest::nextStep(resumed.submission_, FakeStore().perform(resumed.action_));
                        check(std::holds_alternative<manifest::WriteIfUnchanged>(again.action_));
                    }),
            }),
        section("that competes with others for one base revision",
            {
                // Guards against two accepted submissions, a lost submission and a wrongly reported outcome, whichever
                // calls are lost, delayed or executed twice.
                property("is accepted exactly once among them, and every reported outcome is correct",
                    [](const std::vector<std::uint8_t> &choices) {
                        auto race = SubmissionRace(*rc::gen::inRange(2, 5));
                        for (const auto choice : choices) {
                            race.advance(choice);
                        }
                        race.completeAll();
                        RC_ASSERT(race.store_.records_.size() <= 1U);
                        auto accepted = 0;
                        auto unknown = 0;
                        for (const auto &step : race.submissions_) {
                            RC_ASSERT(outcomeMatchesStore(*step, race.store_));
                            accepted += std::holds_alternative<manifest::Accepted>(step->action_) ? 1 : 0;
                            unknown += std::holds_alternative<manifest::OutcomeUnknown>(step->action_) ? 1 : 0;
                        }
                        RC_ASSERT(accepted == 1 || (accepted == 0 && unknown > 0));
                        RC_TAG(unknown == 0 ? "all resolved" : "some unknown");
                    }),
                // Guards against a conflict that is reported for an accepted submission because another one replaced
                // it.
                test("is reported as accepted although another one replaced it before the read",
                    [] {
                        auto store = FakeStore();
                        const auto mine = manifest::startSubmission({.id_ = "mine", .baseRevision_ = 7, .text_ = "t"});
                        store.perform(mine.action_);
                        store.perform(
                            manifest::WriteIfUnchanged {.submission_ = "next", .baseRevision_ = 8, .text_ = "u"});
                        const auto read = manifest::nextStep(mine.submission_, manifest::BaseRevisionChanged {});
                        const auto outcome = manifest::nextStep(read.submission_, store.perform(read.action_));
                        check(outcome.action_ == manifest::Action(manifest::Accepted {.revision_ = 8}));
                    }),
            }),
    }};

} // namespace
