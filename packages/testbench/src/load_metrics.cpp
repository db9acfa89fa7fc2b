#include "jasminewood/testbench/load_metrics.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

namespace jasminewood::testbench
{

namespace
{

using nlohmann::json;

constexpr auto window = Microseconds(5'000'000);
constexpr auto windowStep = Microseconds(250'000);
constexpr auto microsPerMilli = 1'000.0;
constexpr auto allRequests = "all";

using Records = std::vector<const RequestRecord *>;

auto isComplete(const RequestRecord &record) -> bool
{
    return std::holds_alternative<CompleteResponse>(record.outcome_);
}

constexpr auto rateLimitedStatus = 429;

auto isShed(const RequestRecord &record) -> bool
{
    const auto *error = std::get_if<ErrorAnswer>(&record.outcome_);
    // A request rejected by its account's own rate limit doesn't count as shed.
    return error != nullptr && error->runState_ == "not_run" && error->status_ != rateLimitedStatus;
}

auto isWrong(const RequestRecord &record) -> bool
{
    return std::holds_alternative<WrongAnswer>(record.outcome_);
}

auto firstTokenMillis(const RequestRecord &record) -> double
{
    return static_cast<double>((*record.firstToken_ - record.arrival_).count()) / microsPerMilli;
}

template <typename Condition>
auto countIf(const Records &records, Condition condition) -> double
{
    return static_cast<double>(std::count_if(records.begin(), records.end(), [&](const auto *record) -> bool {
        return condition(*record);
    }));
}

// Computes the metrics of one run.
class Collector
{
public:
    explicit Collector(const LoadRun &run)
        : run_(run)
    {
    }

    auto collect() -> std::vector<Metric>
    {
        auto groups = std::map<std::string, Records>();
        for (const auto &record : run_.records_) {
            groups[record.group_].push_back(&record);
            groups[allRequests].push_back(&record);
        }
        for (const auto &[group, records] : groups) {
            addGroup(group, records);
        }
        addRunTotals();
        return std::move(metrics_);
    }

private:
    auto add(const std::string &group, const std::string &measure, double value, const std::string &unit) -> void
    {
        metrics_.push_back(Metric {.scenario_ = run_.scenario_,
            .policy_ = run_.policy_,
            .class_ = group,
            .measure_ = measure,
            .value_ = value,
            .unit_ = unit});
    }

    auto meets(const RequestRecord &record) const -> bool
    {
        return meetsTarget(record, run_.targets_.at(record.requestClass_));
    }

    auto addGroup(const std::string &group, const Records &records) -> void
    {
        const auto met = countIf(records, [this](const RequestRecord &record) -> bool {
            return meets(record);
        });
        add(group, "requests", static_cast<double>(records.size()), "count");
        add(group, "attainment", met / static_cast<double>(records.size()), "ratio");
        auto firstTokens = std::vector<double>();
        for (const auto *record : records) {
            if (record->firstToken_) {
                firstTokens.push_back(firstTokenMillis(*record));
            }
        }
        add(group, "first_token_p50", quantile(firstTokens, 0.5), "ms");
        add(group, "first_token_p99", quantile(firstTokens, 0.99), "ms");
        add(group, "completed_5s_minimum", minimumCompletedPerWindow(records), "count");
        add(group, "goodput", goodput(records), "tokens/s");
        const auto shed = countIf(records, isShed);
        const auto wrong = countIf(records, isWrong);
        add(group, "shed", shed, "count");
        add(group, "failed", static_cast<double>(records.size()) - countIf(records, isComplete) - shed - wrong,
            "count");
        add(group, "wrong", wrong, "count");
    }

    auto minimumCompletedPerWindow(const Records &records) const -> double
    {
        auto lowest = static_cast<double>(records.size());
        for (auto begin = Microseconds(0); begin + window <= run_.duration_; begin += windowStep) {
            lowest = std::min(lowest, countIf(records, [&](const RequestRecord &record) -> bool {
                return isComplete(record) && record.end_ >= begin && record.end_ < begin + window;
            }));
        }
        return lowest;
    }

    auto goodput(const Records &records) const -> double
    {
        auto tokens = std::size_t(0);
        for (const auto *record : records) {
            tokens += record->end_ < run_.duration_ && meets(*record) ? record->tokens_ : 0;
        }
        return static_cast<double>(tokens) / std::chrono::duration<double>(run_.duration_).count();
    }

    auto addRunTotals() -> void
    {
        auto delivered = std::size_t(0);
        for (const auto &record : run_.records_) {
            delivered += isComplete(record) ? record.tokens_ : 0;
        }
        const auto generated = static_cast<double>(run_.generatedTokens_);
        add(allRequests, "generated_tokens", generated, "tokens");
        add(allRequests, "discarded_share",
            generated == 0 ? 0 : (generated - static_cast<double>(delivered)) / generated, "ratio");
        add(allRequests, "top_tier_shed_below", countTopTierShedBelow(), "count");
    }

    auto tierOf(const RequestRecord &record) const -> Tier
    {
        return run_.targets_.at(record.requestClass_).tier_;
    }

    auto countTopTierShedBelow() const -> double
    {
        auto top = lowestTier;
        for (const auto &record : run_.records_) {
            top = std::min(top, tierOf(record));
        }
        auto count = std::size_t(0);
        for (const auto &record : run_.records_) {
            count += tierOf(record) == top && isShed(record) && lowerTierRanDuring(record) ? 1 : 0;
        }
        return static_cast<double>(count);
    }

    auto lowerTierRanDuring(const RequestRecord &shed) const -> bool
    {
        return std::any_of(run_.records_.begin(), run_.records_.end(), [&](const RequestRecord &other) -> bool {
            return tierOf(other) > tierOf(shed) && other.firstToken_ && *other.firstToken_ < shed.end_
                && other.end_ > shed.arrival_;
        });
    }

    const LoadRun &run_;
    std::vector<Metric> metrics_;
};

} // namespace

auto toJsonLine(const Metric &metric) -> std::string
{
    constexpr auto precision = 10'000.0;
    return json {{"scenario", metric.scenario_}, {"policy", metric.policy_}, {"class", metric.class_},
        {"measure", metric.measure_}, {"value", std::round(metric.value_ * precision) / precision},
        {"unit", metric.unit_}}
        .dump();
}

auto parseJsonLine(const std::string &line) -> std::optional<Metric>
{
    const auto parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("measure") || !parsed.contains("value")) {
        return std::nullopt;
    }
    return Metric {.scenario_ = parsed.value("scenario", ""),
        .policy_ = parsed.value("policy", ""),
        .class_ = parsed.value("class", ""),
        .measure_ = parsed.value("measure", ""),
        .value_ = parsed.value("value", 0.0),
        .unit_ = parsed.value("unit", "")};
}

auto meetsTarget(const RequestRecord &record, const ClassTarget &target) -> bool
{
    if (!isComplete(record)) {
        return false;
    }
    return !target.firstToken_ || (record.firstToken_ && *record.firstToken_ - record.arrival_ <= *target.firstToken_);
}

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = std::ceil(fraction * static_cast<double>(values.size()));
    const auto index = std::max(rank, 1.0) - 1;
    return values[static_cast<std::size_t>(index)];
}

auto computeMetrics(const LoadRun &run) -> std::vector<Metric>
{
    return Collector(run).collect();
}

} // namespace jasminewood::testbench
