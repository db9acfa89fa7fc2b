#include "key_value_codec.h"

#include <limits>
#include <type_traits>

#include "jasminewood/jsontext/parse.h"
#include "jasminewood/platform/base64.h"

namespace jasminewood::platform::internal
{

namespace
{

using nlohmann::json;

auto bytesOf(const json &object, const char *name) -> std::string
{
    return decodeBase64(object.value(name, "")).value_or("");
}

struct ConditionEncoder
{
    auto operator()(const KeyAbsent &condition) const -> json
    {
        return {
            {"key", encodeBase64(condition.key_)}, {"target", "CREATE"}, {"result", "EQUAL"}, {"create_revision", "0"}};
    }

    auto operator()(const ModRevisionIs &condition) const -> json
    {
        return {{"key", encodeBase64(condition.key_)}, {"target", "MOD"}, {"result", "EQUAL"},
            {"mod_revision", std::to_string(condition.revision_)}};
    }

    auto operator()(const ValueIs &condition) const -> json
    {
        return {{"key", encodeBase64(condition.key_)}, {"target", "VALUE"}, {"result", "EQUAL"},
            {"value", encodeBase64(condition.value_)}};
    }
};

struct OperationEncoder
{
    auto operator()(const PutKey &operation) const -> json
    {
        return {{"request_put", encodePut(operation)}};
    }

    auto operator()(const ReadKey &operation) const -> json
    {
        return {{"request_range", encodeRange(operation.key_, "")}};
    }

    auto operator()(const DeleteKey &operation) const -> json
    {
        return {{"request_delete_range", encodeRange(operation.key_, "")}};
    }

    auto operator()(const NestedTransaction &operation) const -> json
    {
        return {{"request_txn", encodeTransaction(*operation.transaction_)}};
    }
};

auto encodeOperations(const std::vector<Operation> &operations) -> json
{
    auto encoded = json::array();
    for (const auto &operation : operations) {
        encoded.push_back(std::visit(OperationEncoder {}, operation));
    }
    return encoded;
}

auto decodeOperation(const json &response, Revision revision) -> OperationOutcome
{
    if (response.contains("response_txn")) {
        const auto &nested = response["response_txn"];
        return {.nested_ = std::make_shared<const TransactionOutcome>(decodeTransaction(nested, revision))};
    }
    const auto entries = decodeEntries(response.value("response_range", json::object()));
    return {.found_ = entries.empty() ? std::nullopt : std::optional<KeyValue>(entries.front())};
}

} // namespace

auto prefixEnd(std::string prefix) -> std::string
{
    while (!prefix.empty() && prefix.back() == '\xff') {
        prefix.pop_back();
    }
    if (prefix.empty()) {
        // A range end of one zero byte means all keys.
        return std::string(1, '\0');
    }
    ++prefix.back();
    return prefix;
}

auto encodeRange(const std::string &key, const std::string &rangeEnd) -> json
{
    // etcd has no empty key; one zero byte is the smallest key.
    auto range = json {{"key", encodeBase64(key.empty() ? std::string(1, '\0') : key)}};
    if (!rangeEnd.empty()) {
        range["range_end"] = encodeBase64(rangeEnd);
    }
    return range;
}

auto encodePut(const PutKey &put) -> json
{
    return {
        {"key", encodeBase64(put.key_)}, {"value", encodeBase64(put.value_)}, {"lease", std::to_string(put.lease_)}};
}

auto encodeTransaction(const Transaction &transaction) -> json
{
    auto conditions = json::array();
    for (const auto &condition : transaction.conditions_) {
        conditions.push_back(std::visit(ConditionEncoder {}, condition));
    }
    return {{"compare", conditions}, {"success", encodeOperations(transaction.onSuccess_)},
        {"failure", encodeOperations(transaction.onFailure_)}};
}

auto encodeWatch(const WatchRequest &request) -> json
{
    auto create = encodeRange(request.key_, request.isPrefix_ ? prefixEnd(request.key_) : "");
    const auto after = request.after_.revision_;
    create["start_revision"] = std::to_string(after == 0 ? 0 : after + 1);
    return {{"create_request", create}};
}

auto integerOf(const json &object, const char *name) -> std::int64_t
{
    const auto found = object.find(name);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_string()) {
        return std::strtoll(found->get_ref<const std::string &>().c_str(), nullptr, 10);
    }
    constexpr auto limits = std::numeric_limits<std::int64_t>();
    // A number out of range counts as one of the wrong type.
    const auto number = jsontext::wholeNumber(*found, limits.min(), limits.max());
    return number ? *number : json(name).get<std::int64_t>();
}

auto revisionOf(const json &response) -> Revision
{
    return integerOf(response.at("header"), "revision");
}

auto decodeEntry(const json &entry) -> KeyValue
{
    return {.key_ = bytesOf(entry, "key"),
        .value_ = bytesOf(entry, "value"),
        .createRevision_ = integerOf(entry, "create_revision"),
        .modRevision_ = integerOf(entry, "mod_revision"),
        .lease_ = integerOf(entry, "lease")};
}

auto decodeEntries(const json &response) -> std::vector<KeyValue>
{
    auto entries = std::vector<KeyValue>();
    for (const auto &entry : response.value("kvs", json::array())) {
        entries.push_back(decodeEntry(entry));
    }
    return entries;
}

auto decodeTransaction(const json &response, Revision revision) -> TransactionOutcome
{
    auto operations = std::vector<OperationOutcome>();
    for (const auto &operation : response.value("responses", json::array())) {
        operations.push_back(decodeOperation(operation, revision));
    }
    return {
        .succeeded_ = response.value("succeeded", false), .revision_ = revision, .operations_ = std::move(operations)};
}

auto decodeEvent(const json &event) -> WatchEvent
{
    const auto entry = decodeEntry(event.at("kv"));
    if (event.value("type", "PUT") == "DELETE") {
        return KeyDeleted {.key_ = entry.key_, .revision_ = entry.modRevision_};
    }
    return KeyPut {.entry_ = entry};
}

} // namespace jasminewood::platform::internal
