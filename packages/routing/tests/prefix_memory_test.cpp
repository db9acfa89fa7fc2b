#include "jasminewood/routing/prefix_memory.h"

#include "jasminewood/testkit/story.h"

using namespace jasminewood;
using namespace jasminewood::routing;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::Story story = {"a memory of prompts",
    {
        section("of one engine",
            {
                // Guards against a part that counts as cached although a part before it is not.
                test("counts the parts from the first on",
                    [] {
                        auto memory = PrefixMemory();
                        const auto a = PromptPart {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptPart {.id_ = 2, .tokens_ = 50};
                        const auto c = PromptPart {.id_ = 3, .tokens_ = 7};
                        memory.sent("e", {a, b}, 1'000);
                        check(memory.cached("e", {a, b, c}) == 150);
                        check(memory.cached("e", {c, a, b}) == 0);
                        check(memory.cached("other", {a}) == 0);
                        memory.forget("e");
                        check(memory.cached("e", {a}) == 0);
                    }),
                // Guards against a belief in a cache larger than the engine's.
                test("forgets the part that was used least recently once the cache is full",
                    [] {
                        auto memory = PrefixMemory();
                        const auto a = PromptPart {.id_ = 1, .tokens_ = 100};
                        const auto b = PromptPart {.id_ = 2, .tokens_ = 100};
                        const auto c = PromptPart {.id_ = 3, .tokens_ = 100};
                        memory.sent("e", {a}, 250);
                        memory.sent("e", {b}, 250);
                        memory.sent("e", {a}, 250);
                        memory.sent("e", {c}, 250);
                        check(memory.cached("e", {a}) == 100 && memory.cached("e", {c}) == 100);
                        check(memory.cached("e", {b}) == 0);
                    }),
            }),
    }};

} // namespace
