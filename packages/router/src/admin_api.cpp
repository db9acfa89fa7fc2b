#include "jasminewood/router/admin_api.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

#include "jasminewood/core/overloaded.h"
#include "jasminewood/manifest/check.h"
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

auto faultsJson(const std::vector<manifest::ConfigError> &faults) -> Json
{
    auto list = Json::array();
    for (const auto &fault : faults) {
        list.push_back(Json {{"line", fault.line_}, {"section", fault.section_}, {"key", fault.key_},
            {"expected", fault.expected_}, {"found", fault.found_}});
    }
    return list;
}

// Returns 0 for a missing parameter, and a failure unless the whole text is a number.
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

// The reason why the process is not ready, with the failure behind it if there is one.
auto notReady(const std::string &reason, const Status &failure) -> http::BufferedResponse
{
    const auto cause = failure ? ": " + failure->step_ + " at " + failure->peer_ + ": " + failure->reason_ : "";
    return errorResponse(503, reason + cause);
}

// The methods of a path of the API; empty if there is no such path.
auto methodsOf(std::string_view path) -> std::string
{
    if (path == "/admin/manifest") {
        return "GET, PUT";
    }
    if (path == "/admin/manifest/check" || (path.starts_with(upstreamsPath) && path.ends_with(drainSuffix))) {
        return "POST";
    }
    const auto reads = path == "/admin/upstreams" || path == "/admin/timeline" || path.starts_with(submissionsPath);
    return reads ? "GET" : "";
}

