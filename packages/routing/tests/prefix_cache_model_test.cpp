#include "jasminewood/routing/prefix_cache_model.h"

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite story = {"a prefix cache model",
    {
        section("of one engine",
            {
                // Guards against a segment that counts as cached although a segment before it is not.
                test("counts only leading segments that are all cached",
                    [] {
                        auto model = PrefixCacheModel();
                        const auto a = PromptSegment {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptSegment {.id_ = 2, .tokens_ = 50};
                        const auto c = PromptSegment {.id_ = 3, .tokens_ = 7};
                        model.recordPrompt("e", {a, b}, 1'000);
                        check(model.cachedPrefixTokens("e", {a, b, c}) == 150);
                        check(model.cachedPrefixTokens("e", {c, a, b}) == 0);
                        check(model.cachedPrefixTokens("other", {a}) == 0);
                        model.clear("e");
                        check(model.cachedPrefixTokens("e", {a}) == 0);
                    }),
                // Guards against a model that assumes a larger cache than the engine has.
                test("evicts the least recently used segment once the cache is full",
                    [] {
                        auto model = PrefixCacheModel();
                        const auto a = PromptSegment {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptSegment {.id_ = 2, .tokens_ = 100};
                        const auto c = PromptSegment {.id_ = 3, .tokens_ = 100};
                        model.recordPrompt("e", {a}, 250);
                        model.recordPrompt("e", {b}, 250);
                        model.recordPrompt("e", {a}, 250);
                        model.recordPrompt("e", {c}, 250);
                        check(model.cachedPrefixTokens("e", {a}) == 100 && model.cachedPrefixTokens("e", {c}) == 100);
                        check(model.cachedPrefixTokens("e", {b}) == 0);
                    }),
            }),
    }};

} // namespace
