#include "engine_model.h"

#include <future>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testbench::internal::EngineModel;
using jasminewood::testbench::internal::PrefixCache;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

// Long enough for a heavily loaded machine.
constexpr auto slotTimeout = std::chrono::seconds(30);

auto getsSlot(EngineModel &model, EngineModel::Sequence &sequence) -> bool
{
    auto started = std::async(std::launch::async, [&model, &sequence] {
        return model.waitForSlot(sequence);
    });
    if (started.wait_for(slotTimeout) != std::future_status::ready) {
        model.stop();
    }
    return started.get();
}

template <typename Step>
auto timeOf(Step step) -> Clock::duration
{
    const auto start = Clock::now();
    check(step());
    return Clock::now() - start;
}

const testkit::TestSuite suite = {"an engine model",
    {
        section("with all slots taken",
            {
                // Guards against an engine that ignores priorities or the order of arrival among equal priorities.
                test("admits waiting sequences by priority number and then by arrival",
                    [] {
                        auto model = EngineModel({.slots_ = 1});
                        const auto running = model.enqueue(0);
                        const auto last = model.enqueue(3);
                        const auto second = model.enqueue(1);
                        const auto first = model.enqueue(0);
                        const auto third = model.enqueue(1);
                        check(model.reportedLoad().running_ == 1 && model.reportedLoad().waiting_ == 4);
                        model.remove(running);
                        for (const auto &next : {first, second, third, last}) {
                            check(getsSlot(model, *next));
                            model.remove(next);
                        }
                        check(model.reportedLoad().running_ == 0 && model.reportedLoad().waiting_ == 0);
                    }),
                // Guards against a thread that waits for a slot forever after the engine has stopped.
                test("wakes waiting and running sequences when it stops",
                    [] {
                        auto model = EngineModel({.slots_ = 1});
                        const auto running = model.enqueue(0);
                        const auto waiting = model.enqueue(0);
                        auto started = std::async(std::launch::async, [&model, waiting] {
                            return model.waitForSlot(*waiting);
                        });
                        model.stop();
                        check(!started.get() && !model.decodeToken(*running));
                    }),
            }),
        section("under load or slowed by a fault",
            {
                // Guards against a batch, a prompt or a fault that costs no time, which would hide slow engines from
                // the tests.
                test("takes at least the simulated time",
                    [] {
                        auto model = EngineModel({.baseTokenMs_ = 4.0,
                            .batchSlowdown_ = 1.0,
                            .prefillMicrosecondsPerByte_ = 1000.0,
                            .timeScale_ = 0.5});
                        const auto first = model.enqueue(0);
                        const auto second = model.enqueue(0);
                        check(timeOf([&] {
                            return model.decodeToken(*first);
                        }) >= Milliseconds(6));
                        const auto prompt = std::string(512, 'p');
                        check(timeOf([&] {
                            return model.prefill(*first, prompt);
                        }) >= Milliseconds(256));
                        model.setSlowFactor(10.0, std::nullopt);
                        check(timeOf([&] {
                            return model.decodeToken(*second);
                        }) >= Milliseconds(60));
                        model.setSlowFactor(1e9, Milliseconds(0));
                        check(model.decodeToken(*second));
                    }),
            }),
        section("with a report lag",
            {
                // Guards against load values newer than the lag, which would hide that the router depends on fresh
                // ones.
                test("reports the load before the lag",
                    [] {
                        auto model = EngineModel({.reportLag_ = std::chrono::hours(1)});
                        const auto running = model.enqueue(0);
                        check(model.reportedLoad().running_ == 0);
                    }),
            }),
        section("with a prefix cache",
            {
                // Guards against a hit after a changed block, and against a cache that grows without bound.
                test("counts complete leading blocks and evicts the least recently used",
                    [] {
                        auto cache = PrefixCache(4);
                        const auto prompt = std::string(512, 'a') + std::string(300, 'b');
                        check(cache.lookUpAndInsert(prompt) == 0);
                        check(cache.lookUpAndInsert(prompt) == 768);
                        check(cache.lookUpAndInsert("c" + prompt) == 0);
                        check(cache.lookUpAndInsert(std::string(1024, 'd')) == 0);
                        check(cache.lookUpAndInsert(prompt) == 0);
                    }),
            }),
    }};

} // namespace
