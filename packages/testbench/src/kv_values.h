#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

// Requests and answers of the fake key-value service, apart from their JSON.

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

// One key if end_ is empty, all keys from the start if end_ is one zero byte, else the keys before end_.
struct KvSpan
{
    const std::string start_;
    const std::string end_;

    auto operator<=>(const KvSpan &) const = default;
};

// Returns whether the span holds the key.
auto contains(const KvSpan &span, const std::string &key) -> bool;

struct KvRange
{
    const KvSpan span_;
    // 0 means all.
    const std::int64_t limit_ = 0;

    auto operator<=>(const KvRange &) const = default;
};

struct KvPut
{
    const std::string key_;
    const std::string value_;
    const std::int64_t lease_ = 0;

    auto operator<=>(const KvPut &) const = default;
};

struct KvDelete
{
    const KvSpan span_;

    auto operator<=>(const KvDelete &) const = default;
};

struct KvTransaction;

using KvOperation = std::variant<KvRange, KvPut, KvDelete, std::shared_ptr<const KvTransaction>>;

enum class KvTarget : std::uint8_t
{
    Version,
    Create,
    Mod,
    Value,
};

enum class KvRelation : std::uint8_t
{
    Equal,
    Greater,
    Less,
    NotEqual,
};

struct KvCompare
{
    const std::string key_;
    const KvTarget target_ = KvTarget::Version;
    const KvRelation relation_ = KvRelation::Equal;
    // The operand of the other targets than Value.
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

struct KvRangeAnswer
{
    const std::vector<KvEntry> entries_;
    const std::int64_t count_ = 0;
};

struct KvPutAnswer
{
    auto operator<=>(const KvPutAnswer &) const = default;
};

struct KvDeleteAnswer
{
    const std::int64_t deleted_ = 0;

    auto operator<=>(const KvDeleteAnswer &) const = default;
};

struct KvTransactionAnswer;

using KvAnswer = std::variant<KvRangeAnswer, KvPutAnswer, KvDeleteAnswer, std::shared_ptr<const KvTransactionAnswer>>;

struct KvTransactionAnswer
{
    const bool succeeded_ = false;
    const std::vector<KvAnswer> answers_;
};

// The answer of an operation and the revision of the store after it.
struct KvOutcome
{
    const std::int64_t revision_ = 0;
    const KvAnswer answer_;
};

// One change of a key. A deleted entry has only its key and its mod revision.
struct KvEvent
{
    const bool deleted_ = false;
    const KvEntry entry_;

    auto operator<=>(const KvEvent &) const = default;
};

} // namespace jasminewood::testbench::internal
