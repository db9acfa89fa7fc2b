#include "jasminewood/claims/claim_batcher.h"

#include "jasminewood/testkit/test_suite.h"

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
    return ReadClaim {.key_ = "k" + std::to_string(number)};
}

const testkit::TestSuite suite = {"a batch of store calls",
    {
        section("that is not full",
            {
                // Guards against calls that wait for further calls without a time limit.
                test("is returned when its oldest call has waited for the maximum time",
                    [] {
                        auto batcher = ClaimBatcher();
                        check(!batcher.nextBatchTime() && !batcher.add(AwaitEvent {}, start));
                        batcher.add(read(1), start);
                        batcher.add(read(2), start + Milliseconds(1));
                        check(!batcher.takeBatch(start + Milliseconds(1)));
                        check(batcher.nextBatchTime() == start + maximumBatchWait);
                        check(batcher.takeBatch(start + maximumBatchWait)->size() == 2 && !batcher.nextBatchTime());
                    }),
            }),
        section("that is full",
            {
                // Guards against a transaction with more operations than the key-value service accepts.
                test("is returned at once without the calls that exceed its limit",
                    [] {
                        auto batcher = ClaimBatcher();
                        for (auto number = 0; number <= int(maximumBatchClaims); ++number) {
                            batcher.add(read(number), start);
                        }
                        check(batcher.takeBatch(start)->size() == maximumBatchClaims);
                        check(!batcher.takeBatch(start) && batcher.takeBatch(start + maximumBatchWait)->size() == 1);
                    }),
            }),
        section("with two calls for one key",
            {
                // Guards against a transaction that etcd rejects because it writes a key twice, and against an outcome
                // that is matched with another call.
                test("leaves the second to the next batch and matches outcomes with their calls",
                    [] {
                        auto batcher = ClaimBatcher();
                        const auto first = batcher.add(read(1), start);
                        const auto second = batcher.add(read(1), start);
                        const auto third = batcher.add(read(2), start);
                        const auto firstBatch = batcher.takeBatch(start + maximumBatchWait);
                        const auto pairs = matchOutcomes(*firstBatch, {ClaimCreated {7}, ClaimCreated {8}});
                        check(pairs.size() == 2 && pairs[0].first == *first && pairs[1].first == *third);
                        check(std::get<ClaimCreated>(pairs[1].second).revision_ == 8);
                        check(batcher.takeBatch(start + maximumBatchWait)->front().id_ == *second);
                    }),
            }),
    }};

} // namespace
