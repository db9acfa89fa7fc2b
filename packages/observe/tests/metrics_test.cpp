#include "jasminewood/observe/metrics.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto contains(const observe::Metrics &metrics, const std::string &line) -> bool
{
    return metrics.text().find(line) != std::string::npos;
}

const testkit::TestSuite suite = {"the metrics of a process",
    {
        section("used as declared",
            {
                // Guards against two lookups that create separate series, and against dangling handles.
                test("appear in the exposition by name and labels",
                    [] {
                        const auto metrics = observe::Metrics();
                        metrics.counter("shed_total", "shed", {{"class", "chat"}}).add();
                        metrics.counter("shed_total", "shed", {{"class", "chat"}}).add(2);
                        metrics.gauge("queued", "queued").set(5);
                        metrics.gauge("queued", "queued").add(-1);
                        metrics.histogram("wait_seconds", "wait", {}, {0.1, 1}).observe(0.5);
                        check(contains(metrics, "shed_total{class=\"chat\"} 3"));
                        check(contains(metrics, "queued 4"));
                        check(contains(metrics, "wait_seconds_bucket{le=\"1\"} 1"));
                        check(contains(metrics, "jasminewood_metric_faults_total 0"));
                        const auto survivor = observe::Metrics().counter("a_total", "a");
                        survivor.add();
                    }),
            }),
        section("used with another type, other labels or a bad name",
            {
                // Guards against an exception during a request because of a metric.
                test("count a fault and throw no exception",
                    [] {
                        const auto metrics = observe::Metrics();
                        metrics.counter("a_total", "a", {{"class", "chat"}}).add();
                        metrics.counter("a_total", "a", {{"tier", "0"}}).add();
                        metrics.gauge("a_total", "a", {{"class", "chat"}}).set(9);
                        metrics.counter("not a name", "a").add();
                        check(contains(metrics, "a_total{class=\"chat\"} 1"));
                        check(contains(metrics, "jasminewood_metric_faults_total 3"));
                    }),
            }),
    }};

} // namespace
