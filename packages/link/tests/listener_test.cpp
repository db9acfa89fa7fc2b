#include "jasminewood/link/listener.h"

#include <future>

#include "jasminewood/testbench/sockets.h"
#include "test_server.h"

using namespace jasminewood;
using jasminewood::link::Connection;
using jasminewood::link::generousDeadline;
using jasminewood::link::helloOf;
using jasminewood::link::Listener;
using jasminewood::testbench::Socket;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite story = {"a listener",
    {
        section("on an address in use",
            {
                // Guards against two agents on one port of which one silently gets no work.
                test("is a failure to bind",
                    [] {
                        const auto first = Listener::listen("127.0.0.1:0", helloOf("first"));
                        const auto second = Listener::listen((*first)->address(), helloOf("second"));
                        check(!second && second.failure().step_ == "bind");
                        check(second.failure().peer_ == (*first)->address());
                    }),
            }),
        section("that is closed",
            {
                // Guards against a shutdown that hangs.
                test("wakes the accepting task",
                    [] {
                        const auto listener = *Listener::listen("127.0.0.1:0", helloOf("server"));
                        auto accepting = std::async(std::launch::async, [&] {
                            return listener->accept();
                        });
                        listener->close();
                        const auto accepted = accepting.get();
                        check(!accepted && accepted.failure().step_ == "accept");
                    }),
            }),
        section("with clients that never send a Hello",
            {
                // Guards against one stuck client that keeps all others out.
                test("still accepts others",
                    [] {
                        auto server = link::TestServer();
                        const auto stuck = Socket::connect(server.address());
                        const auto alsoStuck = Socket::connect(server.address());
                        check(bool(Connection::dial(server.address(), helloOf("client"), generousDeadline)));
                    }),
                test("closes their connections",
                    [] {
                        auto server = link::TestServer();
                        const auto stuck = Socket::connect(server.address());
                        const auto ends = server.ends().waitFor(1);
                        check(ends[0].find("the peer sent no Hello in time") != std::string::npos, ends[0]);
                    }),
            }),
    }};

} // namespace
