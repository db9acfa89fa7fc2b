#include "kv_codec.h"

#include <cstdlib>

#include "jasminewood/platform/base64.h"

namespace jasminewood::testbench::internal
{

namespace
{

using nlohmann::json;
using platform::encodeBase64;

auto bytesOf(const json &object, const char *name) -> std::string
{
    return platform::decodeBase64(object.value(name, "")).value_or("");
}

auto keyRangeOf(const json &request) -> KvKeyRange
{
    return {.start_ = bytesOf(request, "key"), .end_ = bytesOf(request, "range_end")};
}

auto targetOf(const std::string &name) -> KvCompareTarget
{
    if (name == "CREATE") {
        return KvCompareTarget::CreateRevision;
    }
    if (name == "MOD") {
        return KvCompareTarget::ModRevision;
    }
    return name == "VALUE" ? KvCompareTarget::Value : KvCompareTarget::Version;
}

auto compareOperatorOf(const std::string &name) -> KvCompareOperator
{
    if (name == "GREATER") {
        return KvCompareOperator::Greater;
    }
    if (name == "LESS") {
        return KvCompareOperator::Less;
    }
    return name == "NOT_EQUAL" ? KvCompareOperator::NotEqual : KvCompareOperator::Equal;
}

auto compareOf(const json &compare) -> KvCompare
{
    // Only the field of the target is present.
    const auto number
        = integerOf(compare, "create_revision") + integerOf(compare, "mod_revision") + integerOf(compare, "version");
    return {.key_ = bytesOf(compare, "key"),
        .target_ = targetOf(compare.value("target", "VERSION")),
        .operator_ = compareOperatorOf(compare.value("result", "EQUAL")),
        .number_ = number,
        .value_ = bytesOf(compare, "value")};
}

auto operationOf(const json &operation) -> KvOperation
{
    if (operation.contains("request_put")) {
        return decodePut(operation["request_put"]);
    }
    if (operation.contains("request_delete_range")) {
        return decodeDelete(operation["request_delete_range"]);
    }
    if (operation.contains("request_txn")) {
        return decodeTransaction(operation["request_txn"]);
    }
    return decodeRange(operation.at("request_range"));
}

auto operationsOf(const json &request, const char *branch) -> std::vector<KvOperation>
{
    auto operations = std::vector<KvOperation>();
    for (const auto &operation : request.value(branch, json::array())) {
        operations.push_back(operationOf(operation));
    }
    return operations;
}

auto addInteger(json &object, const char *name, std::int64_t value) -> void
{
    if (value != 0) {
        object[name] = std::to_string(value);
    }
}

auto encodeEntry(const KvEntry &entry) -> json
{
    auto encoded = json {{"key", encodeBase64(entry.key_)}};
    if (!entry.value_.empty()) {
        encoded["value"] = encodeBase64(entry.value_);
    }
    addInteger(encoded, "create_revision", entry.createRevision_);
    addInteger(encoded, "mod_revision", entry.modRevision_);
    addInteger(encoded, "version", entry.version_);
    addInteger(encoded, "lease", entry.lease_);
    return encoded;
}

struct ResponseName
{
    auto operator()(const KvRangeResponse & /*response*/) const -> const char *
    {
        return "response_range";
    }

    auto operator()(const KvPutResponse & /*response*/) const -> const char *
    {
        return "response_put";
    }

    auto operator()(const KvDeleteResponse & /*response*/) const -> const char *
    {
        return "response_delete_range";
    }

    auto operator()(const std::shared_ptr<const KvTransactionResponse> & /*response*/) const -> const char *
    {
        return "response_txn";
    }
};

struct ResponseEncoder
{
    auto operator()(const KvRangeResponse &response) const -> json
    {
        auto encoded = json::object();
        for (const auto &entry : response.entries_) {
            encoded["kvs"].push_back(encodeEntry(entry));
        }
        addInteger(encoded, "count", response.count_);
        return encoded;
    }

    auto operator()(const KvPutResponse & /*response*/) const -> json
    {
        return json::object();
    }

    auto operator()(const KvDeleteResponse &response) const -> json
    {
        auto encoded = json::object();
        addInteger(encoded, "deleted", response.deleted_);
        return encoded;
    }

    auto operator()(const std::shared_ptr<const KvTransactionResponse> &response) const -> json
    {
        auto encoded = json::object();
        if (response->succeeded_) {
            encoded["succeeded"] = true;
        }
        for (const auto &part : response->responses_) {
            encoded["responses"].push_back({{std::visit(ResponseName {}, part), std::visit(*this, part)}});
        }
        return encoded;
    }
};

} // namespace

auto integerOf(const json &object, const char *name) -> std::int64_t
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    return found->is_string() ? std::strtoll(found->get_ref<const std::string &>().c_str(), nullptr, 10)
                              : found->get<std::int64_t>();
}

auto decodeRange(const json &request) -> KvOperation
{
    return KvRangeRequest {.keyRange_ = keyRangeOf(request), .limit_ = integerOf(request, "limit")};
}

auto decodePut(const json &request) -> KvOperation
{
    return KvPutRequest {
        .key_ = bytesOf(request, "key"), .value_ = bytesOf(request, "value"), .lease_ = integerOf(request, "lease")};
}

auto decodeDelete(const json &request) -> KvOperation
{
    return KvDeleteRequest {.keyRange_ = keyRangeOf(request)};
}

auto decodeTransaction(const json &request) -> KvOperation
{
    auto compares = std::vector<KvCompare>();
    for (const auto &compare : request.value("compare", json::array())) {
        compares.push_back(compareOf(compare));
    }
    return std::make_shared<const KvTransaction>(KvTransaction {.compares_ = std::move(compares),
        .success_ = operationsOf(request, "success"),
        .failure_ = operationsOf(request, "failure")});
}

auto decodeWatch(const json &request) -> KvWatchRequest
{
    const auto &create = request.at("create_request");
    return {.keyRange_ = keyRangeOf(create), .startRevision_ = integerOf(create, "start_revision")};
}

auto encodeHeader(std::int64_t revision) -> json
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

auto encodeOutcome(const KvOutcome &outcome) -> json
{
    auto encoded = std::visit(ResponseEncoder {}, outcome.response_);
    encoded["header"] = encodeHeader(outcome.revision_);
    return encoded;
}

auto encodeEvents(const KvEvents &events) -> json
{
    auto result = json {{"header", encodeHeader(events.revision_)}};
    if (events.compactRevision_ != 0) {
        result["canceled"] = true;
        result["cancel_reason"] = "etcdserver: mvcc: required revision has been compacted";
        addInteger(result, "compact_revision", events.compactRevision_);
    }
    for (const auto &event : events.events_) {
        auto encoded = json {{"kv", encodeEntry(event.entry_)}};
        if (event.deleted_) {
            encoded["type"] = "DELETE";
        }
        result["events"].push_back(std::move(encoded));
    }
    return {{"result", std::move(result)}};
}

} // namespace jasminewood::testbench::internal
