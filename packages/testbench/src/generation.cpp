#include "generation.h"

#include <utility>

#include "jasminewood/testbench/expected_output.h"

namespace jasminewood::testbench::internal
{

Generation::Generation(std::shared_ptr<EngineModel> model, ChatRequest request, std::function<auto()->bool> callerGone,
    std::function<auto()->void> crash)
    : model_(std::move(model))
    , request_(std::move(request))
    , callerGone_(std::move(callerGone))
    , crash_(std::move(crash))
    , sequence_(model_->queue(request_.priority_))
    , index_(request_.firstToken_)
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

auto Generation::begin() -> bool
{
    begun_ = true;
    if (!model_->waitForSlot(*sequence_) || callerGone_()) {
        return false;
    }
    model_->countRun(request_.requestId_);
    if (request_.lastUserMessage_.find("[crash]") != std::string::npos) {
        crash_();
        return false;
    }
    if (const auto tokens = model_->takeDrop()) {
        dropAt_ = request_.firstToken_ + *tokens;
    }
    return model_->prefill(*sequence_, request_.prompt_);
}

auto Generation::next() -> GenerationStep
{
    if (!begun_ && !begin()) {
        return Broken {};
    }
    if (index_ == dropAt_) {
        return Broken {};
    }
    if (index_ >= request_.endToken_) {
        return Finished {};
    }
    if (!model_->decodeToken(*sequence_) || callerGone_()) {
        return Broken {};
    }
    const auto token = expectedToken(request_.lastUserMessage_, index_);
    const auto continued = index_++ == request_.firstToken_ && token.starts_with(request_.partialToken_);
    return Token {.text_ = continued ? token.substr(request_.partialToken_.size()) : token};
}

} // namespace jasminewood::testbench::internal
