#include "jasminewood/routing/prefix_memory.h"

#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::Story story = {"a prefix cache model",
    {
        section("of one engine",
            {
                // Guards against a segment that counts as cached although a segment before it is not.
                test("counts only leading segments that are all cached",
                    [] {
                        auto model = PrefixMemory();
                        const auto a = PromptPart {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptPart {.id_ = 2, .tokens_ = 50};
                        const auto c = PromptPart {.id_ = 3, .tokens_ = 7};
                        model.sent("e", {a, b}, 1'000);
                        check(model.cached("e", {a, b, c}) == 150);
                        check(model.cached("e", {c, a, b}) == 0);
                        check(model.cached("other", {a}) == 0);
                        model.forget("e");
                        check(model.cached("e", {a}) == 0);
                    }),
                // Guards against a model that assumes a larger cache than the engine has.
                test("evicts the least recently used segment once the cache is full",
                    [] {
                        auto model = PrefixMemory();
                        const auto a = PromptPart {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptPart {.id_ = 2, .tokens_ = 100};
                        const auto c = PromptPart {.id_ = 3, .tokens_ = 100};
                        model.sent("e", {a}, 250);
                        model.sent("e", {b}, 250);
                        model.sent("e", {a}, 250);
                        model.sent("e", {c}, 250);
                        check(model.cached("e", {a}) == 100 && model.cached("e", {c}) == 100);
                        check(model.cached("e", {b}) == 0);
                    }),
            }),
    }};

} // namespace
