#include "store_calls.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <fmt/format.h>

#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/router/claim_store.h"
#include "jasminewood/testbench/fake_kv.h"
#include "report.h"

namespace jasminewood::slopes
{

namespace
{

constexpr std::uint64_t storeSeed = 11;

auto newClaim(const std::string &series, std::size_t index) -> claims::Action
{
    return claims::CreateClaim {.key_ = fmt::format("/jasminewood/claims/{}-{:060}", series, index),
        .record_ = claims::ClaimRecord {.attempt_ = {.requestId_ = fmt::format("r-{}-{}", series, index), .number_ = 1},
            .router_ = {.name_ = "router-lj-a-01", .incarnation_ = 1},
            .agent_ = {.name_ = "agent-lj-a-01", .incarnation_ = 1}}};
}

// Creates claims concurrently, each on its own thread, and returns when all calls have returned.
auto claimConcurrently(router::ClaimStore &store, const std::string &series, std::size_t count) -> void
{
    auto threads = std::vector<std::thread>();
    auto mutex = std::mutex();
    auto released = std::condition_variable();
    auto started = false;
    for (auto index = std::size_t(0); index < count; ++index) {
        threads.emplace_back([&, index]() -> void {
            auto lock = std::unique_lock(mutex);
            released.wait(lock, [&]() -> bool {
                return started;
            });
            lock.unlock();
            static_cast<void>(store.perform(newClaim(series, index)));
        });
    }
    {
        const auto lock = std::lock_guard(mutex);
        started = true;
    }
    released.notify_all();
    for (auto &thread : threads) {
        thread.join();
    }
}

auto measure(router::ClaimStore &store, platform::KeyValueClient &keyValues) -> void
{
    auto sequential = Points();
    auto concurrent = Points();
    for (const auto count : {1, 4, 16, 64, 128}) {
        auto before = keyValues.calls();
        for (auto index = 0; index < count; ++index) {
            static_cast<void>(store.perform(newClaim(fmt::format("alone-{}", count), std::size_t(index))));
        }
        sequential.push_back(Point {double(count), double(keyValues.calls() - before)});
        before = keyValues.calls();
        claimConcurrently(store, fmt::format("together-{}", count), std::size_t(count));
        concurrent.push_back(Point {double(count), double(keyValues.calls() - before)});
    }
    printSlope("key-value calls per claim, one at a time", sequential, "calls");
    printSlope("key-value calls per claim, all at once", concurrent, "calls");
}

} // namespace

auto measureClaimCalls() -> void
{
    const auto fake = testbench::FakeKv::start({});
    if (!fake) {
        return;
    }
    const auto keyValues = std::make_shared<platform::KeyValueClient>(
        platform::KeyValueOptions {.url_ = fmt::format("http://127.0.0.1:{}", (*fake)->port())});
    auto registry = kernel::ServiceRegistry();
    registry.add("environment",
        std::make_shared<node::Environment>(
            node::createIdentity("slopes", wire::Role::Router, "lj-a", ""), observe::Level::Error));
    const auto store = std::make_shared<router::ClaimStore>(keyValues, storeSeed);
    registry.add("claims", store);
    if (registry.startAll()) {
        return;
    }
    // The first claim also grants the lease, which all claims of one hour share, so it isn't measured.
    static_cast<void>(store->perform(newClaim("first", 0)));
    measure(*store, *keyValues);
    registry.stopAll();
    (*fake)->stop();
}

} // namespace jasminewood::slopes
