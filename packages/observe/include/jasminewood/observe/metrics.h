#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

// Counters, gauges and histograms of a process, exposed in Prometheus's text format.
//
//     const auto metrics = observe::Metrics();
//     const auto shed = metrics.counter("jasminewood_shed_total", "Requests shed", {{"class", "chat"}});
//     shed.add();
//
// All series of one name have one type and one set of label names. A call that breaks this rule, or whose names
// Prometheus does not accept, returns a handle without effect and increments jasminewood_metric_faults_total.

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace jasminewood::observe
{

using Labels = std::map<std::string, std::string>;

// Handles are cheap to copy and thread-safe, and may outlive the Metrics object. Look a handle up once and keep it.
class Counter
{
public:
    explicit Counter(std::shared_ptr<prometheus::Counter> series);

    // Precondition: amount is not negative.
    auto add(double amount = 1) const -> void;

private:
    std::shared_ptr<prometheus::Counter> series_;
};

class Gauge
{
public:
    explicit Gauge(std::shared_ptr<prometheus::Gauge> series);

    auto set(double value) const -> void;
    auto add(double amount) const -> void;

private:
    std::shared_ptr<prometheus::Gauge> series_;
};

class Histogram
{
public:
    explicit Histogram(std::shared_ptr<prometheus::Histogram> series);

    auto observe(double value) const -> void;

private:
    std::shared_ptr<prometheus::Histogram> series_;
};

// Upper bounds in seconds, from 1 ms to 60 s, for latency histograms.
auto latencyBuckets() -> std::vector<double>;

// Copies share one registry. Thread-safe.
class Metrics
{
public:
    Metrics();

    // Each function returns the series with this name and these labels, and creates it on the first call.
    auto counter(const std::string &name, const std::string &help, const Labels &labels = {}) const -> Counter;
    auto gauge(const std::string &name, const std::string &help, const Labels &labels = {}) const -> Gauge;
    // All series of a name have the buckets of the first call for that name.
    auto histogram(const std::string &name, const std::string &help, const Labels &labels = {},
        const std::vector<double> &buckets = latencyBuckets()) const -> Histogram;

    // Returns all series in Prometheus's text exposition format.
    auto text() const -> std::string;

private:
    struct State;

    std::shared_ptr<State> state_;
};

} // namespace jasminewood::observe
