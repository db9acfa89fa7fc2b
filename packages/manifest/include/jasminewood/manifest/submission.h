#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

// One operator's submission of a manifest: which call to make next, and what to tell the operator. Pure; the caller
// makes the calls and hands their outcome back.
//
//     auto step = manifest::startSubmission({.id_ = id, .baseRevision_ = seen, .text_ = text});
//     while (!manifest::isOutcome(step.action_)) {
//         step = manifest::nextStep(step.submission_, perform(step.action_));
//     }
//
// The write is one transaction: if the manifest's mod revision is the base revision, put the manifest together with its
// submission id, and put the record of the submission. Because the record is written in the same transaction, it exists
// exactly if the submission was accepted.

namespace jasminewood::manifest
{

// Calls without an answer after which the outcome is reported as unknown.
constexpr std::uint32_t maximumUnknownOutcomes = 5;

// What the operator submitted. The id is unique to the submission.
struct SubmissionRequest
{
    const std::string id_;
    // Revision that the operator's change was made from; 0 if there was no manifest.
    const std::uint64_t baseRevision_ = 0;
    const std::string text_;

    auto operator<=>(const SubmissionRequest &) const = default;
};

// Calls to make.

struct WriteIfUnchanged
{
    const std::string submission_;
    const std::uint64_t baseRevision_ = 0;
    const std::string text_;

    auto operator<=>(const WriteIfUnchanged &) const = default;
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
    const std::string acceptedSubmission_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const Conflict &) const = default;
};

// The submission may have been accepted, or may still be. resumeSubmission() with the same request resolves it later.
struct OutcomeUnknown
{
    const std::string reason_;

    auto operator<=>(const OutcomeUnknown &) const = default;
};

using Action = std::variant<WriteIfUnchanged, ReadSubmission, Accepted, Conflict, OutcomeUnknown>;

// Whether the action is an outcome and not a call.
auto isOutcome(const Action &action) -> bool;

// What came of a call.

struct WriteSucceeded
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const WriteSucceeded &) const = default;
};

// The transaction's comparison failed.
struct BaseRevisionChanged
{
    auto operator<=>(const BaseRevisionChanged &) const = default;
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
struct CallOutcomeUnknown
{
    const std::string reason_;

    auto operator<=>(const CallOutcomeUnknown &) const = default;
};

using CallResult = std::variant<WriteSucceeded, BaseRevisionChanged, RecordFound, RecordAbsent, CallOutcomeUnknown>;

// State between two calls.
struct SubmissionState
{
    const SubmissionRequest request_;
    const std::uint32_t unknownOutcomes_ = 0;

    auto operator<=>(const SubmissionState &) const = default;
};

struct SubmissionStep
{
    const SubmissionState submission_;
    const Action action_;

    auto operator<=>(const SubmissionStep &) const = default;
};

// Begins a submission.
auto startSubmission(const SubmissionRequest &request) -> SubmissionStep;

// Continues a submission whose outcome was reported as unknown, also in another process. Records are kept for 24 h;
// after that time a submission must not be resumed.
auto resumeSubmission(const SubmissionRequest &request) -> SubmissionStep;

// Returns the next call or the outcome after the result of the last call.
auto nextStep(const SubmissionState &submission, const CallResult &result) -> SubmissionStep;

} // namespace jasminewood::manifest
