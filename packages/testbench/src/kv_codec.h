#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "kv_store.h"
#include "kv_values.h"

// Parses and writes the JSON of etcd's gateway for the fake key-value service: base64 keys and values, 64-bit integers
// as strings, and zero values left out. Decoding throws nlohmann::json::exception on a malformed request.

namespace jasminewood::testbench::internal
{

// A request to watch a key range.
struct KvWatchRequest
{
    const KvKeyRange keyRange_;
    // 0 stands for the next revision.
    const std::int64_t startRevision_ = 0;

    auto operator<=>(const KvWatchRequest &) const = default;
};

auto decodeRange(const nlohmann::json &request) -> KvOperation;
auto decodePut(const nlohmann::json &request) -> KvOperation;
auto decodeDelete(const nlohmann::json &request) -> KvOperation;
auto decodeTransaction(const nlohmann::json &request) -> KvOperation;
auto decodeWatch(const nlohmann::json &request) -> KvWatchRequest;

// Returns an integer member, which may be a number or a string; 0 if it is missing.
auto integerOf(const nlohmann::json &object, const char *name) -> std::int64_t;

auto encodeHeader(std::int64_t revision) -> nlohmann::json;
auto encodeOutcome(const KvOutcome &outcome) -> nlohmann::json;
auto encodeEvents(const KvEvents &events) -> nlohmann::json;

} // namespace jasminewood::testbench::internal
