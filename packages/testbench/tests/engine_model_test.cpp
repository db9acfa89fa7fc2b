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

// Generous, because a busy machine may run the tests slowly.
constexpr auto patience = std::chrono::seconds(30);

auto getsSlot(EngineModel &model, EngineModel::Sequence &sequence) -> bool
{
    auto started = std::async(std::launch::async, [&model, &sequence] {
        return model.waitForSlot(sequence);
    });
    if (started.wait_for(patience) != std::future_status::ready) {
        model.end();
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

const testkit::TestSuite story = {"an engine model",
    {
        section("with all slots taken",
            {
                // Guards against an engine that ignores priorities or the order of arrival.
                test("starts by priority number and then by arrival",
                    [] {
                        auto model = EngineModel({.slots_ = 1});
                        const auto running = model.queue(0);
                        const auto last = model.queue(3);
                        const auto second = model.queue(1);
                        const auto first = model.queue(0);
                        const auto third = model.queue(1);
                        check(model.report().running_ == 1 && model.report().waiting_ == 4);
                        model.remove(running);
                        for (const auto &next : {first, second, third, last}) {
                            check(getsSlot(model, *next));
                            model.remove(next);
                        }
                        check(model.report().running_ == 0 && model.report().waiting_ == 0);
                    }),
                // Guards against a waiter that outlives the engine.
                test("releases those that wait when it ends",
                    [] {
                        auto model = EngineModel({.slots_ = 1});
                        const auto running = model.queue(0);
                        const auto waiting = model.queue(0);
                        auto started = std::async(std::launch::async, [&model, waiting] {
                            return model.waitForSlot(*waiting);
                        });
                        model.end();
                        check(!started.get() && !model.decodeToken(*running));
                    }),
            }),
        section("that is loaded or slowed",
            {
                // Guards against a batch, a prompt or a fault without a price, which would hide stragglers.
                test("takes at least the time of its model",
                    [] {
                        auto model = EngineModel({.baseTokenMs_ = 4.0,
                            .batchSlowdown_ = 1.0,
                            .prefillMicrosecondsPerByte_ = 1000.0,
                            .timeScale_ = 0.5});
                        const auto first = model.queue(0);
                        const auto second = model.queue(0);
                        check(timeOf([&] {
                            return model.decodeToken(*first);
                        }) >= Milliseconds(6));
                        const auto prompt = std::string(512, 'p');
                        check(timeOf([&] {
                            return model.prefill(*first, prompt);
                        }) >= Milliseconds(256));
                        model.slow(10.0, std::nullopt);
                        check(timeOf([&] {
                            return model.decodeToken(*second);
                        }) >= Milliseconds(60));
                        model.slow(1e9, Milliseconds(0));
                        check(model.decodeToken(*second));
                    }),
            }),
        section("that reports late",
            {
                // Guards against figures fresher than the lag, which would hide the router's dependence on them.
                test("shows an old load",
                    [] {
                        auto model = EngineModel({.reportLag_ = std::chrono::hours(1)});
                        const auto running = model.queue(0);
                        check(model.report().running_ == 0);
                    }),
            }),
        section("with a prefix cache",
            {
                // Guards against a hit behind a changed block, and against a cache without a bound.
                test("counts whole leading blocks and forgets the oldest",
                    [] {
                        auto cache = PrefixCache(4);
                        const auto prompt = std::string(512, 'a') + std::string(300, 'b');
                        check(cache.use(prompt) == 0);
                        check(cache.use(prompt) == 768);
                        check(cache.use("c" + prompt) == 0);
                        check(cache.use(std::string(1024, 'd')) == 0);
                        check(cache.use(prompt) == 0);
                    }),
            }),
    }};

} // namespace
