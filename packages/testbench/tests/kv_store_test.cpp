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
    return transaction({.compares_ = {{.key_ = key, .target_ = KvTarget::Create}},
        .success_ = {KvPut {.key_ = key, .value_ = value}}});
}

auto entriesOf(KvStore &store, const KvSpan &span) -> std::vector<KvEntry>
{
    return std::get<KvRangeAnswer>(store.apply(KvRange {.span_ = span})->answer_).entries_;
}

auto succeeded(const KvAnswer &answer) -> bool
{
    return std::get<std::shared_ptr<const KvTransactionAnswer>>(answer)->succeeded_;
}

const testkit::TestSuite story = {"a key-value store",
    {
        section("given several claims in one transaction",
            {
                // Guards against a group in which one taken key spoils or hides the others.
                test("decides each by the state before the transaction",
                    [] {
                        auto store = KvStore();
                        check(bool(store.apply(KvPut {.key_ = "b", .value_ = "old"})));
                        const auto outcome = store.apply(
                            transaction({.success_ = {createKey("a", "1"), createKey("b", "2"), createKey("c", "3")}}));
                        const auto &answers
                            = std::get<std::shared_ptr<const KvTransactionAnswer>>(outcome->answer_)->answers_;
                        check(succeeded(answers[0]) && !succeeded(answers[1]) && succeeded(answers[2]));
                        const auto entries = entriesOf(store, {.start_ = "a", .end_ = "d"});
                        check(entries.size() == 3 && entries[1].value_ == "old");
                        check(entries[0].modRevision_ == entries[2].modRevision_);
                    }),
                // Guards against two claims of one key in a group that both seem to win.
                test("refuses a key that is put twice and writes nothing",
                    [] {
                        auto store = KvStore();
                        const auto before = store.revision();
                        check(!store.apply(transaction({.success_ = {createKey("a", "1"), createKey("a", "2")}})));
                        check(store.revision() == before && entriesOf(store, {.start_ = "a"}).empty());
                    }),
            }),
        section("with a key under a lease",
            {
                // Guards against an expiry that a waiting watch does not see.
                test("deletes it at the end of the lease and tells a waiting watch",
                    [] {
                        auto store = KvStore();
                        const auto lease = store.grant(0, std::chrono::seconds(2));
                        const auto written = store.apply(KvPut {.key_ = "a", .lease_ = *lease});
                        check(bool(written) && !store.apply(KvPut {.key_ = "b", .lease_ = *lease + 1}));
                        const auto events = store.waitForEvents({.start_ = "a"}, written->revision_ + 1, &never);
                        check(events.events_.size() == 1 && events.events_[0].deleted_);
                        check(store.keepAlive(*lease) == std::chrono::seconds(0));
                        check(entriesOf(store, {.start_ = "a"}).empty());
                    }),
            }),
        section("watched",
            {
                // Guards against events that are lost between a snapshot and the watch, or that belong to other keys.
                test("gives past and coming events of the span in order",
                    [] {
                        auto store = KvStore();
                        for (const auto *key : {"p/1", "q/1", "p/2"}) {
                            check(bool(store.apply(KvPut {.key_ = key})));
                        }
                        const auto past = store.waitForEvents({.start_ = "p/", .end_ = "p0"}, 2, &never);
                        check(past.events_.size() == 2 && past.events_[1].entry_.key_ == "p/2");
                        auto coming = std::async(std::launch::async, [&store, &past] {
                            return store.waitForEvents({.start_ = "p/", .end_ = "p0"}, past.revision_ + 1, &never);
                        });
                        check(bool(store.apply(KvDelete {.span_ = {.start_ = "p/1"}})));
                        const auto events = coming.get();
                        check(events.events_.size() == 1 && events.events_[0].deleted_);
                    }),
            }),
    }};

} // namespace
