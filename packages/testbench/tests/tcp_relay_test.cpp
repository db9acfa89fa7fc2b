#include "jasminewood/testbench/tcp_relay.h"

#include <stdexcept>

#include <sys/socket.h>

#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::testbench;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto acceptFrom(const Socket &listener) -> Socket
{
    return Socket(accept(listener.descriptor(), nullptr, nullptr));
}

auto isRefused(const std::string &address) -> bool
{
    try {
        Socket::connect(address);
        return false;
    } catch (const std::runtime_error &) {
        return true;
    }
}

const testkit::TestSuite suite = {"a TCP relay",
    {
        // Guards against bytes that are lost without an injected fault.
        test("forwards in both directions and closes a connection when its peer does",
            [] {
                const auto target = Socket::listen();
                auto relay = TcpRelay(target.address());
                const auto client = Socket::connect(relay.address());
                {
                    const auto server = acceptFrom(target);
                    client.write("to the server");
                    check(server.read() == "to the server");
                    server.write("to the client");
                    check(client.read() == "to the client");
                }
                check(client.read().empty());
            }),
        // Guards against a blackhole that also affects new connections.
        test("that blackholes open connections still forwards new ones",
            [] {
                const auto target = Socket::listen();
                auto relay = TcpRelay(target.address());
                const auto blackholed = Socket::connect(relay.address());
                const auto blackholedServer = acceptFrom(target);
                blackholed.write("before");
                check(blackholedServer.read() == "before");
                relay.blackholeOpenConnections();
                blackholed.write("lost");
                const auto client = Socket::connect(relay.address());
                const auto server = acceptFrom(target);
                client.write("heard");
                check(server.read() == "heard");
                auto byte = char(0);
                check(recv(blackholedServer.descriptor(), &byte, 1, MSG_DONTWAIT) < 0);
            }),
        // Guards against a relay that cannot listen at its address again after it refused connections.
        test("that refuses connections closes the open ones and accepts new ones after it is restored",
            [] {
                const auto target = Socket::listen();
                auto relay = TcpRelay(target.address());
                const auto address = relay.address();
                const auto client = Socket::connect(address);
                const auto server = acceptFrom(target);
                relay.closeAndRefuse();
                check(client.read().empty() && server.read().empty());
                check(isRefused(address));
                relay.restore();
                const auto next = Socket::connect(address);
                const auto nextServer = acceptFrom(target);
                next.write("again");
                check(nextServer.read() == "again" && relay.address() == address);
            }),
        // Guards against a delay that reorders bytes or never ends.
        test("that delays bytes delivers all of them in order after the delay",
            [] {
                const auto target = Socket::listen();
                auto relay = TcpRelay(target.address());
                relay.setDelay(Milliseconds(30));
                const auto client = Socket::connect(relay.address());
                const auto server = acceptFrom(target);
                const auto begin = Clock::now();
                client.write("first ");
                client.write("second");
                auto text = server.read();
                check(Clock::now() - begin >= Milliseconds(30));
                while (text.size() < 12) {
                    text += server.read();
                }
                check(text == "first second");
            }),
    }};

} // namespace
