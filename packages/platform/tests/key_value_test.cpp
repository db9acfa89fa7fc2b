#include "jasminewood/platform/key_value.h"

#include <future>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"
#include "jasminewood/platform/base64.h"
#include "jasminewood/testbench/fake_kv.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::platform;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using nlohmann::json;

namespace
{

// Long, because tests may run slowly on a busy machine.
constexpr auto waitTimeout = std::chrono::seconds(30);

// A fake key-value service and a client of it.
struct ServiceAndClient
{
    std::shared_ptr<testbench::FakeKv> service_ = *testbench::FakeKv::start({});
    std::string url_ = "http://127.0.0.1:" + std::to_string(service_->port());
    KeyValueClient client_ = KeyValueClient({.url_ = url_, .timeout_ = Milliseconds(30'000)});

    auto injectFault(const json &body) const -> void
    {
        const auto result = http::fetch({.method_ = "POST", .url_ = url_ + "/fault", .body_ = body.dump()});
        check(result && result->status_ == 200, "the fault is injected");
    }
};

auto claimOperation(const std::string &key, const std::string &value) -> NestedTransaction
{
    return {.transaction_ = std::make_shared<const Transaction>(Transaction {.conditions_ = {KeyAbsent {.key_ = key}},
                .onSuccess_ = {PutKey {.key_ = key, .value_ = value}},
                .onFailure_ = {ReadKey {.key_ = key}}})};
}

auto describe(const WatchEvent &event) -> std::string
{
    const auto *put = std::get_if<KeyPut>(&event);
    return put != nullptr ? "put " + put->entry_.key_ : "delete " + std::get<KeyDeleted>(event).key_;
}

// Repeats a call until its result satisfies the condition. Returns false after waitTimeout.
template <typename Call, typename Condition>
auto waitUntil(Call call, Condition condition) -> bool
{
    const auto end = Clock::now() + waitTimeout;
    while (Clock::now() < end) {
        if (condition(call())) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return false;
}

const testkit::TestSuite writes = {"a key-value client",
    {
        section("whose service answers a transaction with too few outcomes",
            {
                // Guards against a caller that reads the outcome of an operation that has none.
                test("fails, and the transaction may have run",
                    [] {
                        const auto service = *http::Server::start({}, [](const http::Request &) -> http::Response {
                            return http::BufferedResponse {
                                .body_ = R"({"header":{"revision":"1"},"succeeded":true,"responses":[]})"};
                        });
                        auto client = KeyValueClient({.url_ = "http://127.0.0.1:" + std::to_string(service->port())});
                        const auto outcome = client.transaction({.onSuccess_ = {ReadKey {.key_ = "a"}}});
                        check(!outcome && outcome.failure().runState_ == RunState::MayHaveRun);
                    }),
            }),
        section("that writes on a condition",
            {
                // Guards against two claimants that both succeed.
                test("creates a key once and returns the current entry to the second writer",
                    [] {
                        auto pair = ServiceAndClient();
                        const auto first = pair.client_.createIfAbsent("/c/1", "one");
                        const auto second = pair.client_.createIfAbsent("/c/1", "two");
                        check(first->written_ && !second->written_);
                        check(second->current_->value_ == "one");
                        check(second->current_->modRevision_ == first->revision_);
                    }),
                // Guards against a stale writer that overwrites a newer value.
                test("swaps a value only at the expected revision",
                    [] {
                        auto pair = ServiceAndClient();
                        const auto created = pair.client_.put("/m", std::string("bytes\0\xff", 7));
                        const auto swapped = pair.client_.compareAndSwap("/m", created->revision_, "new");
                        const auto stale = pair.client_.compareAndSwap("/m", created->revision_, "stale");
                        check(swapped->written_ && !stale->written_ && stale->current_->value_ == "new");
                        check((*pair.client_.get("/m"))->modRevision_ == swapped->revision_);
                        check(*pair.client_.remove("/m") && !*pair.client_.remove("/m"));
                        check(!pair.client_.get("/m")->has_value());
                    }),
                // Guards against a writer that takes one of two keys which belong together.
                test("writes several keys only if all of them have the expected revisions",
                    [] {
                        auto pair = ServiceAndClient();
                        const auto first = pair.client_.put("/a", "first");
                        const auto write = [&pair](Revision a, Revision b) {
                            return pair.client_.writeAll(
                                {.conditions_ = {{.key_ = "/a", .revision_ = a}, {.key_ = "/b", .revision_ = b}},
                                    .puts_ = {{.key_ = "/a", .value_ = "new"}, {.key_ = "/b", .value_ = "new"}}});
                        };
                        check(!write(0, 0)->written_ && !write(first->revision_, 7)->written_);
                        check(!pair.client_.get("/b")->has_value());
                        const auto written = write(first->revision_, 0);
                        check(written->written_ && (*pair.client_.get("/b"))->modRevision_ == written->revision_);
                    }),
                // Guards against one call per claim, and against a group of claims that fails as a whole.
                test("writes a group of claims in one call",
                    [] {
                        auto pair = ServiceAndClient();
                        check(bool(pair.client_.put("/c/2", "taken")));
                        const auto before = pair.client_.callCount();
                        const auto outcome = pair.client_.transaction({.onSuccess_
                            = {claimOperation("/c/1", "a"), claimOperation("/c/2", "b"), claimOperation("/c/3", "c")}});
                        check(pair.client_.callCount() == before + 1 && outcome->operations_.size() == 3);
                        check(outcome->operations_[0].nested_->succeeded_);
                        check(!outcome->operations_[1].nested_->succeeded_);
                        check(outcome->operations_[1].nested_->operations_[0].found_->value_ == "taken");
                        check(pair.client_.getPrefix("/c/")->entries_.size() == 3);
                        const auto twice = pair.client_.transaction(
                            {.onSuccess_ = {claimOperation("/d", "a"), claimOperation("/d", "b")}});
                        check(!twice && twice.failure().runState_ == RunState::NotRun);
                    }),
            }),
        section("with a lease",
            {
                // Guards against a lease that is considered valid after its end.
                test("keeps it alive until it is revoked",
                    [] {
                        auto pair = ServiceAndClient();
                        const auto lease = pair.client_.grantLease(std::chrono::seconds(60));
                        check(pair.client_.createIfAbsent("/l", "x", lease->id_)->written_);
                        check(*pair.client_.keepAlive(*lease) == std::chrono::seconds(60));
                        check(!pair.client_.revokeLease(*lease) && pair.client_.revokeLease(*lease).has_value());
                        check(*pair.client_.keepAlive(*lease) == std::chrono::seconds(0));
                        check(!pair.client_.get("/l")->has_value());
                    }),
            }),
    }};

const testkit::TestSuite faults = {"a key-value client",
    {
        section("whose response is lost",
            {
                // Guards against a claim that was written but is reported as not run.
                test("reports that the call may have run, and the value shows that it ran",
                    [] {
                        auto pair = ServiceAndClient();
                        pair.injectFault({{"lose_answers", 1}});
                        const auto lost = pair.client_.createIfAbsent("/c/1", "attempt-1");
                        check(!lost && lost.failure().runState_ == RunState::MayHaveRun);
                        check(lost.failure().retryAfter_.has_value());
                        const auto again = pair.client_.createIfAbsent("/c/1", "attempt-1");
                        check(!again->written_ && again->current_->value_ == "attempt-1");
                    }),
            }),
        section("whose service is down",
            {
                // Guards against a refused connection that is reported as possibly run, and against a client that does
                // not recover after the outage.
                test("reports that the call did not run, and recovers afterwards",
                    [] {
                        auto pair = ServiceAndClient();
                        check(bool(pair.client_.put("/k", "v")));
                        pair.injectFault({{"down_ms", 1000}});
                        check(waitUntil(
                            [&pair] {
                                return pair.client_.get("/k");
                            },
                            [](const auto &result) {
                                return !result && result.failure().runState_ == RunState::NotRun;
                            }));
                        check(waitUntil(
                            [&pair] {
                                return pair.client_.get("/k");
                            },
                            [](const auto &result) {
                                return result && (*result)->value_ == "v";
                            }));
                    }),
            }),
        section("whose service is frozen or slow",
            {
                // Guards against a call that outlives its deadline.
                test("fails at the deadline and reports that the call may have run",
                    [] {
                        const auto pair = ServiceAndClient();
                        auto shortTimeoutClient = KeyValueClient({.url_ = pair.url_, .timeout_ = Milliseconds(50)});
                        for (const auto &fault :
                            {json {{"slow_ms", 60'000}, {"for_ms", 60'000}}, json {{"freeze_ms", 60'000}}}) {
                            pair.injectFault(fault);
                            const auto result = shortTimeoutClient.get("/k");
                            check(!result && result.failure().runState_ == RunState::MayHaveRun);
                            check(result.failure().step_ == "kv get" && pair.url_.ends_with(result.failure().peer_));
                        }
                    }),
            }),
    }};

const testkit::TestSuite watches = {"a key-value client",
    {
        section("that watches a prefix",
            {
                // Guards against changes lost between a snapshot and the watch.
                test("receives all changes from a revision on, in order, until it is cancelled",
                    [] {
                        auto pair = ServiceAndClient();
                        check(bool(pair.client_.put("/w/0", "x")));
                        const auto snapshot = pair.client_.getPrefix("/w/");
                        check(bool(pair.client_.put("/w/1", "x")) && bool(pair.client_.put("/other", "x")));
                        auto call = WatchCall();
                        auto events = std::vector<std::string>();
                        auto complete = std::promise<void>();
                        const auto request
                            = WatchRequest {.key_ = "/w/", .isPrefix_ = true, .after_ = snapshot->position_};
                        auto ended = std::async(std::launch::async, [&] {
                            return pair.client_.watch(request, call, [&](const WatchEvent &event) {
                                events.push_back(describe(event));
                                if (events.size() == 3) {
                                    complete.set_value();
                                }
                            });
                        });
                        check(bool(pair.client_.put("/w/2", "x")) && *pair.client_.remove("/w/0"));
                        check(complete.get_future().wait_for(waitTimeout) == std::future_status::ready);
                        call.cancel();
                        const auto reason = ended.get();
                        check(!reason && reason.failure().step_ == "cancel");
                        check(events == std::vector<std::string> {"put /w/1", "put /w/2", "delete /w/0"});
                    }),
                // Guards against a watch that waits forever on a silently broken connection, and against lost or
                // repeated events when the watch starts again.
                test("returns at its timeout with the revision to continue from",
                    [] {
                        auto pair = ServiceAndClient();
                        const auto written = pair.client_.put("/w", "x");
                        auto call = WatchCall();
                        auto count = 0;
                        const auto next = pair.client_.watch({.key_ = "/w",
                                                                 .after_ = {.revision_ = written->revision_ - 1},
                                                                 .timeout_ = Milliseconds(200)},
                            call, [&count](const WatchEvent &) {
                                ++count;
                            });
                        check(bool(next) && next->revision_ == written->revision_ - 1 + count);
                    }),
                // Guards against a watch that hangs through an outage.
                test("fails when the service goes down",
                    [] {
                        auto pair = ServiceAndClient();
                        auto call = WatchCall();
                        auto begun = std::promise<void>();
                        auto ended = std::async(std::launch::async, [&] {
                            return pair.client_.watch({.key_ = "/w"}, call, [&begun](const WatchEvent &) {
                                begun.set_value();
                            });
                        });
                        check(waitUntil(
                            [&pair] {
                                return http::fetch({.url_ = pair.url_ + "/calls"});
                            },
                            [](const auto &calls) {
                                return json::parse(calls->body_).value("watch", 0) == 1;
                            }));
                        pair.injectFault({{"down_ms", 10}});
                        const auto reason = ended.get();
                        check(!reason && reason.failure().step_ == "kv watch");
                    }),
            }),
    }};

const testkit::TestSuite encoding = {"base64",
    {
        // Guards against keys and values of any length, also with zero bytes, that change in encoding.
        testkit::property("returns the bytes that were encoded",
            [] {
                const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
                RC_ASSERT(decodeBase64(encodeBase64(bytes)) == bytes);
            }),
    }};

} // namespace
