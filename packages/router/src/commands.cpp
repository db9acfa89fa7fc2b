#include "jasminewood/router/commands.h"

#include <chrono>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <random>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/http/client.h"
#include "jasminewood/manifest/check.h"

namespace jasminewood::router
{

namespace
{

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;
using Command = std::function<auto(const Arguments &, const AdminEndpoint &)->int>;

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsageError = 2;

auto printUsage(const std::string &text) -> int
{
    fmt::print(stderr, "usage: jasminewood-router {}\n", text);
    return exitUsageError;
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    auto file = std::ifstream(path);
    if (!file) {
        fmt::print(stderr, "{}: the file cannot be read\n", path);
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

auto callAdminApi(const AdminEndpoint &target, const std::string &method, const std::string &path,
    const std::string &body = {}) -> Result<http::ClientResponse>
{
    return http::fetch(http::ClientRequest {.method_ = method,
        .url_ = target.url_ + path,
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + target.bearerKey_}},
        .body_ = body});
}

auto printResponse(const Result<http::ClientResponse> &response) -> int
{
    if (!response) {
        fmt::print(stderr, "{}\n", toString(response.failure()));
        return exitFailure;
    }
    fmt::print("{}", response->body_);
    return response->status_ < 300 && response->status_ != 202 ? exitSuccess : exitFailure;
}

auto newSubmissionId() -> std::string
{
    auto device = std::random_device();
    return fmt::format(
        "{:x}-{:08x}{:08x}", std::chrono::system_clock::now().time_since_epoch().count(), device(), device());
}

auto currentRevision(const AdminEndpoint &target) -> std::string
{
    const auto response = callAdminApi(target, "GET", "/admin/manifest");
    const auto json = response ? Json::parse(response->body_, nullptr, false) : Json();
    return json.is_object() && json.contains("revision") ? json["revision"].dump() : "0";
}

auto submitManifest(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return printUsage("submit FILE [BASE_REVISION] [SUBMISSION_ID]");
    }
    const auto text = readFile(arguments[0]);
    if (!text) {
        return exitUsageError;
    }
    const auto base = arguments.size() > 1 ? arguments[1] : currentRevision(target);
    const auto id = arguments.size() > 2 ? arguments[2] : newSubmissionId();
    return printResponse(
        callAdminApi(target, "PUT", fmt::format("/admin/manifest?base={}&submission={}", base, id), *text));
}

auto showManifest(const Arguments & /*arguments*/, const AdminEndpoint &target) -> int
{
    const auto response = callAdminApi(target, "GET", "/admin/manifest");
    const auto json = response ? Json::parse(response->body_, nullptr, false) : Json();
    if (!json.is_object() || !json.contains("text")) {
        return printResponse(response);
    }
    fmt::print("# revision {}\n{}", json["revision"].dump(), json["text"].get<std::string>());
    return exitSuccess;
}

auto checkManifest(const Arguments &arguments, const AdminEndpoint & /*target*/) -> int
{
    if (arguments.empty()) {
        return printUsage("check FILE");
    }
    const auto text = readFile(arguments[0]);
    if (!text) {
        return exitUsageError;
    }
    const auto checked = manifest::check(*text, arguments[0]);
    if (const auto *errors = std::get_if<std::vector<manifest::ConfigError>>(&checked)) {
        for (const auto &configError : *errors) {
            fmt::print(stderr, "{}\n", ini::toString(configError));
        }
        return exitFailure;
    }
    fmt::print("{}: no faults\n", arguments[0]);
    return exitSuccess;
}

auto listUpstreams(const Arguments & /*arguments*/, const AdminEndpoint &target) -> int
{
    return printResponse(callAdminApi(target, "GET", "/admin/upstreams"));
}

auto drainUpstream(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return printUsage("drain UPSTREAM");
    }
    const auto response = callAdminApi(target, "POST", fmt::format("/admin/upstreams/{}/drain", arguments[0]));
    printResponse(response);
    return response && response->status_ == 202 ? exitSuccess : exitFailure;
}

auto showTimeline(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return printUsage("timeline REQUEST_ID [html] | timeline FROM_MS TO_MS [html]");
    }
    const auto formatParameter = arguments.back() == "html" ? "&format=html" : "";
    const auto isTimeSpan = arguments.size() > 1 && arguments[1] != "html";
    const auto query = isTimeSpan ? fmt::format("from_ms={}&to_ms={}", arguments[0], arguments[1])
                                  : fmt::format("request={}", arguments[0]);
    return printResponse(callAdminApi(target, "GET", fmt::format("/admin/timeline?{}{}", query, formatParameter)));
}

auto commands() -> const std::map<std::string, Command> &
{
    static const auto byName = std::map<std::string, Command> {{"submit", submitManifest}, {"show", showManifest},
        {"check", checkManifest}, {"upstreams", listUpstreams}, {"drain", drainUpstream}, {"timeline", showTimeline}};
    return byName;
}

} // namespace

auto isCommand(const std::string &name) -> bool
{
    return commands().count(name) > 0;
}

auto runCommand(const std::string &name, const std::vector<std::string> &arguments, const AdminEndpoint &target) -> int
{
    return commands().at(name)(arguments, target);
}

} // namespace jasminewood::router
