#include "json_response.h"

namespace jasminewood::testbench::internal
{

using nlohmann::json;

auto jsonResponse(int status, const json &body) -> http::BufferedResponse
{
    return {
        .status_ = status, .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}}, .body_ = body.dump()};
}

auto errorResponse(int status, const std::string &message) -> http::BufferedResponse
{
    return jsonResponse(status, {{"error", {{"message", message}, {"type", "invalid_request_error"}}}});
}

auto headerOf(const http::Request &request, const std::string &lowerCaseName) -> std::string
{
    const auto found = request.headers_.find(lowerCaseName);
    return found == request.headers_.end() ? "" : found->second;
}

} // namespace jasminewood::testbench::internal
