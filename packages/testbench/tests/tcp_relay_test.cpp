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

const testkit::TestSuite story = {"a TCP relay",
    {
        // Guards against bytes that a test loses although it injected no fault.
        test("forwards in both directions and closes with its peer",
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
        // Guards against a silence that also stops new connections.
        test("that goes silent still serves new connections",
            [] {
                const auto target = Socket::listen();
                auto relay = TcpRelay(target.address());
                const auto silent = Socket::connect(relay.address());
                const auto silentServer = acceptFrom(target);
                silent.write("before");
                check(silentServer.read() == "before");
                relay.blackholeOpenConnections();
                silent.write("lost");
                const auto client = Socket::connect(relay.address());
                const auto server = acceptFrom(target);
                client.write("heard");
                check(server.read() == "heard");
                auto byte = char(0);
                check(recv(silentServer.descriptor(), &byte, 1, MSG_DONTWAIT) < 0);
            }),
        // Guards against a cut after which the address is lost.
        test("that is cut closes connections and refuses new ones until it is restored",
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
        // Guards against a delay that changes the order or never ends.
        test("that delays delivers everything in order after the time",
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
