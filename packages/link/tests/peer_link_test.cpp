#include "jasminewood/link/peer_link.h"

#include <optional>

#include "jasminewood/testbench/sockets.h"
#include "jasminewood/testbench/tcp_relay.h"
#include "test_server.h"

using namespace jasminewood;
using jasminewood::link::Connection;
using jasminewood::link::EventLog;
using jasminewood::link::frameOf;
using jasminewood::link::helloOf;
using jasminewood::link::PeerHandlers;
using jasminewood::link::PeerLink;
using jasminewood::link::Reachability;
using jasminewood::link::TestServer;
using jasminewood::testbench::Socket;
using jasminewood::testbench::TcpRelay;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

auto nameOf(Reachability reachability) -> std::string
{
    switch (reachability) {
    case Reachability::Reconnected:
        return "reconnected";
    case Reachability::Restarted:
        return "restarted";
    case Reachability::Unreachable:
        break;
    }
    return "unreachable";
}

// Logs the events of the link. Of the messages only frames are logged, so that the number of heartbeats does not
// matter.
auto logTo(EventLog &events) -> PeerHandlers
{
    return {.onConnected_ =
                [&events](const std::shared_ptr<Connection> &connection) {
                    events.add("up " + toString(connection->peer().node_));
                },
        .onMessage_ =
            [&events](const wire::Message &message) {
                if (const auto *frame = std::get_if<wire::Frame>(&message)) {
                    events.add("frame " + frame->data_);
                }
            },
        .onDisconnected_ =
            [&events](const Failure &failure, Reachability reachability) {
                events.add("down " + nameOf(reachability) + ": " + failure.step_);
            }};
}

// The dial timeout is generous, so that on a slow machine the peer is not reported unreachable.
auto linkTo(const std::string &address, EventLog &events) -> PeerLink
{
    return PeerLink(address, helloOf("client"), logTo(events), link::generousTimeout);
}

using Events = std::vector<std::string>;

const testkit::TestSuite peerLinks = {"a link to a peer",
    {
        section("that is connected",
            {
                test("sends and receives",
                    [] {
                        auto server = TestServer();
                        auto events = EventLog();
                        auto peer = linkTo(server.address(), events);
                        events.waitFor(1);
                        check(!peer.send(frameOf(0, "hello")));
                        check(events.waitFor(2) == Events {"up server@1", "frame hello"});
                    }),
                // Guards against heartbeats without the load by which the routers select upstreams.
                test("receives the peer's load reports",
                    [] {
                        auto server = TestServer();
                        auto loads = EventLog();
                        const auto handlers = PeerHandlers {.onConnected_ = [](const std::shared_ptr<Connection> &) {},
                            .onMessage_ =
                                [&loads](const wire::Message &message) {
                                    const auto &heartbeat = std::get<wire::Heartbeat>(message);
                                    loads.add(std::to_string(heartbeat.load_->running_));
                                },
                            .onDisconnected_ = [](const Failure &, Reachability) {}};
                        auto peer = PeerLink(server.address(), helloOf("client"), handlers);
                        check(loads.waitFor(2)[1] == "7");
                    }),
            }),
        section("whose open connection stalls while new ones work",
            {
                // Guards against attempts that fail although the peer is alive, and against a stalled connection that
                // is not detected because no socket is closed.
                test("reconnects and is not reported unreachable",
                    [] {
                        auto server = TestServer();
                        auto relay = TcpRelay(server.address());
                        auto events = EventLog();
                        auto peer = linkTo(relay.address(), events);
                        events.waitFor(1);
                        relay.blackholeOpenConnections();
                        events.waitFor(3);
                        check(!peer.send(frameOf(0, "again")));
                        check(events.waitFor(4)
                            == Events {"up server@1", "down reconnected: receive", "up server@1", "frame again"});
                        const auto connectionFailures = server.connectionFailures().waitFor(1);
                        check(connectionFailures[0].find("the connection is silent") != std::string::npos,
                            connectionFailures[0]);
                    }),
            }),
        section("that restarts",
            {
                // Guards against attempts that are attached to a new incarnation, which has no state of them.
                test("is reported as restarted",
                    [] {
                        auto server = TestServer(helloOf("server", 1));
                        auto successor = TestServer(helloOf("server", 2));
                        auto relay = TcpRelay(server.address());
                        auto events = EventLog();
                        auto peer = linkTo(relay.address(), events);
                        events.waitFor(1);
                        relay.setTarget(successor.address());
                        relay.blackholeOpenConnections();
                        const auto logged = events.waitFor(3);
                        check(logged == Events {"up server@1", "down restarted: receive", "up server@2"}, logged[1]);
                    }),
            }),
        section("that cannot be reached",
            {
                // Guards against a loss that is reported more than once, or not at all.
                test("is reported unreachable once and dialled until it is reachable again",
                    [] {
                        auto server = std::optional<TestServer>(std::in_place);
                        const auto successor = TestServer();
                        const auto unused = Socket::reserve();
                        auto relay = TcpRelay(server->address());
                        auto events = EventLog();
                        auto peer = linkTo(relay.address(), events);
                        events.waitFor(1);
                        relay.setTarget(unused.address());
                        server.reset();
                        events.waitFor(2);
                        const auto refused = peer.send(wire::Drain {});
                        check(refused && refused->step_ == "send" && refused->runState_ == RunState::NotRun);
                        relay.setTarget(successor.address());
                        check(events.waitFor(3) == Events {"up server@1", "down unreachable: hello", "up server@1"});
                    }),
                test("can be stopped while it waits for the next dial",
                    [] {
                        auto events = EventLog();
                        const auto unused = Socket::reserve();
                        auto peer = linkTo(unused.address(), events);
                        check(events.waitFor(1) == Events {"down unreachable: dial"});
                        peer.stop();
                        peer.stop();
                    }),
            }),
    }};

} // namespace
