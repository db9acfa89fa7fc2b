#include "report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include <fmt/format.h>

namespace jasminewood::slopes
{

auto fit(const Points &points) -> Fit
{
    const auto count = static_cast<double>(points.size());
    auto sumSize = 0.0;
    auto sumValue = 0.0;
    for (const auto &point : points) {
        sumSize += point.size_;
        sumValue += point.value_;
    }
    const auto meanSize = sumSize / count;
    const auto meanValue = sumValue / count;
    auto sizes = 0.0;
    auto values = 0.0;
    auto products = 0.0;
    for (const auto &point : points) {
        sizes += (point.size_ - meanSize) * (point.size_ - meanSize);
        values += (point.value_ - meanValue) * (point.value_ - meanValue);
        products += (point.size_ - meanSize) * (point.value_ - meanValue);
    }
    const auto perUnit = products / sizes;
    const auto residuals = std::max(values - perUnit * products, 0.0);
    return Fit {.perUnit_ = perUnit,
        .intercept_ = meanValue - perUnit * meanSize,
        .standardError_ = std::sqrt(residuals / (count - 2) / sizes),
        .rSquared_ = values == 0 ? 1.0 : 1.0 - residuals / values};
}

auto printFigure(const std::string &slope, double size, double value, const std::string &unit) -> void
{
    fmt::print("{{\"scenario\":\"slopes\",\"slope\":\"{}\",\"size\":{},\"value\":{:.6g},\"unit\":\"{}\"}}\n", slope,
        size, value, unit);
    std::fflush(stdout);
}

auto printSlope(const std::string &slope, const Points &points, const std::string &unit) -> void
{
    for (const auto &point : points) {
        printFigure(slope, point.size_, point.value_, unit);
    }
    if (points.size() < 3) {
        return;
    }
    const auto line = fit(points);
    fmt::print("{{\"scenario\":\"slopes\",\"fit\":\"{}\",\"per_unit\":{:.6g},\"intercept\":{:.6g},"
               "\"standard_error\":{:.3g},\"r_squared\":{:.5f},\"unit\":\"{}\"}}\n",
        slope, line.perUnit_, line.intercept_, line.standardError_, line.rSquared_, unit);
    std::fflush(stdout);
}

} // namespace jasminewood::slopes
