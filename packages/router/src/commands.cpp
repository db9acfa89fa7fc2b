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

constexpr int statusDone = 0;
constexpr int statusRefused = 1;
constexpr int statusUsage = 2;

auto usage(const std::string &text) -> int
{
    fmt::print(stderr, "usage: jasminewood-router {}\n", text);
    return statusUsage;
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

auto call(const AdminEndpoint &target, const std::string &method, const std::string &path, const std::string &body = {})
    -> Result<http::ClientResponse>
{
    return http::fetch(http::ClientRequest {.method_ = method,
        .url_ = target.url_ + path,
        .headers_ = {{.name_ = "Authorization", .value_ = "Bearer " + target.bearerKey_}},
        .body_ = body});
}

auto print(const Result<http::ClientResponse> &response) -> int
{
    if (!response) {
        fmt::print(stderr, "{}\n", toString(response.failure()));
        return statusRefused;
    }
    fmt::print("{}", response->body_);
    return response->status_ < 300 && response->status_ != 202 ? statusDone : statusRefused;
}

auto newSubmissionId() -> std::string
{
    auto device = std::random_device();
    return fmt::format(
        "{:x}-{:08x}{:08x}", std::chrono::system_clock::now().time_since_epoch().count(), device(), device());
}

auto presentRevision(const AdminEndpoint &target) -> std::string
{
    const auto shown = call(target, "GET", "/admin/manifest");
    const auto json = shown ? Json::parse(shown->body_, nullptr, false) : Json();
    return json.is_object() && json.contains("revision") ? json["revision"].dump() : "0";
}

auto submit(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return usage("submit FILE [BASE_REVISION] [SUBMISSION_ID]");
    }
    const auto text = readFile(arguments[0]);
    if (!text) {
        return statusUsage;
    }
    const auto base = arguments.size() > 1 ? arguments[1] : presentRevision(target);
    const auto id = arguments.size() > 2 ? arguments[2] : newSubmissionId();
    return print(call(target, "PUT", fmt::format("/admin/manifest?base={}&submission={}", base, id), *text));
}

auto show(const Arguments & /*arguments*/, const AdminEndpoint &target) -> int
{
    const auto shown = call(target, "GET", "/admin/manifest");
    const auto json = shown ? Json::parse(shown->body_, nullptr, false) : Json();
    if (!json.is_object() || !json.contains("text")) {
        return print(shown);
    }
    fmt::print("# revision {}\n{}", json["revision"].dump(), json["text"].get<std::string>());
    return statusDone;
}

auto check(const Arguments &arguments, const AdminEndpoint & /*target*/) -> int
{
    if (arguments.empty()) {
        return usage("check FILE");
    }
    const auto text = readFile(arguments[0]);
    if (!text) {
        return statusUsage;
    }
    const auto checked = manifest::check(*text, arguments[0]);
    if (const auto *faults = std::get_if<std::vector<manifest::ConfigError>>(&checked)) {
        for (const auto &fault : *faults) {
            fmt::print(stderr, "{}\n", ini::toString(fault));
        }
        return statusRefused;
    }
    fmt::print("{}: no faults\n", arguments[0]);
    return statusDone;
}

auto upstreams(const Arguments & /*arguments*/, const AdminEndpoint &target) -> int
{
    return print(call(target, "GET", "/admin/upstreams"));
}

auto drain(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return usage("drain UPSTREAM");
    }
    const auto response = call(target, "POST", fmt::format("/admin/upstreams/{}/drain", arguments[0]));
    print(response);
    return response && response->status_ == 202 ? statusDone : statusRefused;
}

auto timeline(const Arguments &arguments, const AdminEndpoint &target) -> int
{
    if (arguments.empty()) {
        return usage("timeline REQUEST_ID [html] | timeline FROM_MS TO_MS [html]");
    }
    const auto html = arguments.back() == "html" ? "&format=html" : "";
    const auto span = arguments.size() > 1 && arguments[1] != "html";
    const auto query = span ? fmt::format("from_ms={}&to_ms={}", arguments[0], arguments[1])
                            : fmt::format("request={}", arguments[0]);
    return print(call(target, "GET", fmt::format("/admin/timeline?{}{}", query, html)));
}

auto commands() -> const std::map<std::string, Command> &
{
    static const auto known = std::map<std::string, Command> {{"submit", submit}, {"show", show}, {"check", check},
        {"upstreams", upstreams}, {"drain", drain}, {"timeline", timeline}};
    return known;
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
