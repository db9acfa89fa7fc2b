#include "claim_codec.h"

#include <nlohmann/json.hpp>

#include "jasminewood/jsontext/parse.h"
#include "jasminewood/platform/base64.h"

namespace jasminewood::router::internal
{

namespace
{

using Json = nlohmann::json;

auto nodeToJson(const NodeId &node) -> Json
{
    return Json {{"name", node.name_}, {"incarnation", node.incarnation_}};
}

auto nodeFromJson(const Json &json) -> NodeId
{
    return NodeId {
        .name_ = json.at("name").get<std::string>(), .incarnation_ = json.at("incarnation").get<std::uint64_t>()};
}

auto stateFromString(const std::string &name) -> claims::ClaimState
{
    if (name == claims::toString(claims::ClaimState::Completed)) {
        return claims::ClaimState::Completed;
    }
    if (name == claims::toString(claims::ClaimState::Released)) {
        return claims::ClaimState::Released;
    }
    // An unknown state is treated as Claimed, the state with the fewest permitted actions.
    return claims::ClaimState::Claimed;
}

auto responseFromJson(const Json &json) -> std::optional<claims::StoredResponse>
{
    if (!json.contains("answer")) {
        return std::nullopt;
    }
    const auto &response = json.at("answer");
    return claims::StoredResponse {.status_ = response.at("status").get<std::uint16_t>(),
        .contentType_ = response.at("content_type").get<std::string>(),
        .body_ = platform::decodeBase64(response.at("body").get<std::string>()).value_or(std::string())};
}

} // namespace

auto encodeClaim(const claims::ClaimRecord &record) -> std::string
{
    auto json = Json {{"request", record.attempt_.requestId_}, {"attempt", record.attempt_.number_},
        {"router", nodeToJson(record.router_)}, {"agent", nodeToJson(record.agent_)},
        {"state", std::string(claims::toString(record.state_))}};
    if (record.response_) {
        json["answer"] = Json {{"status", record.response_->status_}, {"content_type", record.response_->contentType_},
            {"body", platform::encodeBase64(record.response_->body_)}};
    }
    return json.dump();
}

auto decodeClaim(std::string_view text) -> Result<claims::ClaimRecord>
{
    const auto record = jsontext::decode(text, [](const Json &json) {
        return claims::ClaimRecord {.attempt_ = AttemptId {.requestId_ = json.at("request").get<std::string>(),
                                        .number_ = json.at("attempt").get<std::uint32_t>()},
            .router_ = nodeFromJson(json.at("router")),
            .agent_ = nodeFromJson(json.at("agent")),
            .state_ = stateFromString(json.at("state").get<std::string>()),
            .response_ = responseFromJson(json)};
    });
    if (!record) {
        return Failure {.step_ = "read claim", .reason_ = record.failure().reason_, .runState_ = RunState::MayHaveRun};
    }
    return record;
}

} // namespace jasminewood::router::internal
