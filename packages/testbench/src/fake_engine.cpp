#include "jasminewood/testbench/fake_engine.h"

#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "engine_model.h"
#include "generation.h"
#include "jasminewood/http/server.h"
#include "json_response.h"

namespace jasminewood::testbench
{

namespace
{

using internal::Aborted;
using internal::ChatRequest;
using internal::EngineModel;
using internal::errorResponse;
using internal::Finished;
using internal::Generation;
using internal::jsonResponse;
using internal::Token;
using nlohmann::json;

auto responseObject(const ChatRequest &request, const char *objectType) -> json
{
    return {
        {"id", "chatcmpl-" + request.requestId_}, {"object", objectType}, {"created", 0}, {"model", request.model_}};
}

auto usageOf(const ChatRequest &request) -> json
{
    const auto prompt = request.prompt_.size() / 4;
    const auto tokens = request.endToken_ > request.firstToken_ ? request.endToken_ - request.firstToken_ : 0;
    return {{"prompt_tokens", prompt}, {"completion_tokens", tokens}, {"total_tokens", prompt + tokens}};
}

auto event(const json &data) -> std::string
{
    return "data: " + data.dump() + "\n\n";
}

auto deltaEvent(const ChatRequest &request, const json &delta, const json &finishReason) -> std::string
{
    auto chunk = responseObject(request, "chat.completion.chunk");
    chunk["choices"] = json::array({{{"index", 0}, {"delta", delta}, {"finish_reason", finishReason}}});
    return event(chunk);
}

auto finalEvents(const ChatRequest &request) -> std::string
{
    auto events = deltaEvent(request, json::object(), "stop");
    if (request.includeUsage_) {
        auto chunk = responseObject(request, "chat.completion.chunk");
        chunk["choices"] = json::array();
        chunk["usage"] = usageOf(request);
        events += event(chunk);
    }
    return events + "data: [DONE]\n\n";
}

// Converts the steps of a generation to server-sent events.
class EventStream
{
public:
    explicit EventStream(std::shared_ptr<Generation> generation)
        : generation_(std::move(generation))
    {
    }

    auto next() -> http::StreamEvent
    {
        if (finished_) {
            return http::EndOfStream {};
        }
        return std::visit(*this, generation_->next());
    }

    auto operator()(const Token &token) -> http::StreamEvent
    {
        auto delta = json {{"content", token.text_}};
        if (!std::exchange(roleSent_, true)) {
            delta["role"] = "assistant";
        }
        return http::Chunk {.data_ = deltaEvent(generation_->request(), delta, nullptr)};
    }

    auto operator()(const Finished & /*step*/) -> http::StreamEvent
    {
        finished_ = true;
        return http::Chunk {.data_ = finalEvents(generation_->request())};
    }

    auto operator()(const Aborted & /*step*/) -> http::StreamEvent
    {
        return http::AbortStream {};
    }

private:
    const std::shared_ptr<Generation> generation_;
    bool roleSent_ = false;
    bool finished_ = false;
};

auto streamResponse(const std::shared_ptr<Generation> &generation) -> http::Response
{
    const auto events = std::make_shared<EventStream>(generation);
    return http::StreamResponse {
        .headers_ = {{.name_ = "Content-Type", .value_ = "text/event-stream"}}, .nextEvent_ = [events] {
            return events->next();
        }};
}

auto completeResponse(Generation &generation) -> http::Response
{
    auto text = std::string();
    for (auto step = std::make_unique<internal::GenerationStep>(generation.next());;
         step = std::make_unique<internal::GenerationStep>(generation.next())) {
        if (std::holds_alternative<Aborted>(*step)) {
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        if (std::holds_alternative<Finished>(*step)) {
            break;
        }
        text += std::get<Token>(*step).text_;
    }
    auto response = responseObject(generation.request(), "chat.completion");
    const auto message = json {{"role", "assistant"}, {"content", text}};
    response["choices"] = json::array({{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}});
    response["usage"] = usageOf(generation.request());
    return jsonResponse(200, response);
}

} // namespace

class FakeEngine::State
{
public:
    explicit State(const FakeEngineOptions &options)
        : options_(options)
        , model_(std::make_shared<EngineModel>(options))
    {
    }

