#include "jasminewood/router/http_frontend.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "api_error.h"
#include "chat_response.h"
#include "jasminewood/core/overloaded.h"
#include "jasminewood/engine/chat_request.h"
#include "jasminewood/router/claimed_execution.h"
#include "jasminewood/router/sha256.h"

namespace jasminewood::router
{

namespace
{

using internal::errorResponse;

constexpr auto bearerPrefix = std::string_view("Bearer ");
constexpr auto chatPath = "/v1/chat/completions";
constexpr auto modelsPath = "/v1/models";

auto headerValue(const http::Request &request, const std::string &name) -> std::string
{
    const auto found = request.headers_.find(name);
    return found == request.headers_.end() ? std::string() : found->second;
}

auto bearerKey(const http::Request &request) -> std::string
{
    const auto authorization = headerValue(request, "authorization");
    return authorization.starts_with(bearerPrefix) ? authorization.substr(bearerPrefix.size()) : std::string();
}

auto fingerprintOf(const std::string &account, const std::string &requestClass, const std::string &body)
    -> std::uint64_t
{
    const auto seed = XXH3_64bits(account.data(), account.size());
    const auto withClass = XXH3_64bits_withSeed(requestClass.data(), requestClass.size(), seed);
    return XXH3_64bits_withSeed(body.data(), body.size(), withClass);
}

// Returns the class in the caller's X-Request-Class header, or else the account's default class.
auto requestClassFor(const http::Request &request, const manifest::Manifest &manifest, const manifest::Account &account)
    -> Result<const manifest::RequestClass *>
{
    const auto named = headerValue(request, "x-request-class");
    const auto name = named.empty() ? account.defaultClass_ : named;
    const auto *found = manifest.classNamed(name);
    if (found == nullptr || !manifest::isAllowed(account, name)) {
        return Failure {.step_ = "classify", .reason_ = "the account may not use class \"" + name + "\""};
    }
    return found;
}

// Returns the only method that a path of this API supports; empty for the paths of services.
auto allowedMethod(const std::string &path) -> std::string
{
    if (path == chatPath) {
        return "POST";
    }
    return path == modelsPath ? "GET" : "";
}

auto badRequest(const std::string &requestId, const Failure &failure) -> http::BufferedResponse
{
    return errorResponse(400, requestId, failure);
}

} // namespace

HttpFrontend::HttpFrontend(http::ServerOptions options)
    : options_(std::move(options))
{
}

auto HttpFrontend::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (const auto failure = services.require("limits", requestLimits_)) {
        return failure;
    }
    if (const auto failure = services.require("claims", claimStore_)) {
        return failure;
    }
    const auto server = http::Server::start(
        options_,
        [this](const http::Request &request) -> http::Response {
            return handle(request);
        },
        [this](const http::UnservedRequest &request) {
            recordUnserved(request);
        });
    if (!server) {
        return server.failure();
    }
    server_ = *server;
    environment_->log().info("listening for callers", {{"port", std::int64_t(server_->port())}});
    return std::nullopt;
}

auto HttpFrontend::stop() -> void
{
    if (server_) {
        server_->stop();
    }
}

auto HttpFrontend::drain(Milliseconds noticePeriod, Milliseconds timeout) -> bool
{
    // During this period the health check fails, so that the load balancer stops opening new connections. Callers of
    // open ones open a new connection for their next request, which reaches another router.
    server_->closeAfterResponses();
    std::this_thread::sleep_for(noticePeriod);
    const auto deadline = Clock::now() + timeout;
    server_->stopAccepting();
    if (!server_->waitUntilIdle(timeout)) {
        return false;
    }
    // A request may have been read since; stop() would close its connection before the response.
    return server_->closeConnections(std::chrono::ceil<Milliseconds>(deadline - Clock::now()));
}

auto HttpFrontend::port() const -> std::uint16_t
{
    return server_->port();
}

auto HttpFrontend::handle(const http::Request &request) -> http::Response
{
    const auto &node = environment_->identity().node_;
    // The incarnation makes the ids of a restarted router unique.
    const auto requestId = fmt::format("{}-{:x}-{}", node.name_, node.incarnation_, ++requestCount_);
    return authenticateAndRoute(request, requestId);
}

