#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

// State machine of one operator's submission of a manifest: returns the next call to the key-value service, or the
// outcome to report to the operator. It does no I/O; its user makes the calls and passes their results.
//
//     auto step = manifest::startSubmission({.id_ = id, .baseRevision_ = seen, .text_ = text});
//     while (!manifest::isOutcome(step.action_)) {
//         step = manifest::nextStep(step.submission_, perform(step.action_));
//     }
//
// The write is one transaction: if the manifest's mod revision is the base revision, put the manifest together with its
// submission id, and put the record of the submission. Because the record is written in the same transaction, it exists
// if and only if the submission was accepted.

namespace jasminewood::manifest
{

// Number of calls without a response after which the outcome is reported as unknown.
constexpr std::uint32_t maximumUnknownOutcomes = 5;

// The operator's request. The id is unique to the submission.
struct SubmissionRequest
{
    const std::string id_;
    // Revision that the operator's change is based on; 0 if there was no manifest.
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

// Read the record of the submission and the current manifest in one transaction. Between two separate reads, a delayed
// write could take effect.
struct ReadSubmission
{
    const std::string submission_;

    auto operator<=>(const ReadSubmission &) const = default;
};

// Outcomes to report to the operator.

struct Accepted
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const Accepted &) const = default;
};

// Another submission replaced the base revision; this one was not accepted and never will be.
struct Conflict
{
    const std::string acceptedSubmission_;
    const std::uint64_t revision_ = 0;

    auto operator<=>(const Conflict &) const = default;
};

// The submission may have been accepted or may still be accepted. resumeSubmission() with the same request resolves it
// later.
struct OutcomeUnknown
{
    const std::string reason_;

    auto operator<=>(const OutcomeUnknown &) const = default;
};

using Action = std::variant<WriteIfUnchanged, ReadSubmission, Accepted, Conflict, OutcomeUnknown>;

// Returns whether the action is an outcome and not a call.
auto isOutcome(const Action &action) -> bool;

// Results of calls.

struct WriteSucceeded
{
    const std::uint64_t revision_ = 0;

    auto operator<=>(const WriteSucceeded &) const = default;
};

// The comparison of the transaction failed.
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

// The record does not exist. The current manifest is that of another submission; its revision is 0 if there is none.
struct RecordAbsent
{
    const std::uint64_t currentRevision_ = 0;
    const std::string currentSubmission_;

    auto operator<=>(const RecordAbsent &) const = default;
};

// The call may have taken effect or may still take effect.
struct CallOutcomeUnknown
{
    const std::string reason_;

    auto operator<=>(const CallOutcomeUnknown &) const = default;
};

using CallResult = std::variant<WriteSucceeded, BaseRevisionChanged, RecordFound, RecordAbsent, CallOutcomeUnknown>;

// State of a submission between two calls.
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

// Starts a submission.
auto startSubmission(const SubmissionRequest &request) -> SubmissionStep;

// Continues a submission whose outcome was reported as unknown, also in another process. Records are kept for 24 h;
// after that time a submission must not be resumed.
auto resumeSubmission(const SubmissionRequest &request) -> SubmissionStep;

// Handles the result of the last call and returns the next call or the outcome.
auto nextStep(const SubmissionState &submission, const CallResult &result) -> SubmissionStep;

} // namespace jasminewood::manifest
