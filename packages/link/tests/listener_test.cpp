#include "jasminewood/link/listener.h"

#include <future>

#include "jasminewood/testbench/sockets.h"
#include "test_server.h"

using namespace jasminewood;
using jasminewood::link::Connection;
using jasminewood::link::generousTimeout;
using jasminewood::link::helloOf;
using jasminewood::link::Listener;
using jasminewood::testbench::Socket;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

const testkit::TestSuite listening = {"a listener",
    {
        section("on an address in use",
            {
                // Guards against two agents with the same port, one of which would get no work without any error.
                test("fails to bind",
                    [] {
                        const auto first = Listener::listen("127.0.0.1:0", helloOf("first"));
                        const auto second = Listener::listen((*first)->address(), helloOf("second"));
                        check(!second && second.failure().step_ == "bind");
                        check(second.failure().peer_ == (*first)->address());
                    }),
            }),
        section("that is closed",
            {
                // Guards against a shutdown that blocks forever.
                test("wakes the accepting thread",
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
                // Guards against one unresponsive client that blocks all others.
                test("still accepts other clients",
                    [] {
                        auto server = link::TestServer();
                        const auto silent = Socket::connect(server.address());
                        const auto alsoSilent = Socket::connect(server.address());
                        check(bool(Connection::dial(server.address(), helloOf("client"), generousTimeout)));
                    }),
                test("closes their connections",
                    [] {
                        auto server = link::TestServer();
                        const auto silent = Socket::connect(server.address());
                        const auto connectionFailures = server.connectionFailures().waitFor(1);
                        check(connectionFailures[0].find("the peer sent no Hello in time") != std::string::npos,
                            connectionFailures[0]);
                    }),
            }),
    }};

} // namespace
