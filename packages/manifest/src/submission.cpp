#include "jasminewood/manifest/submission.h"

#include <fmt/format.h>

namespace jasminewood::manifest
{

namespace
{

auto makeWrite(const SubmissionRequest &request) -> WriteIfUnchanged
{
    return WriteIfUnchanged {
        .submission_ = request.id_, .baseRevision_ = request.baseRevision_, .text_ = request.text_};
}

auto makeRead(const SubmissionRequest &request) -> ReadSubmission
{
    return ReadSubmission {.submission_ = request.id_};
}

struct ResultHandler
{
    const SubmissionState &submission_;

    auto operator()(const WriteSucceeded &result) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = Accepted {.revision_ = result.revision_}};
    }

    // An earlier write of this submission may have replaced the base revision; only the record shows whether it did.
    auto operator()(const BaseRevisionChanged & /*result*/) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = makeRead(submission_.request_)};
    }

    auto operator()(const RecordFound &result) const -> SubmissionStep
    {
        return {.submission_ = submission_, .action_ = Accepted {.revision_ = result.revision_}};
    }

    // While the base revision is still current, a delayed write may still take effect. The write is retried: at most
    // one of the writes can succeed, and all carry the same submission.
    auto operator()(const RecordAbsent &result) const -> SubmissionStep
    {
        if (result.currentRevision_ == submission_.request_.baseRevision_) {
            return {.submission_ = submission_, .action_ = makeWrite(submission_.request_)};
        }
        return {.submission_ = submission_,
            .action_
            = Conflict {.acceptedSubmission_ = result.currentSubmission_, .revision_ = result.currentRevision_}};
    }

    auto operator()(const CallOutcomeUnknown &result) const -> SubmissionStep
    {
        const auto unknownOutcomes = submission_.unknownOutcomes_ + 1;
        if (unknownOutcomes < maximumUnknownOutcomes) {
            return {.submission_ = {.request_ = submission_.request_, .unknownOutcomes_ = unknownOutcomes},
                .action_ = makeRead(submission_.request_)};
        }
        return {.submission_ = {.request_ = submission_.request_, .unknownOutcomes_ = unknownOutcomes},
            .action_ = OutcomeUnknown {
                .reason_ = fmt::format("{} calls had no answer, the last: {}", unknownOutcomes, result.reason_)}};
    }
};

} // namespace

auto isOutcome(const Action &action) -> bool
{
    return !std::holds_alternative<WriteIfUnchanged>(action) && !std::holds_alternative<ReadSubmission>(action);
}

auto startSubmission(const SubmissionRequest &request) -> SubmissionStep
{
    return {.submission_ = {.request_ = request}, .action_ = makeWrite(request)};
}

auto resumeSubmission(const SubmissionRequest &request) -> SubmissionStep
{
    return {.submission_ = {.request_ = request}, .action_ = makeRead(request)};
}

auto nextStep(const SubmissionState &submission, const CallResult &result) -> SubmissionStep
{
    return std::visit(ResultHandler {.submission_ = submission}, result);
}

} // namespace jasminewood::manifest
