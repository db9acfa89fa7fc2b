#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

// Learned quantile of the output length by class and client account, to tell requests that are likely to be long.
//
//     estimator.observed("diagnosis", "trd-grind", 5200);
//     const auto longExpected = estimator.likelyLong("diagnosis", "trd-grind", policy.longTokens_);

namespace jasminewood::scheduling
{

// The quantile of the output length that is learned.
constexpr double outputLengthQuantile = 0.9;
// Samples of an account before its own estimate is used, and samples of a class before the class's is.
constexpr std::uint32_t minimumLengthSamples = 10;
// Accounts with an estimate of their own; the one unused for longest is forgotten first.
constexpr std::size_t maximumLengthEstimates = 8192;

// Streaming quantile estimate in constant memory. It moves on a logarithmic scale, because output lengths span several
// orders of magnitude.
class StreamingQuantile
{
public:
    // Precondition: 0 < quantile < 1.
    explicit StreamingQuantile(double quantile);

    // Counts a length of 0 as 1.
    auto addSample(std::uint32_t value) -> void;

    auto sampleCount() const -> std::uint32_t;

    // Returns 0 before the first sample.
    auto estimate() const -> std::uint32_t;

private:
    double quantile_;
    double logarithm_ = 0;
    std::uint32_t samples_ = 0;
};

// Not thread-safe.
class OutputLengthEstimator
{
public:
    // Precondition: 0 < quantile < 1.
    explicit OutputLengthEstimator(double quantile = outputLengthQuantile);

    // A request ended after this many output tokens.
    auto addSample(const std::string &requestClass, const std::string &account, std::uint32_t outputTokens) -> void;

    // Returns the quantile in output tokens: the account's own, or that of all accounts of the class while the account
    // has too few samples; empty if the class has too few as well.
    auto estimate(const std::string &requestClass, const std::string &account) const -> std::optional<std::uint32_t>;

    // True if the estimate exists and is above longTokens.
    auto isLikelyLong(const std::string &requestClass, const std::string &account, std::uint32_t longTokens) const
        -> bool;

private:
    // Class and account; the account is empty for the class as a whole.
    using Key = std::pair<std::string, std::string>;

    struct Tracked
    {
        StreamingQuantile quantile_;
        std::list<Key>::iterator age_;
    };

    auto track(const Key &key, std::uint32_t outputTokens) -> void;
    auto known(const Key &key) const -> std::optional<std::uint32_t>;

    double quantile_;
    // Most recently observed key first.
    std::list<Key> ages_;
    std::map<Key, Tracked> tracked_;
};

} // namespace jasminewood::scheduling
