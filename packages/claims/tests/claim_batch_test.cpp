#include "jasminewood/claims/claim_batch.h"

#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::claims;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const auto start = TimePoint();

auto read(int number) -> Action
{
    return ReadBack {.key_ = "k" + std::to_string(number)};
}

const testkit::Story story = {"a batch of store calls",
    {
        section("that is not full",
            {
                // Guards against calls that wait for further calls without a time limit.
                test("is returned when its oldest call has waited for the maximum time",
                    [] {
                        auto batcher = ClaimBatch();
                        check(!batcher.due() && !batcher.add(AwaitEvent {}, start));
                        batcher.add(read(1), start);
                        batcher.add(read(2), start + Milliseconds(1));
                        check(!batcher.take(start + Milliseconds(1)));
                        check(batcher.due() == start + maximumBatchWait);
                        check(batcher.take(start + maximumBatchWait)->size() == 2 && !batcher.due());
                    }),
            }),
        section("that is full",
            {
                // Guards against a transaction with more operations than the key-value service accepts.
                test("is returned at once without the calls that exceed its limit",
                    [] {
                        auto batcher = ClaimBatch();
                        for (auto number = 0; number <= int(maximumBatchClaims); ++number) {
                            batcher.add(read(number), start);
                        }
                        check(batcher.take(start)->size() == maximumBatchClaims);
                        check(!batcher.take(start) && batcher.take(start + maximumBatchWait)->size() == 1);
                    }),
            }),
        section("with two calls for one key",
            {
                // Guards against a transaction that etcd rejects because it writes a key twice, and against an outcome
                // that is matched with another call.
                test("leaves the second to the next batch and matches outcomes with their calls",
                    [] {
                        auto batcher = ClaimBatch();
                        const auto first = batcher.add(read(1), start);
                        const auto second = batcher.add(read(1), start);
                        const auto third = batcher.add(read(2), start);
                        const auto firstBatch = batcher.take(start + maximumBatchWait);
                        const auto pairs = distribute(*firstBatch, {Created {7}, Created {8}});
                        check(pairs.size() == 2 && pairs[0].first == *first && pairs[1].first == *third);
                        check(std::get<Created>(pairs[1].second).revision_ == 8);
                        check(batcher.take(start + maximumBatchWait)->front().ticket_ == *second);
                    }),
            }),
    }};

} // namespace
