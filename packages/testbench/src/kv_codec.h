#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "kv_store.h"
#include "kv_values.h"

// The JSON of etcd's gateway for the fake key-value service: base64 keys and values, 64-bit integers as strings, and
// zero values left out. Decoding throws nlohmann::json::exception on a malformed request.

namespace jasminewood::testbench::internal
{

// What a watch request asks for.
struct KvWatch
{
    const KvSpan span_;
    // 0 means from now on.
    const std::int64_t startRevision_ = 0;

    auto operator<=>(const KvWatch &) const = default;
};

auto decodeRange(const nlohmann::json &request) -> KvOperation;
auto decodePut(const nlohmann::json &request) -> KvOperation;
auto decodeDelete(const nlohmann::json &request) -> KvOperation;
auto decodeTransaction(const nlohmann::json &request) -> KvOperation;
auto decodeWatch(const nlohmann::json &request) -> KvWatch;

// Reads an integer that may be missing, a number or a string.
auto integerOf(const nlohmann::json &object, const char *name) -> std::int64_t;

auto headerJson(std::int64_t revision) -> nlohmann::json;
auto encodeOutcome(const KvOutcome &outcome) -> nlohmann::json;
auto encodeEvents(const KvEvents &events) -> nlohmann::json;

} // namespace jasminewood::testbench::internal
