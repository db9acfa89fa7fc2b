#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/ini/config_error.h"
#include "jasminewood/manifest/manifest.h"

// Parses and validates a manifest in INI format. The sections and keys are
//
//   [account NAME] key_sha256, default_class, classes = default_class, requests_per_second, work_per_second, weight = 1
//   [class NAME]   tier, pool, maximum_wait_ms, first_token_ms = 0, between_tokens_ms = 0, minimum_share = 0, models,
//                  hedge = no, cost_estimate = 256
//   [model NAME]   versions, pool
//   [pool NAME]    kind (engine, service), concurrency, long_lane = 0, long_tokens = 1000, queue_limit = 256,
//                  path (services only), fencing = checked (or ignored), weight_store_bytes_per_second = 0
//   [route NAME]   pool, class, method, path, idempotent
//
// where "= VALUE" is the default of an optional key. Lists are separated by commas.

namespace jasminewood::manifest
{

using ConfigError = ini::ConfigError;
using CheckResult = std::variant<std::shared_ptr<const Manifest>, std::vector<ConfigError>>;

// Maximum size of the text in bytes. A value of the key-value service is limited to 1 MB, which the text shares with
// the submission id.
constexpr std::size_t maximumTextSize = 1'000'000;

// Maximum sum of the classes' minimum shares in percent. The other half of the capacity is always assigned in tier
// order.
constexpr std::uint32_t maximumShareSum = 50;

// Validates the whole text and returns the manifest, or all errors in the order of their lines. After a syntax error,
// which is reported alone, the content is not validated. Thread-safe.
auto check(std::string_view text, const std::string &fileName) -> CheckResult;

} // namespace jasminewood::manifest
