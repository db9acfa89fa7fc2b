#include "jasminewood/routing/prefill_rate.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto estimateAfter(const std::vector<std::pair<std::uint64_t, Milliseconds>> &samples, int repetitions) -> std::uint64_t
{
    auto rate = PrefillRate();
    for (auto repetition = 0; repetition < repetitions; ++repetition) {
        for (const auto &[tokens, time] : samples) {
            rate.record(tokens, 1, time);
        }
    }
    return rate.tokensIn(100ms);
}

const testkit::TestSuite suite = {"an estimate of the prefill rate",
    {
        section("from times to first token",
            {
                // Guards against a rate that fits only the engines of one deployment.
                test("follows faster and slower engines",
                    [] {
                        const auto fast = estimateAfter({{9'000, 90ms}}, 100);
                        const auto slow = estimateAfter({{9'000, 900ms}}, 100);
                        check(fast > 9'000 && fast < 11'000, std::to_string(fast));
                        check(slow > 900 && slow < 1'100, std::to_string(slow));
                    }),
                // Guards against requests that look fast because the engine had their prefix cached.
                test("is not misled by a quarter of requests with unknown cached prefixes",
                    [] {
                        const auto rate
                            = estimateAfter({{9'000, 300ms}, {9'000, 20ms}, {9'000, 320ms}, {9'000, 310ms}}, 100);
                        check(rate > 2'500 && rate < 3'500, std::to_string(rate));
                    }),
                // Guards against an estimate from requests whose time has little to do with their prompt.
                test("ignores short prompts and normalises slow engines",
                    [] {
                        auto rate = PrefillRate();
                        for (auto sample = 0; sample < 100; ++sample) {
                            rate.record(100, 1, 100ms);
                            rate.record(9'000, 3, 900ms);
                        }
                        check(rate.tokensIn(100ms) > 2'700 && rate.tokensIn(100ms) < 3'300);
                    }),
            }),
    }};

} // namespace
