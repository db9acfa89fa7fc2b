#include "generation.h"

#include <utility>

#include "jasminewood/testbench/expected_output.h"

namespace jasminewood::testbench::internal
{

Generation::Generation(std::shared_ptr<EngineModel> model, ChatRequest request,
    std::function<auto()->bool> callerDisconnected, std::function<auto()->void> crash)
    : model_(std::move(model))
    , request_(std::move(request))
    , callerDisconnected_(std::move(callerDisconnected))
    , crash_(std::move(crash))
    , sequence_(model_->enqueue(request_.priority_))
    , nextTokenIndex_(request_.firstToken_)
{
}

Generation::~Generation()
{
    model_->remove(sequence_);
}

auto Generation::request() const -> const ChatRequest &
{
    return request_;
}

auto Generation::start() -> bool
{
    started_ = true;
    if (!model_->waitForSlot(*sequence_) || callerDisconnected_()) {
        return false;
    }
    model_->recordRun(request_.requestId_);
    if (request_.lastUserMessage_.find("[crash]") != std::string::npos) {
        crash_();
        return false;
    }
    if (const auto tokens = model_->consumeTruncation()) {
        truncateAt_ = request_.firstToken_ + *tokens;
    }
    return model_->prefill(*sequence_, request_.prompt_);
}

auto Generation::next() -> GenerationStep
{
    if (!started_ && !start()) {
        return Aborted {};
    }
    if (nextTokenIndex_ == truncateAt_) {
        return Aborted {};
    }
    if (nextTokenIndex_ >= request_.endToken_) {
        return Finished {};
    }
    if (!model_->decodeToken(*sequence_) || callerDisconnected_()) {
        return Aborted {};
    }
    const auto token = expectedToken(request_.lastUserMessage_, nextTokenIndex_);
    const auto continued = nextTokenIndex_++ == request_.firstToken_ && token.starts_with(request_.partialToken_);
    return Token {.text_ = continued ? token.substr(request_.partialToken_.size()) : token};
}

} // namespace jasminewood::testbench::internal
