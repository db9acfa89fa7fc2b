#include <atomic>
#include <string>
#include <thread>

#include "jasminewood/platform/key_value.h"
#include "jasminewood/testbench/raw_peer.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::platform;
using namespace std::chrono_literals;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr auto timeout = Milliseconds(300);
constexpr std::size_t pieceCount = 10;
// More pieces than arrive within any time that a read may take.
constexpr std::size_t endlessPieceCount = 1'000;

struct Pieces
{
    // The pieces of a response, of one byte each, and those that are sent before the store falls silent.
    const std::size_t announced_ = pieceCount;
    const std::size_t sent_ = pieceCount;
    // The pause before each.
    const Milliseconds pause_ = Milliseconds(0);
};

// A store whose responses arrive in pieces. Each stands for as many revisions as it has pieces.
class SlowStore
{
public:
    explicit SlowStore(const Pieces &pieces)
        : server_([this, pieces](int socket) {
            testbench::readUntil(socket, "\r\n\r\n");
            testbench::sendText(
                socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces.announced_) + "\r\n\r\n");
            for (auto piece = std::size_t(0); piece < pieces.sent_ && !stopping_; ++piece) {
                std::this_thread::sleep_for(pieces.pause_);
                testbench::sendText(socket, "x");
            }
            while (pieces.sent_ < pieces.announced_ && !stopping_) {
                std::this_thread::sleep_for(10ms);
            }
        })
        , client_({.url_ = server_.url(), .timeout_ = timeout, .protocol_ = protocol()})
    {
    }

    ~SlowStore()
    {
        stopping_ = true;
    }

    SlowStore(const SlowStore &) = delete;
    auto operator=(const SlowStore &) -> SlowStore & = delete;

    auto client() -> KeyValueClient &
    {
        return client_;
    }

    auto watch() -> Result<StorePosition>
    {
        auto call = WatchCall();
        return client_.watch({.key_ = "", .isPrefix_ = true, .after_ = {}, .timeout_ = timeout}, call,
            [](const WatchEvent & /*event*/) {});
    }

private:
    static auto protocol() -> PagedProtocol
    {
        return {.encodeRange_ =
                    [](const std::string & /*prefix*/, const std::string & /*after*/) {
                        return HttpCall {.method_ = "GET", .path_ = "/range"};
                    },
            .parseRange_ = [](const std::string &body) -> Result<RangePage> {
                return RangePage {.revision_ = Revision(body.size())};
            },
            .encodeWatch_ =
                [](const WatchRequest & /*request*/) {
                    return HttpCall {.method_ = "GET", .path_ = "/watch"};
                },
            .parseWatch_ = [](const std::string &body) -> Result<WatchPage> {
                return WatchPage {.revision_ = Revision(body.size())};
            }};
    }

    std::atomic<bool> stopping_ = false;
    testbench::RawServer server_;
    KeyValueClient client_;
};

const testkit::TestSuite suite = {"a read of the store",
    {
        section("whose response takes longer than the timeout but keeps arriving",
            {
                // Guards against a router that can never read a configuration which its link needs longer to transfer.
                test("returns a snapshot",
                    [] {
                        auto store = SlowStore({.pause_ = 100ms});
                        const auto snapshot = store.client().getPrefix("");
                        check(bool(snapshot), snapshot ? "" : toString(snapshot.failure()));
                        check(snapshot->position_.revision_ == Revision(pieceCount));
                    }),
                // Guards against a router that never receives the change to such a configuration.
                test("returns the changes of a watch",
                    [] {
                        auto store = SlowStore({.pause_ = 100ms});
                        const auto next = store.watch();
                        check(bool(next), next ? "" : toString(next.failure()));
                        check(next->revision_ == Revision(pieceCount));
                    }),
            }),
        section("whose response stops arriving",
            {
                // Guards against a read that waits for a dead connection.
                test("fails after the timeout",
                    [] {
                        auto store = SlowStore({.sent_ = 2});
                        const auto startedAt = Clock::now();
                        check(!store.client().getPrefix("") && !store.watch());
                        check(Clock::now() - startedAt < 2'500ms, "the reads took too long");
                    }),
            }),
        section("whose response trickles without end",
            {
                // Guards against a read that holds its thread for as long as single bytes arrive.
                test("fails after a multiple of the timeout",
                    [] {
                        auto store
                            = SlowStore({.announced_ = endlessPieceCount, .sent_ = endlessPieceCount, .pause_ = 100ms});
                        const auto startedAt = Clock::now();
                        check(!store.client().getPrefix(""));
                        check(Clock::now() - startedAt < 20 * timeout, "the read took too long");
                    }),
            }),
        section("whose response is malformed",
            {
                // Guards against a configuration or a list of upstreams that is read from a store in trouble.
                test("fails, and so do a write and a watch",
                    [] {
                        for (const auto *head : {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1  200 OK\r\n",
                                 "HTTP/1.1 200 OK\r\nX Field: a\r\n", "HTTP/1.1 200 OK\r\nX-Field: \x01\r\n"}) {
                            const auto store = testbench::RawServer([head](int socket) {
                                testbench::readUntil(socket, "\r\n\r\n");
                                testbench::sendText(socket, head + std::string("Content-Length: 2\r\n\r\n{}"));
                            });
                            auto client = KeyValueClient({.url_ = store.url()});
                            check(!client.get("/k"), head);
                            const auto written = client.put("/k", "v");
                            check(!written && written.failure().runState_ == RunState::MayHaveRun, head);
                            auto call = WatchCall();
                            const auto watched = client.watch({.key_ = "/k", .after_ = {}, .timeout_ = timeout}, call,
                                [](const WatchEvent & /*event*/) {});
                            check(!watched, head);
                        }
                    }),
            }),
    }};

} // namespace
