#include "jasminewood/observe/metrics.h"

#include <exception>
#include <mutex>
#include <set>
#include <typeindex>
#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace jasminewood::observe
{

namespace
{

// What all series of one name have in common.
struct Family
{
    const std::type_index type_;
    const std::set<std::string> labelNames_;
    const std::vector<double> buckets_;

    auto operator==(const Family &other) const -> bool
    {
        return type_ == other.type_ && labelNames_ == other.labelNames_;
    }
};

auto labelNamesOf(const Labels &labels) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (const auto &[name, value] : labels) {
        names.insert(name);
    }
    return names;
}

} // namespace

struct Metrics::State
{
    prometheus::Registry registry_;
    prometheus::Counter &invalidUses_ = prometheus::BuildCounter()
                                            .Name("jasminewood_metric_faults_total")
                                            .Help("Metrics that were requested with wrong names or labels")
                                            .Register(registry_)
                                            .Add({});
    std::mutex mutex_;
    std::map<std::string, Family> families_;

    // Returns the family of this name, added if it is new, or null if its type or label names differ from the wanted
    // ones.
    auto findOrAddFamily(const std::string &name, const Family &wanted) -> const Family *
    {
        const auto lock = std::lock_guard(mutex_);
        const auto [family, isNew] = families_.try_emplace(name, wanted);
        return family->second == wanted ? &family->second : nullptr;
    }

    // Catches the exceptions that prometheus-cpp throws on invalid names, since no exception leaves this package. The
    // handle shares ownership of the registry, so that it may outlive every Metrics object.
    template <typename Series, typename Create>
    static auto series(const std::shared_ptr<State> &state, const std::string &name, const Labels &labels,
        const std::vector<double> &buckets, const Create &create) -> std::shared_ptr<Series>
    {
        const auto wanted = Family {.type_ = typeid(Series), .labelNames_ = labelNamesOf(labels), .buckets_ = buckets};
        const auto *family = state->findOrAddFamily(name, wanted);
        try {
            if (family != nullptr) {
                return std::shared_ptr<Series>(state, &create(state->registry_, family->buckets_));
            }
        } catch (const std::exception &) { // NOLINT: counted below together with mismatched families
        }
        state->invalidUses_.Increment();
        return nullptr;
    }
};

Counter::Counter(std::shared_ptr<prometheus::Counter> series)
    : series_(std::move(series))
{
}

auto Counter::add(double amount) const -> void
{
    if (series_) {
        series_->Increment(amount);
    }
}

Gauge::Gauge(std::shared_ptr<prometheus::Gauge> series)
    : series_(std::move(series))
{
}

auto Gauge::set(double value) const -> void
{
    if (series_) {
        series_->Set(value);
    }
}

auto Gauge::add(double amount) const -> void
{
    if (series_) {
        series_->Increment(amount);
    }
}

Histogram::Histogram(std::shared_ptr<prometheus::Histogram> series)
    : series_(std::move(series))
{
}

auto Histogram::observe(double value) const -> void
{
    if (series_) {
        series_->Observe(value);
    }
}

auto latencyBuckets() -> std::vector<double>
{
    return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};
}

Metrics::Metrics()
    : state_(std::make_shared<State>())
{
}

auto Metrics::counter(const std::string &name, const std::string &help, const Labels &labels) const -> Counter
{
    const auto create = [&](prometheus::Registry &registry, const std::vector<double> &) -> prometheus::Counter & {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
    };
    return Counter(State::series<prometheus::Counter>(state_, name, labels, {}, create));
}

auto Metrics::gauge(const std::string &name, const std::string &help, const Labels &labels) const -> Gauge
{
    const auto create = [&](prometheus::Registry &registry, const std::vector<double> &) -> prometheus::Gauge & {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add(labels);
    };
    return Gauge(State::series<prometheus::Gauge>(state_, name, labels, {}, create));
}

auto Metrics::histogram(const std::string &name, const std::string &help, const Labels &labels,
    const std::vector<double> &buckets) const -> Histogram
{
    const auto create
        = [&](prometheus::Registry &registry, const std::vector<double> &bounds) -> prometheus::Histogram & {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add(labels, bounds);
    };
    return Histogram(State::series<prometheus::Histogram>(state_, name, labels, buckets, create));
}

auto Metrics::text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(state_->registry_.Collect());
}

} // namespace jasminewood::observe
