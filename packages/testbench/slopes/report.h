#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

// Prints measured slopes as JSON lines: one for each data point and one for the least-squares fit of each slope.

namespace jasminewood::slopes
{

// One data point: the value measured at a size.
struct Point
{
    const double size_ = 0;
    const double value_ = 0;

    auto operator<=>(const Point &) const = default;
};

using Points = std::vector<Point>;

// The line value = intercept + perUnit * size.
struct Fit
{
    const double perUnit_ = 0;
    const double intercept_ = 0;
    // Standard error of perUnit_.
    const double standardError_ = 0;
    // Coefficient of determination, 0 to 1.
    const double rSquared_ = 0;

    auto operator<=>(const Fit &) const = default;
};

// Fits by least squares. Precondition: at least 3 points of at least 2 sizes.
auto fit(const Points &points) -> Fit;

// Prints a single data point.
auto printFigure(const std::string &slope, double size, double value, const std::string &unit) -> void;

// Prints all points and their fit. With fewer than 3 points only the points are printed.
auto printSlope(const std::string &slope, const Points &points, const std::string &unit) -> void;

// Calls the function repeatedly for about the budget and returns the mean duration of one call in microseconds.
template <typename Function>
auto meanMicroseconds(const Function &function, std::chrono::milliseconds budget = std::chrono::milliseconds(150))
    -> double
{
    using Micros = std::chrono::duration<double, std::micro>;
    const auto start = std::chrono::steady_clock::now();
    auto calls = std::size_t(0);
    auto elapsed = Micros(0);
    do {
        function();
        ++calls;
        elapsed = std::chrono::steady_clock::now() - start;
    } while (elapsed < budget);
    return elapsed.count() / static_cast<double>(calls);
}

} // namespace jasminewood::slopes
