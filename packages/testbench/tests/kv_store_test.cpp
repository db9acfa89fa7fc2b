#include "kv_store.h"

#include <future>
#include <string>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench::internal;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto never() -> bool
{
    return false;
}

auto transaction(const KvTransaction &value) -> KvOperation
{
    return std::make_shared<const KvTransaction>(value);
}

auto createKey(const std::string &key, const std::string &value) -> KvOperation
{
    return transaction({.compares_ = {{.key_ = key, .target_ = KvCompareTarget::CreateRevision}},
        .success_ = {KvPutRequest {.key_ = key, .value_ = value}}});
}

auto entriesOf(KvStore &store, const KvKeyRange &keyRange) -> std::vector<KvEntry>
{
    return std::get<KvRangeResponse>(store.apply(KvRangeRequest {.keyRange_ = keyRange})->response_).entries_;
}

auto succeeded(const KvResponse &response) -> bool
{
    return std::get<std::shared_ptr<const KvTransactionResponse>>(response)->succeeded_;
}

const testkit::TestSuite suite = {"a key-value store",
    {
        section("with several claims in one transaction",
            {
                // Guards against a batch in which one key that exists already affects the claims of the other keys.
                test("evaluates each by the state before the transaction",
                    [] {
                        auto store = KvStore();
                        check(bool(store.apply(KvPutRequest {.key_ = "b", .value_ = "old"})));
                        const auto outcome = store.apply(
                            transaction({.success_ = {createKey("a", "1"), createKey("b", "2"), createKey("c", "3")}}));
                        const auto &responses
                            = std::get<std::shared_ptr<const KvTransactionResponse>>(outcome->response_)->responses_;
                        check(succeeded(responses[0]) && !succeeded(responses[1]) && succeeded(responses[2]));
                        const auto entries = entriesOf(store, {.start_ = "a", .end_ = "d"});
                        check(entries.size() == 3 && entries[1].value_ == "old");
                        check(entries[0].modRevision_ == entries[2].modRevision_);
                    }),
                // Guards against two claims of the same key in one batch that both appear to succeed.
                test("rejects a key that is put twice and writes nothing",
                    [] {
                        auto store = KvStore();
                        const auto before = store.revision();
                        check(!store.apply(transaction({.success_ = {createKey("a", "1"), createKey("a", "2")}})));
                        check(store.revision() == before && entriesOf(store, {.start_ = "a"}).empty());
                    }),
            }),
        section("with a key that is attached to a lease",
            {
                // Guards against a lease expiry that does not wake a waiting watch.
                test("deletes the key when the lease expires and notifies a waiting watch",
                    [] {
                        auto store = KvStore();
                        const auto lease = store.grant(0, std::chrono::seconds(2));
                        const auto written = store.apply(KvPutRequest {.key_ = "a", .lease_ = *lease});
                        check(bool(written) && !store.apply(KvPutRequest {.key_ = "b", .lease_ = *lease + 1}));
                        const auto events = store.waitForEvents({.start_ = "a"}, written->revision_ + 1, &never);
                        check(events.events_.size() == 1 && events.events_[0].deleted_);
                        check(store.keepAlive(*lease) == std::chrono::seconds(0));
                        check(entriesOf(store, {.start_ = "a"}).empty());
                    }),
            }),
        section("watched",
            {
                // Guards against events that are lost between a snapshot and the watch, and against events of other
                // keys.
                test("returns past and future events of the key range in order",
                    [] {
                        auto store = KvStore();
                        for (const auto *key : {"p/1", "q/1", "p/2"}) {
                            check(bool(store.apply(KvPutRequest {.key_ = key})));
                        }
                        const auto past = store.waitForEvents({.start_ = "p/", .end_ = "p0"}, 2, &never);
                        check(past.events_.size() == 2 && past.events_[1].entry_.key_ == "p/2");
                        auto coming = std::async(std::launch::async, [&store, &past] {
                            return store.waitForEvents({.start_ = "p/", .end_ = "p0"}, past.revision_ + 1, &never);
                        });
                        check(bool(store.apply(KvDeleteRequest {.keyRange_ = {.start_ = "p/1"}})));
                        const auto events = coming.get();
                        check(events.events_.size() == 1 && events.events_[0].deleted_);
                    }),
            }),
    }};

} // namespace
