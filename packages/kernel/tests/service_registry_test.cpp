#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/testkit/test_suite.h"

#include <string>
#include <vector>

using namespace jasminewood;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

struct Recorder
{
    std::vector<std::string> *events_;
    std::string name_;
    bool fails_ = false;

    auto start(const kernel::ServiceRegistry & /*services*/) -> Status
    {
        events_->push_back("start " + name_);
        if (fails_) {
            return Failure {.step_ = "bind", .reason_ = "address in use"};
        }
        return std::nullopt;
    }

    auto stop() -> void
    {
        events_->push_back("stop " + name_);
    }
};

struct Other
{
    auto start(const kernel::ServiceRegistry & /*services*/) -> Status
    {
        return std::nullopt;
    }

    auto stop() -> void
    {
    }
};

auto recorder(std::vector<std::string> &events, const std::string &name, bool fails = false)
    -> std::shared_ptr<Recorder>
{
    return std::make_shared<Recorder>(Recorder {.events_ = &events, .name_ = name, .fails_ = fails});
}

const testkit::TestSuite story = {"a registry",
    {
        section("whose services all start",
            {
                // Guards against a service that outlives one it depends on.
                test("stops them in reverse order",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", recorder(events, "first"));
                        registry.add("second", recorder(events, "second"));
                        check(!registry.startAll());
                        registry.stopAll();
                        registry.stopAll();
                        check(events
                            == std::vector<std::string> {"start first", "start second", "stop second", "stop first"});
                    }),
            }),
        section("with a service that fails to start",
            {
                // Guards against a half-started program and against a failure that does not name its service.
                test("stops the earlier ones and names the failed one",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", recorder(events, "first"));
                        registry.add("broken", recorder(events, "broken", true));
                        registry.add("never", recorder(events, "never"));
                        const auto failure = registry.startAll();
                        check(failure.has_value());
                        check(failure->peer_ == "broken" && failure->step_ == "bind");
                        check(events == std::vector<std::string> {"start first", "start broken", "stop first"});
                    }),
            }),
        section("asked for a service",
            {
                // Guards against handles of the wrong type.
                test("fails on an unknown name and on another type",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", recorder(events, "first"));
                        check(bool(registry.find<Recorder>("first")));
                        check(!registry.find<Recorder>("absent"));
                        check(!registry.find<Other>("first"));
                    }),
            }),
    }};

} // namespace
