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

// The key-value service as submissions see it.
struct Store
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

enum class Fate : std::uint8_t
{
    Answered,
    AnswerLost,
    RequestLost,
    RequestDelayed,
};

constexpr int fateCount = 4;

// Operators that race for one base revision over a network that loses and delays calls. Each choice picks who moves and
// what becomes of the call.
struct Race
{
    Store store_;
    std::deque<manifest::Action> delayed_;
    std::vector<std::optional<manifest::SubmissionStep>> operators_;

    explicit Race(int count)
    {
        for (auto index = 0; index < count; ++index) {
            operators_.emplace_back(
                manifest::startSubmission({.id_ = "s" + std::to_string(index), .baseRevision_ = 7, .text_ = "text"}));
        }
    }

    auto call(const manifest::Action &action, Fate fate) -> manifest::CallResult
    {
        if (fate == Fate::RequestDelayed) {
            delayed_.push_back(action);
        }
        if (fate == Fate::RequestLost || fate == Fate::RequestDelayed) {
            return manifest::CallOutcomeUnknown {.reason_ = "timeout"};
        }
        const auto result = store_.perform(action);
        return fate == Fate::AnswerLost ? manifest::CallOutcomeUnknown {.reason_ = "timeout"} : result;
    }

    auto move(std::uint8_t choice) -> void
    {
        auto &step = operators_.at(choice % operators_.size());
        const auto rest = choice / operators_.size();
        if (rest % 5 == 4) {
            deliverOne();
        } else if (!manifest::isOutcome(step->action_)) {
            const auto result = call(step->action_, static_cast<Fate>(rest % fateCount));
            step.emplace(manifest::nextStep(manifest::SubmissionState(step->submission_), result));
        }
    }

    auto deliverOne() -> void
    {
        if (!delayed_.empty()) {
            store_.perform(delayed_.front());
            delayed_.pop_front();
        }
    }

    // Lets every operator reach an outcome over a network that works again, with late calls arriving last.
    auto finish() -> void
    {
        for (auto &step : operators_) {
            while (!manifest::isOutcome(step->action_)) {
                step.emplace(
                    manifest::nextStep(manifest::SubmissionState(step->submission_), store_.perform(step->action_)));
            }
        }
        while (!delayed_.empty()) {
            deliverOne();
        }
    }
};

auto isTrue(const manifest::SubmissionStep &step, const Store &store) -> bool
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

const testkit::TestSuite story = {"a submission",
    {
        section("whose answer is lost",
            {
                // Guards against an operator who is told of a conflict with his own submission.
                test("finds that it was accepted",
                    [] {
                        auto store = Store();
                        auto step = manifest::startSubmission({.id_ = "mine", .baseRevision_ = 7, .text_ = "t"});
                        store.perform(step.action_);
                        const auto read
                            = manifest::nextStep(step.submission_, manifest::CallOutcomeUnknown {.reason_ = "reset"});
                        check(read.action_ == manifest::Action(manifest::ReadSubmission {.submission_ = "mine"}));
                        const auto outcome = manifest::nextStep(read.submission_, store.perform(read.action_));
                        check(outcome.action_ == manifest::Action(manifest::Accepted {.revision_ = 8}));
                    }),
                // Guards against a guess when nothing is known, and against calls without a bound.
                test("is unknown while the service is away, and resolved later",
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
                        const auto again = manifest::nextStep(resumed.submission_, Store().perform(resumed.action_));
                        check(std::holds_alternative<manifest::WriteIfUnchanged>(again.action_));
                    }),
            }),
        section("that races with others for one base",
            {
                // Guards against two accepted submissions, a silent loss, and an operator who is told wrong, whatever
                // calls are lost, delayed or answered twice.
                property("is accepted exactly once among them and nobody is told wrong",
                    [](const std::vector<std::uint8_t> &choices) {
                        auto race = Race(*rc::gen::inRange(2, 5));
                        for (const auto choice : choices) {
                            race.move(choice);
                        }
                        race.finish();
                        RC_ASSERT(race.store_.records_.size() <= 1U);
                        auto accepted = 0;
                        auto unknown = 0;
                        for (const auto &step : race.operators_) {
                            RC_ASSERT(isTrue(*step, race.store_));
                            accepted += std::holds_alternative<manifest::Accepted>(step->action_) ? 1 : 0;
                            unknown += std::holds_alternative<manifest::OutcomeUnknown>(step->action_) ? 1 : 0;
                        }
                        RC_ASSERT(accepted == 1 || (accepted == 0 && unknown > 0));
                        RC_TAG(unknown == 0 ? "all resolved" : "some unknown");
                    }),
                // Guards against a conflict that hides an acceptance which a third submission has replaced since.
                test("is accepted although another one followed before it looked",
                    [] {
                        auto store = Store();
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
