#include "jasminewood/platform/vm_list.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "jasminewood/http/client.h"
#include "jasminewood/jsontext/parse.h"
#include "peer.h"

namespace jasminewood::platform
{

namespace
{

using internal::peerOf;
using nlohmann::json;

auto entryOf(const std::string &address, const json &labels) -> VmEntry
{
    const auto leaving = labels.value("state", "live") == "leaving";
    return {.address_ = address,
        .role_ = labels.value("role", ""),
        .name_ = labels.value("name", ""),
        .pool_ = labels.value("pool", ""),
        .dataCentre_ = labels.value("data_centre", ""),
        .state_ = leaving ? VmState::Leaving : VmState::Live};
}

auto decode(const json &groups) -> std::vector<VmEntry>
{
    auto entries = std::vector<VmEntry>();
    for (const auto &group : groups.get_ref<const json::array_t &>()) {
        for (const auto &target : group.at("targets")) {
            entries.push_back(entryOf(target.get<std::string>(), group.value("labels", json::object())));
        }
    }
    return entries;
}

} // namespace

auto toString(VmState state) -> std::string_view
{
    return state == VmState::Leaving ? "leaving" : "live";
}

VmListClient::VmListClient(const VmListOptions &options)
    : options_(options)
{
}

auto VmListClient::fetchVms() const -> Result<std::vector<VmEntry>>
{
    const auto failure = [this](const std::string &reason) {
        return Failure {.step_ = "vm list", .peer_ = peerOf(options_.url_), .reason_ = reason};
    };
    const auto response = http::fetch({.url_ = options_.url_, .timeout_ = options_.timeout_});
    if (!response) {
        return failure(response.failure().step_ + ": " + response.failure().reason_);
    }
    if (response->status_ != 200) {
        return failure(fmt::format("status {}", response->status_));
    }
    auto entries = jsontext::decode(response->body_, &decode);
    return entries ? entries : failure("malformed list: " + entries.failure().reason_);
}

} // namespace jasminewood::platform
