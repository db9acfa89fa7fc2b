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
                        auto batch = ClaimBatch();
                        check(!batch.due() && !batch.add(AwaitEvent {}, start));
                        batch.add(read(1), start);
                        batch.add(read(2), start + Milliseconds(1));
                        check(!batch.take(start + Milliseconds(1)));
                        check(batch.due() == start + maximumBatchWait);
                        check(batch.take(start + maximumBatchWait)->size() == 2 && !batch.due());
                    }),
            }),
        section("that is full",
            {
                // Guards against a transaction with more operations than the key-value service accepts.
                test("is handed out at once and leaves the rest",
                    [] {
                        auto batch = ClaimBatch();
                        for (auto number = 0; number <= int(maximumBatchClaims); ++number) {
                            batch.add(read(number), start);
                        }
                        check(batch.take(start)->size() == maximumBatchClaims);
                        check(!batch.take(start) && batch.take(start + maximumBatchWait)->size() == 1);
                    }),
            }),
        section("with two calls for one key",
            {
                // Guards against a transaction that etcd refuses because it writes a key twice, and against an outcome
                // that reaches another claim.
                test("sends the second in the next batch and pairs outcomes with their calls",
                    [] {
                        auto batch = ClaimBatch();
                        const auto first = batch.add(read(1), start);
                        const auto second = batch.add(read(1), start);
                        const auto third = batch.add(read(2), start);
                        const auto taken = batch.take(start + maximumBatchWait);
                        const auto pairs = distribute(*taken, {Created {7}, Created {8}});
                        check(pairs.size() == 2 && pairs[0].first == *first && pairs[1].first == *third);
                        check(std::get<Created>(pairs[1].second).revision_ == 8);
                        check(batch.take(start + maximumBatchWait)->front().ticket_ == *second);
                    }),
            }),
    }};

} // namespace
