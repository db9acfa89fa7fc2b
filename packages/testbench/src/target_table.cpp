#include "target_table.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

namespace jasminewood::testbench::internal
{

namespace
{

constexpr auto ownPolicy = "jasminewood";
constexpr auto baselinePolicy = "round_robin";
constexpr auto topClass = "quote-draft";
constexpr auto lowestClass = "batch";
constexpr auto allRequests = "all";

class Table
{
public:
    explicit Table(const std::vector<Metric> &metrics)
        : metrics_(metrics)
    {
    }

    auto find(const std::string &scenario, const std::string &policy, const std::string &group,
        const std::string &measure) const -> std::optional<double>
    {
        const auto found = std::find_if(metrics_.begin(), metrics_.end(), [&](const Metric &metric) -> bool {
            return metric.scenario_ == scenario && metric.policy_ == policy && metric.class_ == group
                && metric.measure_ == measure;
        });
        return found == metrics_.end() ? std::nullopt : std::optional(found->value_);
    }

    // Returns the highest or lowest value of a measure over all scenarios run with Jasminewood's own policy.
    auto extreme(const std::string &group, const std::string &measure, bool highest) const -> std::optional<double>
    {
        auto value = std::optional<double>();
        for (const auto &metric : metrics_) {
            if (metric.policy_ == ownPolicy && metric.class_ == group && metric.measure_ == measure) {
                const auto candidate = value.value_or(metric.value_);
                value = highest ? std::max(candidate, metric.value_) : std::min(candidate, metric.value_);
            }
        }
        return value;
    }

    auto atLeast(const std::string &target, std::optional<double> value, double bound) -> void
    {
        add(target, value, ">=", bound, value && *value >= bound);
    }

    auto atMost(const std::string &target, std::optional<double> value, double bound) -> void
    {
        add(target, value, "<=", bound, value && *value <= bound);
    }

    auto text() const -> const std::string &
    {
        return text_;
    }

private:
    auto add(const std::string &target, std::optional<double> value, const std::string &relation, double bound,
        bool met) -> void
    {
        const auto measured = value ? fmt::format("{:.4g}", *value) : "-";
        const auto *verdict = !value ? "not measured" : met ? "met" : "missed";
        text_ += fmt::format("{:<78} {:>10} {} {:<6} {}\n", target, measured, relation, bound, verdict);
    }

    const std::vector<Metric> &metrics_;
    std::string text_;
};

auto ratio(std::optional<double> numerator, std::optional<double> denominator) -> std::optional<double>
{
    if (!numerator || !denominator || *denominator == 0) {
        return std::nullopt;
    }
    return *numerator / *denominator;
}

} // namespace

auto targetTable(const std::vector<Metric> &metrics) -> std::string
{
    auto table = Table(metrics);
    table.atLeast(
        "top-tier attainment at peak load (crest)", table.find("crest", ownPolicy, topClass, "attainment"), 0.99);
    table.atLeast("lowest class: completed in each 5 s window, fewest of all scenarios",
        table.extreme(lowestClass, "completed_5s_minimum", false), 1);
    table.atMost("p99 first token of short requests behind long ones, relative to FIFO (round robin)",
        ratio(table.find("long_behind", ownPolicy, "short", "first_token_p99"),
            table.find("long_behind", baselinePolicy, "short", "first_token_p99")),
        0.2);
    table.atMost("p99 first token of the top tier with slowed engines, relative to none slowed",
        ratio(table.find("slowed", ownPolicy, topClass, "first_token_p99"),
            table.find("not_slowed", ownPolicy, topClass, "first_token_p99")),
        1.25);
    table.atMost("discarded tokens, most of all scenarios", table.extreme(allRequests, "discarded_share", true), 0.02);
    table.atLeast("goodput at 4x offered load relative to 1x",
        ratio(table.find("overload_4x", ownPolicy, allRequests, "goodput"),
            table.find("overload_1x", ownPolicy, allRequests, "goodput")),
        0.95);
    table.atMost("top-tier requests shed while a lower tier ran, most of all scenarios",
        table.extreme(allRequests, "top_tier_shed_below", true), 0);
    table.atMost("p99 time added by the router when unloaded, ms",
        table.find("unloaded", ownPolicy, allRequests, "added_p99"), 1);
    table.atMost("control memory, router, MB", table.find("unloaded", ownPolicy, allRequests, "router_memory"), 64);
    table.atMost("control memory, agent, MB", table.find("unloaded", ownPolicy, allRequests, "agent_memory"), 64);
    table.atMost("control CPU when idle, router, percent of a core",
        table.find("unloaded", ownPolicy, allRequests, "router_idle_processor"), 2.8);
    table.atMost("control CPU when idle, agent, percent of a core",
        table.find("unloaded", ownPolicy, allRequests, "agent_idle_processor"), 2.8);
    table.atMost("wrong answers, most of all scenarios", table.extreme(allRequests, "wrong", true), 0);
    return table.text();
}

} // namespace jasminewood::testbench::internal
