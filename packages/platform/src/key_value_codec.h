#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "jasminewood/platform/key_value.h"

// The JSON of etcd's gateway: base64 keys and values, 64-bit integers as strings, and zero values left out. Decoding
// throws nlohmann::json::exception on an answer of another form.

namespace jasminewood::platform::internal
{

// Returns the end of the range that holds all keys with the prefix.
auto prefixEnd(std::string prefix) -> std::string;

auto encodeRange(const std::string &key, const std::string &rangeEnd) -> nlohmann::json;
auto encodePut(const PutKey &put) -> nlohmann::json;
auto encodeTransaction(const Transaction &transaction) -> nlohmann::json;
auto encodeWatch(const WatchRequest &request) -> nlohmann::json;

// Reads an integer that may be missing, a number or a string.
auto integerOf(const nlohmann::json &object, const char *name) -> std::int64_t;

auto revisionOf(const nlohmann::json &answer) -> Revision;
auto decodeEntry(const nlohmann::json &entry) -> KeyValue;
auto decodeEntries(const nlohmann::json &answer) -> std::vector<KeyValue>;
auto decodeTransaction(const nlohmann::json &answer, Revision revision) -> TransactionOutcome;
auto decodeEvent(const nlohmann::json &event) -> WatchEvent;

} // namespace jasminewood::platform::internal
