#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

// Estimates a quantile of the output length per request class and client account, to predict which requests will be
// long.
//
//     estimator.addSample("diagnosis", "trd-grind", 5200);
//     const auto expectedLong = estimator.isLikelyLong("diagnosis", "trd-grind", policy.longAttemptTokens_);

namespace jasminewood::scheduling
{

// Default quantile of the output length that is estimated.
constexpr double outputLengthQuantile = 0.9;
// Minimum number of samples before the estimate of an account, or that of a class, is used.
constexpr std::uint32_t minimumLengthSamples = 10;
// Maximum number of estimates, over accounts and classes. Beyond it the least recently updated one is evicted.
constexpr std::size_t maximumLengthEstimates = 8192;

// Streaming quantile estimate in constant memory. The estimate is updated on a logarithmic scale, because output
// lengths span several orders of magnitude.
class StreamingQuantile
{
public:
    // Precondition: 0 < quantile < 1.
    explicit StreamingQuantile(double quantile);

    // Adds a sample; 0 counts as 1.
    auto addSample(std::uint32_t value) -> void;

    auto sampleCount() const -> std::uint32_t;

    // Returns 0 before the first sample.
    auto estimate() const -> std::uint32_t;

private:
    double quantile_;
    double log2Estimate_ = 0;
    std::uint32_t samples_ = 0;
};

// Keeps a quantile estimate for each class and for each account of a class. Not thread-safe.
class OutputLengthEstimator
{
public:
    // Precondition: 0 < quantile < 1.
    explicit OutputLengthEstimator(double quantile = outputLengthQuantile);

    // Adds the output length of a request that has ended.
    auto addSample(const std::string &requestClass, const std::string &account, std::uint32_t outputTokens) -> void;

    // Returns the estimated quantile in output tokens: that of the account, or that of the whole class if the account
    // has fewer than minimumLengthSamples. Empty if the class has too few samples as well.
    auto estimate(const std::string &requestClass, const std::string &account) const -> std::optional<std::uint32_t>;

    // Returns true if there is an estimate and it is above longTokens.
    auto isLikelyLong(const std::string &requestClass, const std::string &account, std::uint32_t longTokens) const
        -> bool;

private:
    // Request class and account. The account is empty for the estimate of the whole class.
    using Key = std::pair<std::string, std::string>;

    struct TrackedQuantile
    {
        StreamingQuantile quantile_;
        std::list<Key>::iterator recencyPosition_;
    };

    auto updateQuantile(const Key &key, std::uint32_t outputTokens) -> void;
    auto estimateFor(const Key &key) const -> std::optional<std::uint32_t>;

    double quantile_;
    // Most recently updated key first.
    std::list<Key> keysByRecency_;
    std::map<Key, TrackedQuantile> quantiles_;
};

} // namespace jasminewood::scheduling
