#include "operator_client.h"

#include <cstdint>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jasminewood::testbench::internal
{

namespace
{

using nlohmann::json;

auto authorizationHeaders() -> std::vector<http::HeaderField>
{
    return {{.name_ = "Authorization", .value_ = std::string("Bearer ") + operatorKey}};
}

auto fetchJsonObject(const std::string &url) -> json
{
    const auto response = http::fetch({.url_ = url, .headers_ = authorizationHeaders()});
    auto object = response ? json::parse(response->body_, nullptr, false) : json();
    return object.is_object() ? object : json::object();
}

} // namespace

auto requireOk(const std::string &step, const std::string &peer, const Result<http::ClientResponse> &response) -> Status
{
    if (!response) {
        return response.failure();
    }
    if (response->status_ != 200) {
        return Failure {.step_ = step,
            .peer_ = peer,
            .reason_ = fmt::format("status {}: {}", response->status_, response->body_),
            .runState_ = RunState::MayHaveRun};
    }
    return std::nullopt;
}

auto submitManifest(const std::string &adminUrl, const std::string &manifest, const std::string &submission) -> Status
{
    const auto revision = fetchJsonObject(adminUrl + "/admin/manifest").value("revision", std::uint64_t(0));
    const auto response = http::fetch({.method_ = "PUT",
        .url_ = fmt::format("{}/admin/manifest?submission={}&base={}", adminUrl, submission, revision),
        .headers_ = authorizationHeaders(),
        .body_ = manifest});
    return requireOk("submit", adminUrl, response);
}

auto isReady(const std::string &adminUrl) -> bool
{
    const auto response = http::fetch({.url_ = adminUrl + "/readyz"});
    return response && response->status_ == 200;
}

auto liveUpstreams(const std::string &adminUrl) -> std::size_t
{
    auto live = std::size_t(0);
    const auto listed = fetchJsonObject(adminUrl + "/admin/upstreams");
    for (const auto &upstream : listed.value("upstreams", json::array())) {
        live += upstream.value("state", "") == "live" ? 1 : 0;
    }
    return live;
}

} // namespace jasminewood::testbench::internal