    auto run() -> Status
    {
        const auto server
            = http::Server::start({.port_ = options_.port_}, [this](const http::Request &request) -> http::Response {
                  return handle(request);
              });
        if (!server) {
            return server.failure();
        }
        server_ = *server;
        return std::nullopt;
    }

    auto port() const -> std::uint16_t
    {
        return server_->port();
    }

    auto stop() -> void
    {
        model_->stop();
        server_->stop();
    }

private:
    auto handle(const http::Request &request) -> http::Response
    {
        if (request.path_ == "/fault") {
            return handleFault(request);
        }
        if (!model_->waitWhileStalled()) {
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        if (request.path_ == "/v1/chat/completions" && request.method_ == "POST") {
            return handleCompletion(request);
        }
        if (request.path_ == "/v1/models") {
            const auto model = json {{"id", options_.model_}, {"object", "model"}};
            return jsonResponse(200, {{"object", "list"}, {"data", json::array({model})}});
        }
        if (request.path_ == "/health") {
            return jsonResponse(200, {{"status", "ok"}});
        }
        if (request.path_ == "/metrics") {
            return http::BufferedResponse {.body_ = metrics()};
        }
        if (request.path_ == "/runs") {
            return jsonResponse(200, model_->runCounts());
        }
        return errorResponse(404, "no such path");
    }

    auto handleCompletion(const http::Request &request) -> http::Response
    {
        const auto chat = internal::parseChatRequest(request);
        if (!chat) {
            return errorResponse(400, chat.failure().reason_);
        }
        const auto generation = std::make_shared<Generation>(model_, *chat, request.callerDisconnected_, [this] {
            crash();
        });
        return chat->stream_ ? streamResponse(generation) : completeResponse(*generation);
    }

    auto metrics() const -> std::string
    {
        const auto reportedLoad = model_->reportedLoad();
        return fmt::format("# TYPE vllm:num_requests_running gauge\n"
                           "vllm:num_requests_running{{model_name=\"{0}\"}} {1}\n"
                           "# TYPE vllm:num_requests_waiting gauge\n"
                           "vllm:num_requests_waiting{{model_name=\"{0}\"}} {2}\n"
                           "# TYPE vllm:generation_tokens_total counter\n"
                           "vllm:generation_tokens_total{{model_name=\"{0}\"}} {3}\n"
                           "# TYPE process_start_time_seconds gauge\n"
                           "process_start_time_seconds {4:.6f}\n",
            options_.model_, reportedLoad.running_, reportedLoad.waiting_, model_->generatedTokens(), startedAt_);
    }

    auto handleFault(const http::Request &request) -> http::Response
    {
        try {
            return injectFault(json::parse(request.body_.text()));
        } catch (const json::exception &jsonError) {
            return errorResponse(400, jsonError.what());
        }
    }

    auto injectFault(const json &fault) -> http::Response
    {
        if (fault.value("crash", false)) {
            crash();
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        if (fault.contains("slow")) {
            const auto duration = fault.contains("for_ms")
                ? std::optional(Milliseconds(fault["for_ms"].get<std::int64_t>()))
                : std::nullopt;
            model_->setSlowFactor(fault["slow"].get<double>(), duration);
        }
        if (fault.contains("stall")) {
            model_->setStalled(fault["stall"].get<bool>());
        }
        if (fault.contains("drop_after_tokens")) {
            model_->truncateAfter(fault["drop_after_tokens"].get<std::size_t>(), fault.value("count", std::size_t(1)));
        }
        return jsonResponse(200, json::object());
    }

    auto crash() -> void
    {
        if (options_.onCrash_) {
            options_.onCrash_();
        }
        model_->stop();
        server_->stopAccepting();
    }

    const FakeEngineOptions options_;
    const std::shared_ptr<EngineModel> model_;
    // Seconds since the epoch.
    const double startedAt_
        = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    std::shared_ptr<http::Server> server_;
};

auto FakeEngine::start(const FakeEngineOptions &options) -> Result<std::shared_ptr<FakeEngine>>
{
    auto state = std::make_shared<State>(options);
    if (const auto failure = state->run()) {
        return *failure;
    }
    return std::shared_ptr<FakeEngine>(new FakeEngine(std::move(state)));
}

FakeEngine::FakeEngine(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

FakeEngine::~FakeEngine()
{
    stop();
}

auto FakeEngine::port() const -> std::uint16_t
{
    return state_->port();
}

auto FakeEngine::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::testbench
