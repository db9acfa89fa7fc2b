#include "jasminewood/manifest/submission.h"

#include <fmt/format.h>

namespace jasminewood::manifest
{

namespace
{

auto writeOf(const SubmissionRequest &request) -> WriteIfUnchanged
{
    return WriteIfUnchanged {
        .submission_ = request.id_, .baseRevision_ = request.baseRevision_, .text_ = request.text_};
}

auto readOf(const SubmissionRequest &request) -> ReadSubmission
{
    return ReadSubmission {.submission_ = request.id_};
}

struct Continuation
{
    const SubmissionState &submission_;

    auto operator()(const WriteSucceeded &result) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = Accepted {.revision_ = result.revision_}};
    }

    // The base may have been replaced by an earlier try of this same submission, so only the record tells.
    auto operator()(const BaseRevisionChanged & /*result*/) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = readOf(submission_.request_)};
    }

    auto operator()(const RecordFound &result) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = Accepted {.revision_ = result.revision_}};
    }

    // While the base is still current, a delayed write may yet take effect. The write is repeated: at most one of the
    // copies can succeed, and all carry the same submission.
    auto operator()(const RecordAbsent &result) const -> SubmissionStep
    {
        if (result.currentRevision_ == submission_.request_.baseRevision_) {
            return {.submission_ = submission_, .action_ = writeOf(submission_.request_)};
        }
        return {.submission_ = submission_,
            .action_
            = Conflict {.acceptedSubmission_ = result.currentSubmission_, .revision_ = result.currentRevision_}};
    }

    auto operator()(const CallOutcomeUnknown &result) const -> SubmissionStep
    {
        const auto lost = submission_.unknownOutcomes_ + 1;
        if (lost < maximumUnknownOutcomes) {
            return {.submission_ = {.request_ = submission_.request_, .unknownOutcomes_ = lost},
                .action_ = readOf(submission_.request_)};
        }
        return {.submission_ = {.request_ = submission_.request_, .unknownOutcomes_ = lost},
            .action_
            = OutcomeUnknown {.reason_ = fmt::format("{} calls had no answer, the last: {}", lost, result.reason_)}};
    }
};

} // namespace

auto isOutcome(const Action &action) -> bool
{
    return !std::holds_alternative<WriteIfUnchanged>(action) && !std::holds_alternative<ReadSubmission>(action);
}

auto startSubmission(const SubmissionRequest &request) -> SubmissionStep
{
    return {.submission_ = {.request_ = request}, .action_ = writeOf(request)};
}

auto resumeSubmission(const SubmissionRequest &request) -> SubmissionStep
{
    return {.submission_ = {.request_ = request}, .action_ = readOf(request)};
}

auto nextStep(const SubmissionState &submission, const CallResult &result) -> SubmissionStep
{
    return std::visit(Continuation {.submission_ = submission}, result);
}

} // namespace jasminewood::manifest