auto HttpFrontend::authenticateAndRoute(const http::Request &request, const std::string &requestId) -> http::Response
{
    const auto current = manifestStore_->current();
    if (!current) {
        return errorResponse(503, requestId,
            Failure {
                .step_ = "configure", .reason_ = "this router has no manifest yet", .retryAfter_ = Milliseconds(1000)});
    }
    const auto &manifest = *current->manifest_;
    const auto *account = manifest.accountByKeyHash(sha256Hex(bearerKey(request)));
    if (account == nullptr) {
        return errorResponse(401, requestId, Failure {.step_ = "authenticate", .reason_ = "the bearer key is unknown"});
    }
    if (request.path_ == chatPath && request.method_ == "POST") {
        return handleChat(request, requestId, manifest, *account);
    }
    if (request.path_ == modelsPath && request.method_ == "GET") {
        return listModels(manifest, *account, requestId);
    }
    if (const auto allowed = allowedMethod(request.path_); !allowed.empty()) {
        return internal::methodNotAllowed(requestId, allowed);
    }
    return handleServiceCall(request, requestId, manifest, *account);
}

auto HttpFrontend::listModels(const manifest::Manifest &manifest, const manifest::Account &account,
    const std::string &requestId) const -> http::BufferedResponse
{
    auto names = std::vector<std::string>();
    for (const auto &className : account.classes_) {
        if (const auto *requestClass = manifest.classNamed(className)) {
            for (const auto &choice : requestClass->models_) {
                names.push_back(choice.model_);
            }
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    auto list = nlohmann::json::array();
    for (const auto &name : names) {
        list.push_back({{"id", name}, {"object", "model"}, {"owned_by", "jasminewood"}});
    }
    return http::BufferedResponse {.headers_
        = {{.name_ = "Content-Type", .value_ = "application/json"}, {.name_ = "X-Request-Id", .value_ = requestId}},
        .body_ = nlohmann::json {{"object", "list"}, {"data", list}}.dump()};
}

auto HttpFrontend::handleChat(const http::Request &request, const std::string &requestId,
    const manifest::Manifest &manifest, const manifest::Account &account) -> http::Response
{
    const auto parsed = engine::parseChatRequest(request.body_.text());
    if (!parsed) {
        return badRequest(requestId, parsed.failure());
    }
    const auto foundClass = requestClassFor(request, manifest, account);
    if (!foundClass) {
        return badRequest(requestId, foundClass.failure());
    }
    const auto &requestClass = **foundClass;
    const auto *model = manifest.modelNamed(parsed->model_);
    if (model == nullptr || !manifest::isAllowed(requestClass, parsed->model_, "")) {
        return errorResponse(404, requestId,
            Failure {.step_ = "classify",
                .reason_ = "class \"" + requestClass.name_ + "\" may not use model \"" + parsed->model_ + "\""});
    }
    const auto routed = RoutedRequest {.requestId_ = requestId,
        .account_ = account.name_,
        .requestClass_ = requestClass.name_,
        .pool_ = model->pool_,
        .tier_ = requestClass.tier_,
        .path_ = chatPath,
        .body_ = request.body_.text(),
        .resumable_ = true,
        .hedgingAllowed_ = requestClass.hedge_,
        .prefixHash_ = parsed->prefixHash_,
        .fingerprint_ = fingerprintOf(account.name_, requestClass.name_, request.body_.text()),
        .costEstimate_ = parsed->maximumOutputTokens_.value_or(requestClass.costEstimate_),
        .maximumWait_ = requestClass.maximumWait_,
        .callerDisconnected_ = request.callerDisconnected_};
    if (const auto rejection = requestLimits_->admit(routed.account_, routed.costEstimate_)) {
        countOutcome(requestClass.name_, "over_limit");
        return errorResponse(429, requestId, *rejection);
    }
    const auto execution = makeExecution(routed);
    if (parsed->stream_) {
        return streamingChatResponse(execution, routed, parsed->model_);
    }
    return nonStreamingChatResponse(*execution, routed, parsed->model_);
}

auto HttpFrontend::makeExecution(const RoutedRequest &request) const -> std::shared_ptr<RequestExecution>
{
    return std::make_shared<RequestExecution>(environment_, upstreams_, requestLimits_, request);
}

auto HttpFrontend::nonStreamingChatResponse(
    RequestExecution &execution, const RoutedRequest &request, const std::string &model) -> http::Response
{
    auto text = std::string();
    while (true) {
        const auto event = execution.nextEvent();
        if (const auto *chunk = std::get_if<ResponseChunk>(&event)) {
            text += chunk->text_;
        } else if (const auto *failed = std::get_if<ResponseFailed>(&event)) {
            countOutcome(request.requestClass_, std::string(toString(failed->failure_.runState_)));
            return errorResponse(internal::httpStatusFor(failed->failure_), request.requestId_, failed->failure_);
        } else {
            const auto &completed = std::get<ResponseCompleted>(event);
            if (completed.status_ >= internal::firstErrorStatus) {
                // The engine rejected the request body; its response is an error and not model output.
                countOutcome(request.requestClass_, "upstream_error");
                return internal::passThroughResponse(
                    request.requestId_, completed.status_, completed.contentType_, text);
            }
            countOutcome(request.requestClass_, "ok");
            return internal::chatResponse(request.requestId_, model, text, completed);
        }
    }
}

auto HttpFrontend::streamingChatResponse(const std::shared_ptr<RequestExecution> &execution,
    const RoutedRequest &request, const std::string &model) -> http::Response
{
    // The status line is sent only after the first event, which shows whether the request has output.
    auto firstEvent = std::make_shared<std::optional<ResponseEvent>>(execution->nextEvent());
    if (const auto *failed = std::get_if<ResponseFailed>(&**firstEvent)) {
        countOutcome(request.requestClass_, std::string(toString(failed->failure_.runState_)));
        return errorResponse(internal::httpStatusFor(failed->failure_), request.requestId_, failed->failure_);
    }
    auto stream = std::make_shared<internal::ChatEventStream>(request.requestId_, model);
    auto next = [this, execution, firstEvent, stream, requestClass = request.requestClass_]() -> http::StreamEvent {
        if (stream->ended()) {
            return http::EndOfStream {};
        }
        const auto event = *firstEvent ? **firstEvent : execution->nextEvent();
        firstEvent->reset();
        if (const auto *failed = std::get_if<ResponseFailed>(&event)) {
            countOutcome(requestClass, std::string(toString(failed->failure_.runState_)));
        } else if (const auto *completed = std::get_if<ResponseCompleted>(&event)) {
            countOutcome(requestClass, completed->status_ >= internal::firstErrorStatus ? "upstream_error" : "ok");
        }
        return http::Chunk {.data_ = stream->nextEvents(event)};
    };
    return http::StreamResponse {
        .headers_ = {{.name_ = "Content-Type", .value_ = "text/event-stream"},
            {.name_ = "Cache-Control", .value_ = "no-store"}, {.name_ = "X-Request-Id", .value_ = request.requestId_}},
        .nextEvent_ = std::move(next)};
}

auto HttpFrontend::handleServiceCall(const http::Request &request, const std::string &requestId,
    const manifest::Manifest &manifest, const manifest::Account &account) -> http::Response
{
    const auto *pool = manifest.serviceFor(request.path_);
    if (pool == nullptr) {
        return errorResponse(
            404, requestId, Failure {.step_ = "classify", .reason_ = "no service of the manifest has this path"});
    }
    const auto *route = manifest.routeFor(request.method_, request.path_);
    const auto foundClass = requestClassFor(request, manifest, account);
    const auto *requestClass = route != nullptr ? manifest.classNamed(route->class_)
        : foundClass                            ? *foundClass
                                                : nullptr;
    if (requestClass == nullptr || !manifest::isAllowed(account, requestClass->name_)) {
        return badRequest(requestId,
            Failure {.step_ = "classify", .reason_ = "the account has no class that may use service " + pool->name_});
    }
    const auto idempotent = manifest::isIdempotent(manifest, request.method_, request.path_);
    const auto routed = RoutedRequest {.requestId_ = requestId,
        .account_ = account.name_,
        .requestClass_ = requestClass->name_,
        .pool_ = pool->name_,
        .tier_ = requestClass->tier_,
        .method_ = request.method_,
        .path_ = internal::upstreamPath(*pool, request),
        .body_ = request.body_.text(),
        .contentType_ = headerValue(request, "content-type"),
        .idempotencyKey_ = headerValue(request, "idempotency-key"),
        .idempotent_ = idempotent,
        .fingerprint_ = fingerprintOf(account.name_, requestClass->name_, request.path_ + request.body_.text()),
        .costEstimate_ = requestClass->costEstimate_,
        .maximumWait_ = requestClass->maximumWait_,
        .callerDisconnected_ = request.callerDisconnected_};
    if (!idempotent && routed.idempotencyKey_.empty()) {
        return badRequest(requestId,
            Failure {
                .step_ = "classify", .reason_ = "this call is non-idempotent and needs an Idempotency-Key header"});
    }
    if (const auto rejection = requestLimits_->admit(routed.account_, routed.costEstimate_)) {
        countOutcome(requestClass->name_, "over_limit");
        return errorResponse(429, requestId, *rejection);
    }
    return idempotent ? executeIdempotent(routed) : executeNonIdempotent(routed);
}

auto HttpFrontend::executeIdempotent(const RoutedRequest &request) -> http::Response
{
    const auto execution = makeExecution(request);
    auto body = std::string();
    while (true) {
        const auto event = execution->nextEvent();
        if (const auto *chunk = std::get_if<ResponseChunk>(&event)) {
            body += chunk->text_;
        } else if (const auto *failed = std::get_if<ResponseFailed>(&event)) {
            countOutcome(request.requestClass_, std::string(toString(failed->failure_.runState_)));
            return errorResponse(internal::httpStatusFor(failed->failure_), request.requestId_, failed->failure_);
        } else {
            const auto &completed = std::get<ResponseCompleted>(event);
            countOutcome(request.requestClass_, "ok");
            return internal::passThroughResponse(request.requestId_, completed.status_, completed.contentType_, body);
        }
    }
}

auto HttpFrontend::executeNonIdempotent(const RoutedRequest &request) -> http::Response
{
    auto execution = ClaimedExecution(ClaimedExecutionServices {.environment_ = environment_,
                                          .upstreams_ = upstreams_,
                                          .requestLimits_ = requestLimits_,
                                          .claimStore_ = claimStore_},
        request);
    const auto result = execution.execute();
    return std::visit(Overloaded {[&](const claims::StoredResponse &response) -> http::Response {
                                      countOutcome(request.requestClass_, "ok");
                                      return internal::passThroughResponse(
                                          request.requestId_, response.status_, response.contentType_, response.body_);
                                  },
                          [&](const ResponseFailed &failed) -> http::Response {
                              countOutcome(request.requestClass_, std::string(toString(failed.failure_.runState_)));
                              return errorResponse(
                                  internal::httpStatusFor(failed.failure_), request.requestId_, failed.failure_);
                          }},
        result);
}

auto HttpFrontend::recordUnserved(const http::UnservedRequest &request) const -> void
{
    const auto reason = std::string(http::toString(request.reason_));
    environment_->metrics()
        .counter("jasminewood_unserved_total", "Requests without a complete response of this process",
            {{"reason", reason}, {"read", request.requestRead_ ? "whole" : "partly"}})
        .add();
    environment_->log().info("connection ended without a complete response",
        {{"reason", reason}, {"target", request.target_}, {"request_read", request.requestRead_},
            {"response_begun", request.responseBegun_}, {"detail", request.detail_}});
}

auto HttpFrontend::countOutcome(const std::string &requestClass, const std::string &outcome) const -> void
{
    environment_->metrics()
        .counter("jasminewood_requests_total", "Requests by class and outcome",
            {{"class", requestClass}, {"outcome", outcome}})
        .add();
}

} // namespace jasminewood::router
