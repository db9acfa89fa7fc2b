#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "chat_request.h"
#include "engine_model.h"

// One answer of the fake engine while it is produced.

namespace jasminewood::testbench::internal
{

struct Token
{
    const std::string text_;

    auto operator<=>(const Token &) const = default;
};

// The answer is whole.
struct Finished
{
    auto operator<=>(const Finished &) const = default;
};

// The answer ends here, because the engine ended, the caller left or a fault was injected.
struct Broken
{
    auto operator<=>(const Broken &) const = default;
};

using GenerationStep = std::variant<Token, Finished, Broken>;

// Used by one thread.
class Generation
{
public:
    Generation(std::shared_ptr<EngineModel> model, ChatRequest request, std::function<auto()->bool> callerGone,
        std::function<auto()->void> crash);
    ~Generation();

    Generation(const Generation &) = delete;
    auto operator=(const Generation &) -> Generation & = delete;

    // Waits for the next token. The first call waits for a slot and the prefill as well.
    auto next() -> GenerationStep;

    auto request() const -> const ChatRequest &;

private:
    auto begin() -> bool;

    const std::shared_ptr<EngineModel> model_;
    const ChatRequest request_;
    const std::function<auto()->bool> callerGone_;
    const std::function<auto()->void> crash_;
    const std::shared_ptr<EngineModel::Sequence> sequence_;
    bool begun_ = false;
    std::size_t index_;
    std::optional<std::size_t> dropAt_;
};

} // namespace jasminewood::testbench::internal
