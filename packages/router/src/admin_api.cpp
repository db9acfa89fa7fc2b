#include "jasminewood/router/admin_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/manifest/parse_manifest.h"
#include "jasminewood/observe/timeline_page.h"
#include "jasminewood/router/sha256.h"

namespace jasminewood::router
{

namespace
{

using Json = nlohmann::json;

constexpr auto bearerPrefix = std::string_view("Bearer ");
constexpr auto submissionsPath = std::string_view("/admin/submissions/");
constexpr auto upstreamsPath = std::string_view("/admin/upstreams/");
constexpr auto drainSuffix = std::string_view("/drain");

auto jsonResponse(int status, const Json &json) -> http::BufferedResponse
{
    return http::BufferedResponse {.status_ = status,
        .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}},
        .body_ = json.dump(2) + "\n"};
}

auto errorResponse(int status, const std::string &reason) -> http::BufferedResponse
{
    return jsonResponse(status, Json {{"error", reason}});
}

auto errorsJson(const std::vector<manifest::ConfigError> &errors) -> Json
{
    auto list = Json::array();
    for (const auto &configError : errors) {
        list.push_back(Json {{"line", configError.line_}, {"section", configError.section_}, {"key", configError.key_},
            {"expected", configError.expected_}, {"found", configError.found_}});
    }
    return list;
}

// Returns 0 if the parameter is missing. Fails unless its whole text is a number.
auto unsignedParameter(const http::Request &request, const std::string &name) -> Result<std::uint64_t>
{
    const auto found = request.parameters_.find(name);
    auto value = std::uint64_t(0);
    if (found == request.parameters_.end()) {
        return value;
    }
    const auto *end = found->second.data() + found->second.size();
    const auto read = std::from_chars(found->second.data(), end, value);
    if (read.ec != std::errc() || read.ptr != end) {
        return Failure {.step_ = "administer", .reason_ = "the parameter " + name + " is not a number"};
    }
    return value;
}

auto textParameter(const http::Request &request, const std::string &name) -> std::string
{
    const auto found = request.parameters_.find(name);
    return found == request.parameters_.end() ? std::string() : found->second;
}

// Returns the reason why the process is not ready, with the underlying failure if there is one.
auto notReadyResponse(const std::string &reason, const Status &failure) -> http::BufferedResponse
{
    const auto cause = failure ? ": " + failure->step_ + " at " + failure->peer_ + ": " + failure->reason_ : "";
    return errorResponse(503, reason + cause);
}

// Returns the methods that a path of the API supports; empty if the path does not exist.
auto allowedMethods(std::string_view path) -> std::string
{
    if (path == "/admin/manifest") {
        return "GET, PUT";
    }
    if (path == "/admin/manifest/check" || (path.starts_with(upstreamsPath) && path.ends_with(drainSuffix))) {
        return "POST";
    }
    const auto isReadOnly
        = path == "/admin/upstreams" || path == "/admin/timeline" || path.starts_with(submissionsPath);
    return isReadOnly ? "GET" : "";
}

auto unknownCallResponse(const std::string &path) -> http::BufferedResponse
{
    const auto allowed = allowedMethods(path);
    if (allowed.empty()) {
        return errorResponse(404, "the administration API has no such call");
    }
    return http::BufferedResponse {.status_ = 405,
        .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}, {.name_ = "Allow", .value_ = allowed}},
        .body_ = Json {{"error", "this call needs the method " + allowed}}.dump(2) + "\n"};
}

auto outcomeResponse(const manifest::Action &outcome, const std::string &submission) -> http::BufferedResponse
{
    return std::visit(
        Overloaded {
            [&](const manifest::Accepted &accepted) -> http::BufferedResponse {
                return jsonResponse(
                    200, Json {{"outcome", "accepted"}, {"revision", accepted.revision_}, {"submission", submission}});
            },
            [&](const manifest::Conflict &conflict) -> http::BufferedResponse {
                return jsonResponse(409,
                    Json {{"outcome", "conflict"}, {"winner", conflict.acceptedSubmissionId_},
                        {"revision", conflict.revision_}, {"submission", submission}});
            },
            [&](const manifest::OutcomeUnknown &unknown) -> http::BufferedResponse {
                return jsonResponse(
                    202, Json {{"outcome", "unknown"}, {"reason", unknown.reason_}, {"submission", submission}});
            },
            [&](const auto & /*call*/) -> http::BufferedResponse {
                return errorResponse(500, "the submission has no outcome");
            }},
        outcome);
}

