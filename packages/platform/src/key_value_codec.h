#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "jasminewood/platform/key_value.h"

// The JSON of etcd's gateway: base64 keys and values, 64-bit integers as strings, and zero values left out. Decoding
// throws nlohmann::json::exception on a malformed response.

namespace jasminewood::platform::internal
{

// Returns the exclusive end of the range of all keys with the prefix.
auto prefixEnd(std::string prefix) -> std::string;

auto encodeRange(const std::string &key, const std::string &rangeEnd) -> nlohmann::json;
auto encodePut(const PutKey &put) -> nlohmann::json;
auto encodeTransaction(const Transaction &transaction) -> nlohmann::json;
auto encodeWatch(const WatchRequest &request) -> nlohmann::json;

// Returns an integer member, which may be a number or a string, or 0 if it is missing.
auto integerOf(const nlohmann::json &object, const char *name) -> std::int64_t;

auto revisionOf(const nlohmann::json &response) -> Revision;
auto decodeEntry(const nlohmann::json &entry) -> KeyValue;
auto decodeEntries(const nlohmann::json &response) -> std::vector<KeyValue>;
auto decodeTransaction(const nlohmann::json &response, Revision revision) -> TransactionOutcome;
auto decodeEvent(const nlohmann::json &event) -> WatchEvent;

} // namespace jasminewood::platform::internal
