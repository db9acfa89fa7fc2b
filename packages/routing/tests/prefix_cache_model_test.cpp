#include "jasminewood/routing/prefix_cache_model.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite story = {"a memory of prompts",
    {
        section("of one engine",
            {
                // Guards against a part that counts as cached although a part before it is not.
                test("counts the parts from the first on",
                    [] {
                        auto memory = PrefixCacheModel();
                        const auto a = PromptSegment {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptSegment {.id_ = 2, .tokens_ = 50};
                        const auto c = PromptSegment {.id_ = 3, .tokens_ = 7};
                        memory.recordPrompt("e", {a, b}, 1'000);
                        check(memory.cachedPrefixTokens("e", {a, b, c}) == 150);
                        check(memory.cachedPrefixTokens("e", {c, a, b}) == 0);
                        check(memory.cachedPrefixTokens("other", {a}) == 0);
                        memory.clear("e");
                        check(memory.cachedPrefixTokens("e", {a}) == 0);
                    }),
                // Guards against a belief in a cache larger than the engine's.
                test("forgets the part that was used least recently once the cache is full",
                    [] {
                        auto memory = PrefixCacheModel();
                        const auto a = PromptSegment {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptSegment {.id_ = 2, .tokens_ = 100};
                        const auto c = PromptSegment {.id_ = 3, .tokens_ = 100};
                        memory.recordPrompt("e", {a}, 250);
                        memory.recordPrompt("e", {b}, 250);
                        memory.recordPrompt("e", {a}, 250);
                        memory.recordPrompt("e", {c}, 250);
                        check(memory.cachedPrefixTokens("e", {a}) == 100 && memory.cachedPrefixTokens("e", {c}) == 100);
                        check(memory.cachedPrefixTokens("e", {b}) == 0);
                    }),
            }),
    }};

} // namespace
