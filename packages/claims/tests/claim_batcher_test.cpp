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

const testkit::TestSuite story = {"a batch of claims",
    {
        section("that is not full",
            {
                // Guards against claims that wait for others without a bound.
                test("is handed out when its oldest claim has waited long enough",
                    [] {
                        auto batch = ClaimBatcher();
                        check(!batch.nextBatchTime() && !batch.add(AwaitEvent {}, start));
                        batch.add(read(1), start);
                        batch.add(read(2), start + Milliseconds(1));
                        check(!batch.takeBatch(start + Milliseconds(1)));
                        check(batch.nextBatchTime() == start + maximumBatchWait);
                        check(batch.takeBatch(start + maximumBatchWait)->size() == 2 && !batch.nextBatchTime());
                    }),
            }),
        section("that is full",
            {
                // Guards against a transaction with more operations than the key-value service accepts.
                test("is handed out at once and leaves the rest",
                    [] {
                        auto batch = ClaimBatcher();
                        for (auto number = 0; number <= int(maximumBatchClaims); ++number) {
                            batch.add(read(number), start);
                        }
                        check(batch.takeBatch(start)->size() == maximumBatchClaims);
                        check(!batch.takeBatch(start) && batch.takeBatch(start + maximumBatchWait)->size() == 1);
                    }),
            }),
        section("with two calls for one key",
            {
                // Guards against a transaction that etcd refuses because it writes a key twice, and against an outcome
                // that reaches another claim.
                test("sends the second in the next batch and pairs outcomes with their calls",
                    [] {
                        auto batch = ClaimBatcher();
                        const auto first = batch.add(read(1), start);
                        const auto second = batch.add(read(1), start);
                        const auto third = batch.add(read(2), start);
                        const auto taken = batch.takeBatch(start + maximumBatchWait);
                        const auto pairs = matchOutcomes(*taken, {ClaimCreated {7}, ClaimCreated {8}});
                        check(pairs.size() == 2 && pairs[0].first == *first && pairs[1].first == *third);
                        check(std::get<ClaimCreated>(pairs[1].second).revision_ == 8);
                        check(batch.takeBatch(start + maximumBatchWait)->front().id_ == *second);
                    }),
            }),
    }};

} // namespace
