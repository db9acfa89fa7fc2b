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

auto headers() -> std::vector<http::HeaderField>
{
    return {{.name_ = "Authorization", .value_ = std::string("Bearer ") + operatorsKey}};
}

auto fetchObject(const std::string &url) -> json
{
    const auto answer = http::fetch({.url_ = url, .headers_ = headers()});
    auto object = answer ? json::parse(answer->body_, nullptr, false) : json();
    return object.is_object() ? object : json::object();
}

} // namespace

auto succeeded(const std::string &step, const std::string &peer, const Result<http::ClientResponse> &answer) -> Status
{
    if (!answer) {
        return answer.failure();
    }
    if (answer->status_ != 200) {
        return Failure {.step_ = step,
            .peer_ = peer,
            .reason_ = fmt::format("status {}: {}", answer->status_, answer->body_),
            .runState_ = RunState::MayHaveRun};
    }
    return std::nullopt;
}

auto submitManifest(const std::string &adminUrl, const std::string &manifest, const std::string &submission) -> Status
{
    const auto revision = fetchObject(adminUrl + "/admin/manifest").value("revision", std::uint64_t(0));
    const auto answer = http::fetch({.method_ = "PUT",
        .url_ = fmt::format("{}/admin/manifest?submission={}&base={}", adminUrl, submission, revision),
        .headers_ = headers(),
        .body_ = manifest});
    return succeeded("submit", adminUrl, answer);
}

auto isReady(const std::string &adminUrl) -> bool
{
    const auto answer = http::fetch({.url_ = adminUrl + "/readyz"});
    return answer && answer->status_ == 200;
}

auto liveUpstreams(const std::string &adminUrl) -> std::size_t
{
    auto live = std::size_t(0);
    const auto listed = fetchObject(adminUrl + "/admin/upstreams");
    for (const auto &upstream : listed.value("upstreams", json::array())) {
        live += upstream.value("state", "") == "live" ? 1 : 0;
    }
    return live;
}

} // namespace jasminewood::testbench::internal
