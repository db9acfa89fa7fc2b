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

const testkit::Story story = {"a batch of claims",
    {
        section("that is not full",
            {
                // Guards against claims that wait for others without a bound.
                test("is handed out when its oldest claim has waited long enough",
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
                test("is handed out at once and leaves the rest",
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
                // Guards against a transaction that etcd refuses because it writes a key twice, and against an outcome
                // that reaches another claim.
                test("sends the second in the next batch and pairs outcomes with their calls",
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
