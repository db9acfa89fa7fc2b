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

auto spanOf(const json &request) -> KvSpan
{
    return {.start_ = bytesOf(request, "key"), .end_ = bytesOf(request, "range_end")};
}

auto targetOf(const std::string &name) -> KvTarget
{
    if (name == "CREATE") {
        return KvTarget::Create;
    }
    if (name == "MOD") {
        return KvTarget::Mod;
    }
    return name == "VALUE" ? KvTarget::Value : KvTarget::Version;
}

auto relationOf(const std::string &name) -> KvRelation
{
    if (name == "GREATER") {
        return KvRelation::Greater;
    }
    if (name == "LESS") {
        return KvRelation::Less;
    }
    return name == "NOT_EQUAL" ? KvRelation::NotEqual : KvRelation::Equal;
}

auto compareOf(const json &compare) -> KvCompare
{
    // Only the field of the target is present.
    const auto number
        = integerOf(compare, "create_revision") + integerOf(compare, "mod_revision") + integerOf(compare, "version");
    return {.key_ = bytesOf(compare, "key"),
        .target_ = targetOf(compare.value("target", "VERSION")),
        .relation_ = relationOf(compare.value("result", "EQUAL")),
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

struct AnswerName
{
    auto operator()(const KvRangeAnswer & /*answer*/) const -> const char *
    {
        return "response_range";
    }

    auto operator()(const KvPutAnswer & /*answer*/) const -> const char *
    {
        return "response_put";
    }

    auto operator()(const KvDeleteAnswer & /*answer*/) const -> const char *
    {
        return "response_delete_range";
    }

    auto operator()(const std::shared_ptr<const KvTransactionAnswer> & /*answer*/) const -> const char *
    {
        return "response_txn";
    }
};

struct AnswerEncoder
{
    auto operator()(const KvRangeAnswer &answer) const -> json
    {
        auto encoded = json::object();
        for (const auto &entry : answer.entries_) {
            encoded["kvs"].push_back(encodeEntry(entry));
        }
        addInteger(encoded, "count", answer.count_);
        return encoded;
    }

    auto operator()(const KvPutAnswer & /*answer*/) const -> json
    {
        return json::object();
    }

    auto operator()(const KvDeleteAnswer &answer) const -> json
    {
        auto encoded = json::object();
        addInteger(encoded, "deleted", answer.deleted_);
        return encoded;
    }

    auto operator()(const std::shared_ptr<const KvTransactionAnswer> &answer) const -> json
    {
        auto encoded = json::object();
        if (answer->succeeded_) {
            encoded["succeeded"] = true;
        }
        for (const auto &part : answer->answers_) {
            encoded["responses"].push_back({{std::visit(AnswerName {}, part), std::visit(*this, part)}});
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
    return KvRange {.span_ = spanOf(request), .limit_ = integerOf(request, "limit")};
}

auto decodePut(const json &request) -> KvOperation
{
    return KvPut {
        .key_ = bytesOf(request, "key"), .value_ = bytesOf(request, "value"), .lease_ = integerOf(request, "lease")};
}

auto decodeDelete(const json &request) -> KvOperation
{
    return KvDelete {.span_ = spanOf(request)};
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

auto decodeWatch(const json &request) -> KvWatch
{
    const auto &create = request.at("create_request");
    return {.span_ = spanOf(create), .startRevision_ = integerOf(create, "start_revision")};
}

auto headerJson(std::int64_t revision) -> json
{
    return {{"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

auto encodeOutcome(const KvOutcome &outcome) -> json
{
    auto encoded = std::visit(AnswerEncoder {}, outcome.answer_);
    encoded["header"] = headerJson(outcome.revision_);
    return encoded;
}

auto encodeEvents(const KvEvents &events) -> json
{
    auto result = json {{"header", headerJson(events.revision_)}};
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
