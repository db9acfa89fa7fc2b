#include "target_table.h"

#include <algorithm>
#include <optional>

#include <fmt/format.h>

namespace jasminewood::testbench::internal
{

namespace
{

constexpr auto own = "jasminewood";
constexpr auto baseline = "round_robin";
constexpr auto top = "quote-draft";
constexpr auto lowest = "batch";
constexpr auto all = "all";

class Table
{
public:
    explicit Table(const std::vector<Metric> &figures)
        : figures_(figures)
    {
    }

    auto find(const std::string &scenario, const std::string &policy, const std::string &group,
        const std::string &measure) const -> std::optional<double>
    {
        const auto found = std::find_if(figures_.begin(), figures_.end(), [&](const Metric &figure) -> bool {
            return figure.scenario_ == scenario && figure.policy_ == policy && figure.class_ == group
                && figure.measure_ == measure;
        });
        return found == figures_.end() ? std::nullopt : std::optional(found->value_);
    }

    // The highest or lowest value of a measure over all scenarios of the project's own policy.
    auto extreme(const std::string &group, const std::string &measure, bool highest) const -> std::optional<double>
    {
        auto value = std::optional<double>();
        for (const auto &figure : figures_) {
            if (figure.policy_ == own && figure.class_ == group && figure.measure_ == measure) {
                const auto candidate = value.value_or(figure.value_);
                value = highest ? std::max(candidate, figure.value_) : std::min(candidate, figure.value_);
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

    const std::vector<Metric> &figures_;
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

auto targetTable(const std::vector<Metric> &figures) -> std::string
{
    auto table = Table(figures);
    table.atLeast("top-tier attainment at peak load (crest)", table.find("crest", own, top, "attainment"), 0.99);
    table.atLeast("lowest class: completed in each 5 s window, fewest of all scenarios",
        table.extreme(lowest, "completed_5s_minimum", false), 1);
    table.atMost("p99 first token of short requests behind long ones, relative to FIFO (round robin)",
        ratio(table.find("long_behind", own, "short", "first_token_p99"),
            table.find("long_behind", baseline, "short", "first_token_p99")),
        0.2);
    table.atMost("p99 first token of the top tier with slowed engines, relative to none slowed",
        ratio(table.find("slowed", own, top, "first_token_p99"), table.find("not_slowed", own, top, "first_token_p99")),
        1.25);
    table.atMost("discarded tokens, most of all scenarios", table.extreme(all, "discarded_share", true), 0.02);
    table.atLeast("goodput at 4x offered load relative to 1x",
        ratio(table.find("overload_4x", own, all, "goodput"), table.find("overload_1x", own, all, "goodput")), 0.95);
    table.atMost("top-tier requests shed while a lower tier ran, most of all scenarios",
        table.extreme(all, "top_tier_shed_below", true), 0);
    table.atMost("p99 time added by the router when unloaded, ms", table.find("unloaded", own, all, "added_p99"), 1);
    table.atMost("control memory, router, MB", table.find("unloaded", own, all, "router_memory"), 64);
    table.atMost("control memory, agent, MB", table.find("unloaded", own, all, "agent_memory"), 64);
    table.atMost("control CPU when idle, router, percent of a core",
        table.find("unloaded", own, all, "router_idle_processor"), 2.8);
    table.atMost("control CPU when idle, agent, percent of a core",
        table.find("unloaded", own, all, "agent_idle_processor"), 2.8);
    table.atMost("wrong answers, most of all scenarios", table.extreme(all, "wrong", true), 0);
    return table.text();
}

} // namespace jasminewood::testbench::internal
