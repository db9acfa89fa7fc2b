#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "chat_request.h"
#include "engine_model.h"

// A response of the fake engine in progress.

namespace jasminewood::testbench::internal
{

struct Token
{
    const std::string text_;

    auto operator<=>(const Token &) const = default;
};

// The response is complete.
struct Finished
{
    auto operator<=>(const Finished &) const = default;
};

// The response ends early, because the engine stopped, the caller disconnected or a fault was injected.
struct Aborted
{
    auto operator<=>(const Aborted &) const = default;
};

using GenerationStep = std::variant<Token, Finished, Aborted>;

// Used by one thread.
class Generation
{
public:
    Generation(std::shared_ptr<EngineModel> model, ChatRequest request, std::function<auto()->bool> callerDisconnected,
        std::function<auto()->void> crash);
    ~Generation();

    Generation(const Generation &) = delete;
    auto operator=(const Generation &) -> Generation & = delete;

    // Waits for the next token. The first call waits for a slot and the prefill as well.
    auto next() -> GenerationStep;

    auto request() const -> const ChatRequest &;

private:
    auto start() -> bool;

    const std::shared_ptr<EngineModel> model_;
    const ChatRequest request_;
    const std::function<auto()->bool> callerDisconnected_;
    const std::function<auto()->void> crash_;
    const std::shared_ptr<EngineModel::Sequence> sequence_;
    bool started_ = false;
    std::size_t nextTokenIndex_;
    std::optional<std::size_t> truncateAt_;
};

} // namespace jasminewood::testbench::internal