auto unknownCall(const std::string &path) -> http::BufferedResponse
{
    const auto allowed = methodsOf(path);
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
                    Json {{"outcome", "conflict"}, {"winner", conflict.acceptedSubmission_},
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

auto viewJson(const UpstreamStatus &view) -> Json
{
    return Json {{"name", view.member_.node_.name_}, {"incarnation", view.member_.node_.incarnation_},
        {"address", view.member_.address_}, {"pool", view.member_.pool_}, {"data_centre", view.member_.dataCentre_},
        {"state", membership::toString(view.member_.state_)}, {"running", view.loadReport_.running_},
        {"free_slots", view.loadReport_.freeSlots_}, {"queued_by_tier", view.loadReport_.queuedByTier_},
        {"outstanding", view.outstandingAttempts_}, {"slowness", view.slowness_}};
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
    if (const auto failure = services.require("manifest", manifests_)) {
        return failure;
    }
    if (const auto failure = services.require("platform", platform_)) {
        return failure;
    }
    if (const auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (const auto failure = services.require("timelines", timelines_)) {
        return failure;
    }
    const auto server
        = http::Server::start(http::ServerOptions {.address_ = options_.address_, .port_ = options_.port_},
            [this](const http::Request &request) -> http::Response {
                return handle(request);
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

auto AdminApi::handle(const http::Request &request) -> http::BufferedResponse
{
    if (request.path_ == "/healthz") {
        return http::BufferedResponse {.body_ = "alive\n"};
    }
    if (request.path_ == "/readyz") {
        return readiness();
    }
    if (request.path_ == "/metrics") {
        environment_->metrics()
            .gauge("jasminewood_key_value_calls", "Calls to the key-value service since the start")
            .set(static_cast<double>(platform_->keyValueCalls()));
        return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; version=0.0.4"}},
            .body_ = environment_->metrics().text()};
    }
    const auto authorization = request.headers_.find("authorization");
    const auto presented = authorization == request.headers_.end() ? std::string_view() : authorization->second;
    if (!presented.starts_with(bearerPrefix)
        || sha256Hex(presented.substr(bearerPrefix.size())) != options_.keySha256_) {
        return errorResponse(401, "the operators' bearer key is required");
    }
    return administer(request);
}

auto AdminApi::administer(const http::Request &request) -> http::BufferedResponse
{
    const auto path = std::string_view(request.path_);
    const auto reads = request.method_ == "GET";
    if (path == "/admin/manifest" && reads) {
        return showManifest();
    }
    if (path == "/admin/manifest" && request.method_ == "PUT") {
        return submitManifest(request);
    }
    if (path == "/admin/manifest/check" && request.method_ == "POST") {
        const auto checked = manifest::check(request.body_, "manifest");
        const auto *faults = std::get_if<std::vector<manifest::ConfigError>>(&checked);
        return faults == nullptr ? jsonResponse(200, Json {{"faults", Json::array()}})
                                 : jsonResponse(422, Json {{"faults", faultsJson(*faults)}});
    }
    if (path.starts_with(submissionsPath) && reads) {
        return submission(std::string(path.substr(submissionsPath.size())));
    }
    if (path == "/admin/upstreams" && reads) {
        return upstreams();
    }
    if (path.starts_with(upstreamsPath) && path.ends_with(drainSuffix) && request.method_ == "POST") {
        const auto name = path.substr(upstreamsPath.size(), path.size() - upstreamsPath.size() - drainSuffix.size());
        return drain(std::string(name));
    }
    if (path == "/admin/timeline" && reads) {
        return timeline(request);
    }
    return unknownCall(request.path_);
}

auto AdminApi::readiness() const -> http::BufferedResponse
{
    if (stopping_) {
        return errorResponse(503, "stopping");
    }
    if (!manifests_->current()) {
        return notReady("no manifest yet", platform_->keyValueFailure());
    }
    const auto views = upstreams_->statuses();
    const auto anyLive = std::any_of(views.begin(), views.end(), [](const UpstreamStatus &view) -> bool {
        return view.member_.state_ == membership::MemberState::Live;
    });
    return anyLive ? http::BufferedResponse {.body_ = "ready\n"}
                   : notReady("no upstream is connected", platform_->vmListFailure());
}

auto AdminApi::showManifest() const -> http::BufferedResponse
{
    const auto manifest = manifests_->current();
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
    const auto checked = manifest::check(request.body_, "manifest");
    if (const auto *faults = std::get_if<std::vector<manifest::ConfigError>>(&checked)) {
        return jsonResponse(422, Json {{"outcome", "refused"}, {"faults", faultsJson(*faults)}});
    }
    const auto outcome = platform_->submit(
        manifest::SubmissionRequest {.id_ = submission, .baseRevision_ = *base, .text_ = request.body_});
    return outcomeResponse(outcome, submission);
}

auto AdminApi::submission(const std::string &id) -> http::BufferedResponse
{
    const auto result = platform_->submissionStatus(id);
    if (const auto *found = std::get_if<manifest::RecordFound>(&result)) {
        return jsonResponse(200, Json {{"outcome", "accepted"}, {"revision", found->revision_}, {"submission", id}});
    }
    if (const auto *absent = std::get_if<manifest::RecordAbsent>(&result)) {
        return jsonResponse(404,
            Json {{"outcome", "no record"}, {"submission", id}, {"current_revision", absent->currentRevision_},
                {"current_submission", absent->currentSubmission_}});
    }
    return jsonResponse(202, Json {{"outcome", "unknown"}, {"submission", id}});
}

auto AdminApi::upstreams() const -> http::BufferedResponse
{
    auto list = Json::array();
    for (const auto &view : upstreams_->statuses()) {
        list.push_back(viewJson(view));
    }
    return jsonResponse(200, Json {{"upstreams", list}});
}

auto AdminApi::drain(const std::string &name) -> http::BufferedResponse
{
    for (const auto &view : upstreams_->statuses()) {
        if (view.member_.node_.name_ != name) {
            continue;
        }
        const auto failure = upstreams_->send(view.member_.node_, wire::Drain {});
        return failure ? errorResponse(503, toString(*failure)) : jsonResponse(202, Json {{"draining", name}});
    }
    return errorResponse(404, "no upstream has this name");
}

auto AdminApi::timeline(const http::Request &request) -> http::BufferedResponse
{
    constexpr auto microsPerMilli = std::uint64_t(1000);
    const auto from = unsignedParameter(request, "from_ms");
    const auto to = unsignedParameter(request, "to_ms");
    if (!from || !to) {
        return errorResponse(400, (from ? to : from).failure().reason_);
    }
    if (textParameter(request, "request").empty() && *to <= *from) {
        return errorResponse(400, "the parameter request, or from_ms before to_ms, is required");
    }
    const auto events = timelines_->collect(TimelineSelection {.requestId_ = textParameter(request, "request"),
        .fromMicros_ = *from * microsPerMilli,
        .toMicros_ = *to * microsPerMilli});
    if (textParameter(request, "format") == "html") {
        return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/html; charset=utf-8"}},
            .body_ = observe::htmlPage(events, "Time line " + textParameter(request, "request"))};
    }
    return http::BufferedResponse {.headers_ = {{.name_ = "Content-Type", .value_ = "text/plain; charset=utf-8"}},
        .body_ = observe::textTable(events)};
}

} // namespace jasminewood::router
