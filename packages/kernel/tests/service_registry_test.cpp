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

struct RecordingService
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

struct OtherService
{
    auto start(const kernel::ServiceRegistry & /*services*/) -> Status
    {
        return std::nullopt;
    }

    auto stop() -> void
    {
    }
};

auto makeRecordingService(std::vector<std::string> &events, const std::string &name, bool fails = false)
    -> std::shared_ptr<RecordingService>
{
    return std::make_shared<RecordingService>(RecordingService {.events_ = &events, .name_ = name, .fails_ = fails});
}

const testkit::TestSuite suite = {"a registry",
    {
        section("whose services all start",
            {
                // Guards against a service that outlives one it depends on.
                test("stops them in reverse order",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", makeRecordingService(events, "first"));
                        registry.add("second", makeRecordingService(events, "second"));
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
                test("stops the earlier services and names the failed one",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", makeRecordingService(events, "first"));
                        registry.add("broken", makeRecordingService(events, "broken", true));
                        registry.add("never", makeRecordingService(events, "never"));
                        const auto failure = registry.startAll();
                        check(failure.has_value());
                        check(failure->peer_ == "broken" && failure->step_ == "bind");
                        check(events == std::vector<std::string> {"start first", "start broken", "stop first"});
                    }),
            }),
        section("asked for a service",
            {
                // Guards against a pointer of the wrong type.
                test("fails for an unknown name and for a different type",
                    [] {
                        auto events = std::vector<std::string>();
                        auto registry = kernel::ServiceRegistry();
                        registry.add("first", makeRecordingService(events, "first"));
                        check(bool(registry.find<RecordingService>("first")));
                        check(!registry.find<RecordingService>("absent"));
                        check(!registry.find<OtherService>("first"));
                    }),
            }),
    }};

} // namespace
