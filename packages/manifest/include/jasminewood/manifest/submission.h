#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

// One operator's submission of a manifest: which call to make next, and what to tell the operator. Pure; the caller
// makes the calls and hands their outcome back.
//
//     auto step = manifest::start({.id_ = id, .baseRevision_ = seen, .text_ = text});
//     while (!manifest::isOutcome(step.action_)) {
//         step = manifest::next(step.submission_, perform(step.action_));
//     }
//
// The write is one transaction: if the manifest's mod revision is the base revision, put the manifest together with its
// submission id, and put the record of the submission. Because the record is written in the same transaction, it exists
// exactly if the submission was accepted.

namespace jasminewood::manifest
{

// Calls without an answer after which the outcome is reported as unknown.
constexpr std::uint32_t maximumLostAnswers = 5;

// What the operator submitted. The id is unique to the submission.
struct Request
{
    const std::string id_;
    // Revision that the operator's change was made from; 0 if there was no manifest.
    const std::uint64_t baseRevision_ = 0;
    const std::string text_;

    auto operator<=>(const Request &) const = default;
};

// Calls to make.

struct WriteIfBase
{
    const std::string submission_;
    const std::uint64_t baseRevision_ = 0;
    const std::string text_;

    auto operator<=>(const WriteIfBase &) const = default;
};

// Read the record of the submission and the current manifest in one transaction. Two separate reads would leave room
// for a delayed write between them.
struct ReadSubmission
{
    const std::string submission_;

    auto operator<=>(const ReadSubmission &) const = default;
};

// Outcomes to tell the operator.

struct Accepted
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const Accepted &) const = default;
};

// Another submission replaced the base; this one was not and never will be accepted.
struct Conflict
{
    const std::string winnerSubmission_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const Conflict &) const = default;
};

// The submission may have been accepted, or may still be. resume() with the same request resolves it later.
struct Unknown
{
    const std::string reason_;

    auto operator<=>(const Unknown &) const = default;
};

using Action = std::variant<WriteIfBase, ReadSubmission, Accepted, Conflict, Unknown>;

// Whether the action is an outcome and not a call.
auto isOutcome(const Action &action) -> bool;

// What came of a call.

struct WriteDone
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const WriteDone &) const = default;
};

// The transaction's comparison failed.
struct WriteRefused
{
    auto operator<=>(const WriteRefused &) const = default;
};

// The record exists: the submission was accepted under this revision.
struct RecordFound
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const RecordFound &) const = default;
};

// No record; the current manifest is that of another submission, or revision 0 if there is none.
struct RecordAbsent
{
    const std::uint64_t currentRevision_ = 0;
    const std::string currentSubmission_;

    auto operator<=>(const RecordAbsent &) const = default;
};

// The call may or may not have taken effect, or may still take effect.
struct AnswerLost
{
    const std::string reason_;

    auto operator<=>(const AnswerLost &) const = default;
};

using CallResult = std::variant<WriteDone, WriteRefused, RecordFound, RecordAbsent, AnswerLost>;

// State between two calls.
struct Submission
{
    const Request request_;
    const std::uint32_t lostAnswers_ = 0;

    auto operator<=>(const Submission &) const = default;
};

struct SubmissionStep
{
    const Submission submission_;
    const Action action_;

    auto operator<=>(const SubmissionStep &) const = default;
};

// Begins a submission.
auto start(const Request &request) -> SubmissionStep;

// Continues a submission whose outcome was reported as unknown, also in another process. Records are kept for 24 h;
// after that time a submission must not be resumed.
auto resume(const Request &request) -> SubmissionStep;

// Returns the next call or the outcome after the result of the last call.
auto next(const Submission &submission, const CallResult &result) -> SubmissionStep;

} // namespace jasminewood::manifest
