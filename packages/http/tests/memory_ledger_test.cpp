#include "jasminewood/http/memory_ledger.h"

#include <array>
#include <memory>
#include <string>

#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/testkit/test_suite.h"
#include "receiving_bodies.h"

using namespace jasminewood;
using namespace jasminewood::http;
using jasminewood::http::internal::BodyProgress;
using jasminewood::http::internal::ReceivingBodies;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kilobyte = 1'024;
constexpr std::size_t limitBytes = 800 * kilobyte;
const auto start = TimePoint(1h);

auto demand(std::size_t bytes) -> MemoryDemand
{
    return {.bytes_ = bytes, .largestBodyBytes_ = limitBytes / 2};
}

// The caller's and the server's end of a connection.
struct Connection
{
    Connection()
    {
        check(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()) == 0, "sockets");
    }

    ~Connection()
    {
        close(ends_[0]);
        close(ends_[1]);
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    // Returns what the caller has received.
    auto received() const -> std::string
    {
        auto buffer = std::array<char, 4'096>();
        const auto size = recv(ends_[0], buffer.data(), buffer.size(), MSG_DONTWAIT);
        return size > 0 ? std::string(buffer.data(), std::size_t(size)) : "";
    }

    std::array<int, 2> ends_ = {-1, -1};
};

const testkit::TestSuite suite = {"the memory of bodies",
    {
        section("in a ledger",
            {
                // Guards against memory beyond the limit, and against memory that is lost with each request.
                test("is limited, and free again after the end of each body",
                    [] {
                        const auto ledger = std::make_shared<MemoryLedger>(limitBytes);
                        {
                            auto first = Reservation(ledger);
                            check(first.tryGrow(demand(400 * kilobyte)) && first.tryGrow(demand(200 * kilobyte)));
                            check(!first.tryGrow(demand(kilobyte)) && first.bytes() == 600 * kilobyte);
                            check(ledger->reservedBytes() == 600 * kilobyte);
                            first.release();
                            first.release();
                            check(ledger->reservedBytes() == 0 && !first.tryGrow(demand(1)));
                        }
                        check(ledger->reservedBytes() == 0);
                    }),
                // Guards against large bodies that keep ordinary callers out.
                test("has a part that only small bodies get",
                    [] {
                        const auto ledger = std::make_shared<MemoryLedger>(limitBytes);
                        auto large = Reservation(ledger);
                        check(large.tryGrow(demand(600 * kilobyte)));
                        auto small = Reservation(ledger);
                        check(small.tryGrow(demand(smallBodyBytes)));
                        check(!small.tryGrow(demand(1)), "it is not small any more");
                    }),
                // Guards against settings with which no body of the largest size is served.
                test("has room for a body of the largest size, whatever the setting",
                    [] {
                        const auto ledger = std::make_shared<MemoryLedger>(1);
                        check(Reservation(ledger).tryGrow({.bytes_ = limitBytes, .largestBodyBytes_ = limitBytes}));
                    }),
            }),
        section("that arrive",
            {
                // Guards against callers that hold memory for long with a byte now and then, and against refusing slow
                // callers that send steadily.
                test("counts as stalled only without a kilobyte in 2 s",
                    [] {
                        auto progress = BodyProgress(start);
                        progress.recordReceived(600, start + 1s);
                        check(!progress.isStalled(start + 2s));
                        progress.recordReceived(600, start + 2s);
                        check(!progress.isStalled(start + 4s) && progress.isStalled(start + 4s + 1ms));
                        check(!progress.isTooOld(start + 60s) && progress.isTooOld(start + 60s + 1ms));
                    }),
                // Guards against callers that stop inside their bodies and keep others out.
                test("is taken from the largest stalled one first, and only as far as needed",
                    [] {
                        auto bodies = ReceivingBodies(limitBytes);
                        const auto connections = std::array<Connection, 3>();
                        auto ids = std::array<internal::BodyId, 3>();
                        const auto sizes = std::array {100 * kilobyte, 200 * kilobyte, 90 * kilobyte};
                        for (auto index = std::size_t(0); index < ids.size(); ++index) {
                            ids[index] = bodies.begin(connections[index].ends_[1], start);
                            check(!bodies.reserve(ids[index], demand(sizes[index]), start));
                        }
                        const auto later = start + internal::stallTime + 1ms;
                        const auto newcomer = bodies.begin(-1, later);
                        check(!bodies.reserve(newcomer, demand(200 * kilobyte), later));
                        check(connections[1].received().starts_with("HTTP/1.1 408 "));
                        check(connections[0].received().empty() && connections[2].received().empty());
                        check(bodies.reservedBytes() == 390 * kilobyte);
                        check(!bodies.complete(ids[1]) && bodies.end(ids[1]), "it is known as refused");
                        check(bodies.complete(ids[0]) != nullptr);
                    }),
                // Guards against refusing a caller for the delay of this process.
                test("is kept while data has arrived that was not read yet",
                    [] {
                        auto bodies = ReceivingBodies(limitBytes);
                        const auto connection = Connection();
                        const auto body = bodies.begin(connection.ends_[1], start);
                        check(!bodies.reserve(body, demand(400 * kilobyte), start));
                        check(send(connection.ends_[0], "x", 1, MSG_NOSIGNAL) == 1);
                        const auto later = start + internal::stallTime + 1ms;
                        const auto newcomer = bodies.begin(-1, later);
                        check(bodies.reserve(newcomer, demand(400 * kilobyte), later) == EndReason::NoBodyMemory);
                        check(bodies.complete(body) != nullptr);
                    }),
                // Guards against callers that hold memory for ever without any shortage.
                test("is free after 60 s at the next byte",
                    [] {
                        auto bodies = ReceivingBodies(limitBytes);
                        const auto body = bodies.begin(-1, start);
                        check(!bodies.reserve(body, demand(kilobyte), start));
                        check(!bodies.recordReceived(body, 1, start + 60s));
                        check(bodies.recordReceived(body, 1, start + 61s) == EndReason::BodyTooSlow);
                        check(!bodies.end(body) && bodies.reservedBytes() == 0);
                    }),
            }),
    }};

} // namespace