auto statusJson(const UpstreamStatus &status) -> Json
{
    return Json {{"name", status.member_.node_.name_}, {"incarnation", status.member_.node_.incarnation_},
        {"address", status.member_.address_}, {"pool", status.member_.pool_},
        {"data_centre", status.member_.dataCentre_}, {"state", membership::toString(status.member_.state_)},
        {"running", status.loadReport_.running_}, {"free_slots", status.loadReport_.freeSlots_},
        {"queued_by_tier", status.loadReport_.queuedByTier_}, {"outstanding", status.openAttemptCount_},
        {"slowness", status.slowness_}};
}

} // namespace

AdminApi::AdminApi(AdminOptions options)
    : options_(std::move(options))
{
}

auto AdminApi::start(const kernel::ServiceRegistry &services) -> Status
{
    if (const auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (const auto failure = services.require("manifest", manifestStore_)) {
        return failure;
    }
    if (const auto failure = services.require("platform", platformSync_)) {
        return failure;
    }
    if (const auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (const auto failure = services.require("timelines", timelineCollector_)) {
        return failure;
    }
    const auto server
        = http::Server::start(http::ServerOptions {.address_ = options_.address_, .port_ = options_.port_},
            [this](const http::Request &request) -> http::Response {
                return handleRequest(request);
            });
    if (!server) {
        return server.failure();
    }
    server_ = *server;
    environment_->log().info("listening for operators", {{"port", std::int64_t(server_->port())}});
    return std::nullopt;
}

auto AdminApi::stop() -> void
{
    if (server_) {
        server_->stop();
    }
}

auto AdminApi::markNotReady() -> void
{
    stopping_ = true;
}

auto AdminApi::port() const -> std::uint16_t
{
    return server_->port();
}

auto AdminApi::handleRequest(const http::Request &request) -> http::BufferedResponse
{
    if (request.path_ == "/healthz") {
        return http::BufferedResponse {.body_ = "alive\n"};
    }
    if (request.path_ == "/readyz") {
        return readinessResponse();
    }
    if (request.path_ == "/metrics") {
        environment_->metrics()
            .gauge("jasminewood_key_value_calls", "Calls to the key-value service since the start")
            .set(static_cast<double>(platformSync_->keyValueCalls()));
        return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; version=0.0.4"}},
            .body_ = environment_->metrics().text()};
    }
    const auto authorization = request.headers_.find("authorization");
    const auto credentials = authorization == request.headers_.end() ? std::string_view() : authorization->second;
    if (!credentials.starts_with(bearerPrefix)
        || sha256Hex(credentials.substr(bearerPrefix.size())) != options_.keySha256_) {
        return errorResponse(401, "the operators' bearer key is required");
    }
    return handleAdminCall(request);
}

auto AdminApi::handleAdminCall(const http::Request &request) -> http::BufferedResponse
{
    const auto path = std::string_view(request.path_);
    const auto isGet = request.method_ == "GET";
    if (path == "/admin/manifest" && isGet) {
        return getManifest();
    }
    if (path == "/admin/manifest" && request.method_ == "PUT") {
        return submitManifest(request);
    }
    if (path == "/admin/manifest/check" && request.method_ == "POST") {
        const auto parsed = manifest::parseManifest(request.body_.text(), "manifest");
        const auto *errors = std::get_if<std::vector<manifest::ConfigError>>(&parsed);
        return errors == nullptr ? jsonResponse(200, Json {{"faults", Json::array()}})
                                 : jsonResponse(422, Json {{"faults", errorsJson(*errors)}});
    }
    if (path.starts_with(submissionsPath) && isGet) {
        return getSubmission(std::string(path.substr(submissionsPath.size())));
    }
    if (path == "/admin/upstreams" && isGet) {
        return listUpstreams();
    }
    if (path.starts_with(upstreamsPath) && path.ends_with(drainSuffix) && request.method_ == "POST") {
        const auto name = path.substr(upstreamsPath.size(), path.size() - upstreamsPath.size() - drainSuffix.size());
        return drainUpstream(std::string(name));
    }
    if (path == "/admin/timeline" && isGet) {
        return getTimeline(request);
    }
    return unknownCallResponse(request.path_);
}

auto AdminApi::readinessResponse() const -> http::BufferedResponse
{
    if (stopping_) {
        return errorResponse(503, "stopping");
    }
    if (!manifestStore_->current()) {
        return notReadyResponse("no manifest yet", platformSync_->keyValueFailure());
    }
    const auto statuses = upstreams_->statuses();
    const auto anyLive = std::any_of(statuses.begin(), statuses.end(), [](const UpstreamStatus &status) -> bool {
        return status.member_.state_ == membership::MemberState::Live;
    });
    return anyLive ? http::BufferedResponse {.body_ = "ready\n"}
                   : notReadyResponse("no upstream is connected", platformSync_->vmListFailure());
}

auto AdminApi::getManifest() const -> http::BufferedResponse
{
    const auto manifest = manifestStore_->current();
    if (!manifest) {
        return errorResponse(404, "no manifest yet");
    }
    return jsonResponse(200, Json {{"revision", manifest->revision_}, {"text", manifest->text_}});
}

auto AdminApi::submitManifest(const http::Request &request) -> http::BufferedResponse
{
    const auto submission = textParameter(request, "submission");
    if (submission.empty()) {
        return errorResponse(400, "the parameter submission (a unique id) is required");
    }
    const auto base = unsignedParameter(request, "base");
    if (!base) {
        return errorResponse(400, base.failure().reason_);
    }
    const auto parsed = manifest::parseManifest(request.body_.text(), "manifest");
    if (const auto *errors = std::get_if<std::vector<manifest::ConfigError>>(&parsed)) {
        return jsonResponse(422, Json {{"outcome", "refused"}, {"faults", errorsJson(*errors)}});
    }
    const auto outcome = platformSync_->submit(
        manifest::SubmissionRequest {.id_ = submission, .baseRevision_ = *base, .text_ = request.body_.text()});
    return outcomeResponse(outcome, submission);
}

auto AdminApi::getSubmission(const std::string &id) -> http::BufferedResponse
{
    const auto result = platformSync_->submissionStatus(id);
    if (const auto *record = std::get_if<manifest::RecordFound>(&result)) {
        return jsonResponse(200, Json {{"outcome", "accepted"}, {"revision", record->revision_}, {"submission", id}});
    }
    if (const auto *absent = std::get_if<manifest::RecordAbsent>(&result)) {
        return jsonResponse(404,
            Json {{"outcome", "no record"}, {"submission", id}, {"current_revision", absent->currentRevision_},
                {"current_submission", absent->currentSubmissionId_}});
    }
    return jsonResponse(202, Json {{"outcome", "unknown"}, {"submission", id}});
}

auto AdminApi::listUpstreams() const -> http::BufferedResponse
{
    auto list = Json::array();
    for (const auto &status : upstreams_->statuses()) {
        list.push_back(statusJson(status));
    }
    return jsonResponse(200, Json {{"upstreams", list}});
}

auto AdminApi::drainUpstream(const std::string &name) -> http::BufferedResponse
{
    for (const auto &status : upstreams_->statuses()) {
        if (status.member_.node_.name_ != name) {
            continue;
        }
        const auto failure = upstreams_->send(status.member_.node_, wire::Drain {});
        return failure ? errorResponse(503, toString(*failure)) : jsonResponse(202, Json {{"draining", name}});
    }
    return errorResponse(404, "no upstream has this name");
}

auto AdminApi::getTimeline(const http::Request &request) -> http::BufferedResponse
{
    constexpr auto microsPerMilli = std::uint64_t(1000);
    const auto fromMillis = unsignedParameter(request, "from_ms");
    const auto toMillis = unsignedParameter(request, "to_ms");
    if (!fromMillis || !toMillis) {
        return errorResponse(400, (fromMillis ? toMillis : fromMillis).failure().reason_);
    }
    if (textParameter(request, "request").empty() && *toMillis <= *fromMillis) {
        return errorResponse(400, "the parameter request, or from_ms before to_ms, is required");
    }
    const auto events = timelineCollector_->collect(TimelineSelection {.requestId_ = textParameter(request, "request"),
        .fromMicros_ = *fromMillis * microsPerMilli,
        .toMicros_ = *toMillis * microsPerMilli});
    if (textParameter(request, "format") == "html") {
        return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/html; charset=utf-8"}},
            .body_ = observe::htmlPage(events, "Time line " + textParameter(request, "request"))};
    }
    return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; charset=utf-8"}},
        .body_ = observe::textTable(events)};
}

} // namespace jasminewood::router
