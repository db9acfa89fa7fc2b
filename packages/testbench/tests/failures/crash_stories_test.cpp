#include <atomic>

#include <fmt/format.h>

#include "jasminewood/testkit/test_suite.h"
#include "scene.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto maximumCrashes = std::size_t(2);

// Restarts crashed engines, as the platform does, and counts the crashes.
class EngineRestarter
{
public:
    explicit EngineRestarter(Scene &scene)
        : scene_(scene)
        , restarters_(scene.system().engines().size(), [this](std::size_t number) {
            restartOnExit(scene_.system().engines()[number]);
        })
    {
    }

    ~EngineRestarter()
    {
        stopped_ = true;
    }

    EngineRestarter(const EngineRestarter &) = delete;
    auto operator=(const EngineRestarter &) -> EngineRestarter & = delete;

    Counter crashes_;

private:
    auto restartOnExit(const std::string &engine) -> void
    {
        while (!stopped_) {
            if (scene_.system().waitExit(engine, Milliseconds(100))) {
                crashes_.add();
                scene_.restart(engine);
            }
        }
    }

    Scene &scene_;
    std::atomic<bool> stopped_ = false;
    Callers restarters_;
};

const testkit::TestSuite story = {"a request that crashes each engine",
    {
        section("beside requests that do not",
            {
                // Guards against a request that crashes one engine after another, and against requests that are
                // rejected only because they ran on the same engine.
                test("is refused after two crashes over all routers while the others complete",
                    [] {
                        auto scene = Scene({.engines_ = 3, .bookings_ = 0});
                        scene.awaitPeers();
                        auto begun = Counter();
                        {
                            auto restarter = EngineRestarter(scene);
                            auto otherCallers = Callers(9, [&](std::size_t caller) {
                                auto noted = false;
                                const auto end = scene.chat({.router_ = fmt::format("router-{}", caller % 3 + 1),
                                    .message_ = fmt::format("innocent {} [tokens=250]", caller),
                                    .onTokens_ = [&](std::size_t tokens) -> void {
                                        if (tokens > 0 && !noted) {
                                            noted = true;
                                            begun.add();
                                        }
                                    }});
                                check(end.completed_, toString(end));
                            });
                            begun.waitFor(9);
                            for (const auto &router : scene.system().routers()) {
                                const auto end
                                    = scene.chat({.router_ = router, .message_ = "please [crash]", .stream_ = false});
                                check(end.status_ == 422 && end.step_ == "quarantine", toString(end));
                            }
                            otherCallers.join();
                            check(restarter.crashes_.count() <= maximumCrashes,
                                fmt::format("{} crashes", restarter.crashes_.count()));
                            check(restarter.crashes_.count() > 0, "no engine crashed");
                        }
                        scene.checkHistory();
                    }),
            }),
    }};

} // namespace
