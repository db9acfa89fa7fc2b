#include "jasminewood/routing/answer_age.h"

#include <vector>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using testkit::check;
using testkit::section;
using testkit::test;

namespace
{

const auto start = TimePoint(Milliseconds(1'000'000'000));

// Returns an answer that got tokens at these times after its first token.
auto answerWithTokensAt(const std::vector<Milliseconds> &times) -> AnswerAge
{
    auto age = AnswerAge();
    for (const auto time : times) {
        age.recordToken(start + time);
    }
    return age;
}

const testkit::TestSuite suite = {"the age of an answer",
    {
        section("whose upstream crashes",
            {
                // Guards against a request that is taken for harmless because the first event left its upstream before
                // the crash.
                test("accuses the request before the first token, and soon after it",
                    [] {
                        check(AnswerAge().isStarting());
                        check(answerWithTokensAt({0ms}).isStarting());
                        check(answerWithTokensAt({0ms, 500ms, maximumStartTime}).isStarting());
                    }),
                // Guards against sound requests that are refused because many long answers are lost in each crash.
                test("does not accuse it later",
                    [] {
                        check(!answerWithTokensAt({0ms, maximumStartTime + 1ms}).isStarting());
                    }),
                // Guards against a crash that is not counted because this process was short of processor time.
                test("accuses it by the time of the last data, however late the crash is noticed",
                    [] {
                        check(answerWithTokensAt({0ms, 100ms}).isStarting());
                    }),
            }),
        section("that goes on",
            {
                // Guards against sound segments that are refused where hardly an answer completes between two crashes.
                test("shows that the request is harmless long before the answer is complete, again and again",
                    [] {
                        auto age = answerWithTokensAt({0ms, minimumSurvivalTime});
                        check(!age.takeSurvival(start + minimumSurvivalTime));
                        age.recordToken(start + 1'300ms);
                        check(age.takeSurvival(start + 1'300ms));
                        check(!age.takeSurvival(start + 1'300ms + survivalInterval - 1ms));
                        check(age.takeSurvival(start + 1'300ms + survivalInterval));
                    }),
                // Guards against a deadly request that is taken for harmless because its second event was read late.
                test("does not look older because its data waited to be read",
                    [] {
                        auto age = answerWithTokensAt({0ms, 5'000ms});
                        check(!age.takeSurvival(start + 5'000ms));
                    }),
                test("shows nothing before its first token",
                    [] {
                        check(!AnswerAge().takeSurvival(start));
                    }),
            }),
    }};

} // namespace
