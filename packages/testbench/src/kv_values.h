#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// Requests and responses of the fake key-value service, independent of their JSON encoding.

namespace jasminewood::testbench::internal
{

struct KvEntry
{
    const std::string key_;
    const std::string value_;
    const std::int64_t createRevision_ = 0;
    const std::int64_t modRevision_ = 0;
    // The number of writes since the key was created.
    const std::int64_t version_ = 0;
    const std::int64_t lease_ = 0;

    auto operator<=>(const KvEntry &) const = default;
};

// Only the key start_ if end_ is empty, all keys from start_ on if end_ is one zero byte, else the keys from start_ up
// to but excluding end_.
struct KvKeyRange
{
    const std::string start_;
    const std::string end_;

    auto operator<=>(const KvKeyRange &) const = default;
};

// Returns whether the range contains the key.
auto contains(const KvKeyRange &keyRange, const std::string &key) -> bool;

struct KvRangeRequest
{
    const KvKeyRange keyRange_;
    // The maximum number of entries to return; 0 means no limit.
    const std::int64_t limit_ = 0;

    auto operator<=>(const KvRangeRequest &) const = default;
};

struct KvPutRequest
{
    const std::string key_;
    const std::string value_;
    const std::int64_t lease_ = 0;

    auto operator<=>(const KvPutRequest &) const = default;
};

struct KvDeleteRequest
{
    const KvKeyRange keyRange_;

    auto operator<=>(const KvDeleteRequest &) const = default;
};

struct KvTransaction;

using KvOperation = std::variant<KvRangeRequest, KvPutRequest, KvDeleteRequest, std::shared_ptr<const KvTransaction>>;

enum class KvCompareTarget : std::uint8_t
{
    Version,
    CreateRevision,
    ModRevision,
    Value,
};

enum class KvCompareOperator : std::uint8_t
{
    Equal,
    Greater,
    Less,
    NotEqual,
};

struct KvCompare
{
    const std::string key_;
    const KvCompareTarget target_ = KvCompareTarget::Version;
    const KvCompareOperator operator_ = KvCompareOperator::Equal;
    // The operand, unless the target is Value.
    const std::int64_t number_ = 0;
    const std::string value_;

    auto operator<=>(const KvCompare &) const = default;
};

struct KvTransaction
{
    const std::vector<KvCompare> compares_;
    const std::vector<KvOperation> success_;
    const std::vector<KvOperation> failure_;
};

struct KvRangeResponse
{
    const std::vector<KvEntry> entries_;
    const std::int64_t count_ = 0;
};

struct KvPutResponse
{
    auto operator<=>(const KvPutResponse &) const = default;
};

struct KvDeleteResponse
{
    const std::int64_t deleted_ = 0;

    auto operator<=>(const KvDeleteResponse &) const = default;
};

struct KvTransactionResponse;

using KvResponse
    = std::variant<KvRangeResponse, KvPutResponse, KvDeleteResponse, std::shared_ptr<const KvTransactionResponse>>;

struct KvTransactionResponse
{
    const bool succeeded_ = false;
    const std::vector<KvResponse> responses_;
};

// The response to an operation and the revision of the store after it.
struct KvOutcome
{
    const std::int64_t revision_ = 0;
    const KvResponse response_;
};

// A change of a key. The entry of a deletion has only key_ and modRevision_ set.
struct KvEvent
{
    const bool deleted_ = false;
    const KvEntry entry_;

    auto operator<=>(const KvEvent &) const = default;
};

} // namespace jasminewood::testbench::internal
