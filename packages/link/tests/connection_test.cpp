#include "jasminewood/link/connection.h"

#include <future>

#include <fmt/format.h>

#include "frame_buffer.h"
#include "jasminewood/testbench/sockets.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/wire/codec.h"
#include "test_server.h"

using namespace jasminewood;
using jasminewood::link::Closed;
using jasminewood::link::Connection;
using jasminewood::link::frameOf;
using jasminewood::link::generousDeadline;
using jasminewood::link::helloOf;
using jasminewood::link::Listener;
using jasminewood::link::ReceiveOutcome;
using jasminewood::link::TimedOut;
using jasminewood::testbench::Socket;
using jasminewood::testkit::check;
using jasminewood::testkit::property;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr std::uint32_t otherVersion = wire::protocolVersion + 1;

auto framed(const std::string &message) -> std::string
{
    return link::internal::lengthPrefix(message.size()) + message;
}

auto isMessage(const ReceiveOutcome &outcome, const wire::Message &expected) -> bool
{
    const auto *message = std::get_if<wire::Message>(&outcome);
    return message != nullptr && *message == expected;
}

auto closedStep(const ReceiveOutcome &outcome) -> std::string
{
    const auto *closed = std::get_if<Closed>(&outcome);
    return closed == nullptr ? "not closed" : closed->failure_.step_;
}

auto takeAll(link::internal::FrameBuffer &buffer, std::vector<std::string> &received) -> void
{
    while (true) {
        const auto next = buffer.take();
        RC_ASSERT(bool(next));
        if (!*next) {
            return;
        }
        received.push_back(std::get<wire::Frame>(**next).data_);
    }
}

// Both ends of a connection, greeted.
struct Ends
{
    std::shared_ptr<Listener> listener_ = *Listener::listen("127.0.0.1:0", helloOf("server"));
    std::future<Result<std::shared_ptr<Connection>>> dialling_ = std::async(std::launch::async, [this] {
        return Connection::dial(listener_->address(), helloOf("client"), generousDeadline);
    });
    std::shared_ptr<Connection> server_ = *listener_->accept();
    Status refused_ = server_->exchangeHello(generousDeadline);
    std::shared_ptr<Connection> client_ = *dialling_.get();
};

// An accepted connection whose client is a plain socket that has sent its Hello.
struct RawClient
{
    std::shared_ptr<Listener> listener_ = *Listener::listen("127.0.0.1:0", helloOf("server"));
    Socket socket_ = Socket::connect(listener_->address());
    std::shared_ptr<Connection> server_ = *listener_->accept();

    auto greet() const -> void
    {
        socket_.write(framed(wire::encode(helloOf("raw"))));
        check(!server_->exchangeHello(generousDeadline));
    }
};

const testkit::TestSuite greetings = {"two processes that connect",
    {
        section("with the same version",
            {
                // Guards against attempts that are sent to another process than the one meant.
                test("know each other's Hello and address",
                    [] {
                        const auto ends = Ends();
                        check(ends.server_->peer() == helloOf("client"));
                        check(ends.client_->peer() == helloOf("server"));
                        check(ends.client_->remoteAddress() == ends.listener_->address());
                        check(ends.server_->remoteAddress().starts_with("127.0.0.1:"));
                    }),
            }),
        section("with different versions",
            {
                // Guards against peers that misread each other, and against a refusal that only one side can explain.
                test("refuse each other with both versions in the reason",
                    [] {
                        const auto listener = *Listener::listen("127.0.0.1:0", helloOf("server"));
                        auto dialling = std::async(std::launch::async, [&] {
                            const auto newer = wire::Hello {.version_ = otherVersion, .node_ = {.name_ = "client"}};
                            return Connection::dial(listener->address(), newer, generousDeadline);
                        });
                        const auto server = *listener->accept();
                        const auto refusedByServer = server->exchangeHello(generousDeadline);
                        const auto refusedByClient = dialling.get();
                        check(refusedByServer && refusedByServer->step_ == "hello");
                        check(refusedByServer->reason_
                            == fmt::format(
                                "the peer has version {} instead of {}", otherVersion, wire::protocolVersion));
                        check(!refusedByClient && refusedByClient.failure().step_ == "hello");
                        check(refusedByClient.failure().reason_
                            == fmt::format(
                                "the peer has version {} instead of {}", wire::protocolVersion, otherVersion));
                    }),
                test("refuse a message format of another version",
                    [] {
                        const auto client = RawClient();
                        auto hello = wire::encode(helloOf("raw"));
                        hello[1] = char(otherVersion);
                        client.socket_.write(framed(hello));
                        const auto refused = client.server_->exchangeHello(generousDeadline);
                        check(refused && refused->step_ == "hello");
                        check(refused->reason_
                            == fmt::format("protocol version {} instead of {}", otherVersion, wire::protocolVersion));
                    }),
            }),
        section("where one speaks before its Hello",
            {
                test("are not connected",
                    [] {
                        const auto client = RawClient();
                        client.socket_.write(framed(wire::encode(wire::Drain {})));
                        const auto refused = client.server_->exchangeHello(generousDeadline);
                        check(refused && refused->reason_ == "the first message is not Hello");
                    }),
            }),
        section("where nobody listens or answers",
            {
                // Guards against a dial that hangs or that does not say where it failed.
                test("get a failure of the step",
                    [] {
                        const auto reserved = Socket::reserve();
                        const auto unused = reserved.address();
                        const auto refused = Connection::dial(unused, helloOf("client"), generousDeadline);
                        check(!refused && refused.failure().step_ == "dial" && refused.failure().peer_ == unused);
                        const auto silent = Socket::listen();
                        const auto late = Connection::dial(silent.address(), helloOf("client"), Milliseconds(50));
                        check(!late && late.failure().step_ == "hello");
                        check(!Connection::dial("not an address", helloOf("client"), generousDeadline));
                    }),
            }),
    }};

const testkit::TestSuite messages = {"messages on a connection",
    {
        section("small and as large as allowed",
            {
                // Guards against loss and reordering at the borders of reads and writes.
                test("arrive whole and in order",
                    [] {
                        const auto ends = Ends();
                        const auto large = std::string(wire::maximumBodyBytes, 'x');
                        auto sending = std::async(std::launch::async, [&] {
                            for (auto index = 0U; index < 100; ++index) {
                                check(!ends.client_->send(frameOf(index, index % 50 == 0 ? large : "small")));
                            }
                        });
                        for (auto index = 0U; index < 100; ++index) {
                            const auto expected = frameOf(index, index % 50 == 0 ? large : "small");
                            check(isMessage(ends.server_->receive(generousDeadline), expected));
                        }
                        sending.get();
                    }),
            }),
        section("sent by several tasks",
            {
                // Guards against messages that are mixed into each other.
                test("arrive whole",
                    [] {
                        const auto ends = Ends();
                        constexpr auto each = 200U;
                        const auto body = std::string(100000, 'x');
                        auto tasks = std::vector<std::future<void>>();
                        for (auto task = 0; task < 4; ++task) {
                            tasks.push_back(std::async(std::launch::async, [&] {
                                for (auto index = 0U; index < each; ++index) {
                                    check(!ends.client_->send(frameOf(index, body)));
                                }
                            }));
                        }
                        for (auto index = 0U; index < 4 * each; ++index) {
                            const auto outcome = ends.server_->receive(generousDeadline);
                            check(std::holds_alternative<wire::Message>(outcome));
                        }
                    }),
            }),
        section("that arrive in pieces",
            {
                // Guards against the loss of the first part when receive() runs into its timeout.
                test("survive a timeout in the middle",
                    [] {
                        const auto client = RawClient();
                        client.greet();
                        const auto bytes = framed(wire::encode(frameOf(5, "whole")));
                        client.socket_.write(bytes.substr(0, 7));
                        while (client.server_->receive(Milliseconds(20)) != ReceiveOutcome(TimedOut {true})) {}
                        check(client.server_->receive(Milliseconds(20)) == ReceiveOutcome(TimedOut {false}));
                        client.socket_.write(bytes.substr(7));
                        check(isMessage(client.server_->receive(generousDeadline), frameOf(5, "whole")));
                    }),
                property("are the same for any pieces",
                    [](const std::vector<std::string> &bodies) {
                        auto bytes = std::string();
                        for (const auto &body : bodies) {
                            bytes += framed(wire::encode(frameOf(0, body)));
                        }
                        auto buffer = link::internal::FrameBuffer();
                        auto received = std::vector<std::string>();
                        for (auto rest = std::string_view(bytes); !rest.empty();) {
                            const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
                            buffer.append(rest.substr(0, size));
                            rest.remove_prefix(size);
                            takeAll(buffer, received);
                        }
                        RC_ASSERT(received == bodies);
                    }),
            }),
        section("that break the format",
            {
                // Guards against a hostile length and against reading on after a damaged message.
                test("close the connection for good",
                    [] {
                        for (const auto *bytes : {"\xff\xff\xff\xff", "\x01\x01\x01\x01"}) {
                            const auto client = RawClient();
                            client.greet();
                            client.socket_.write(bytes);
                            check(closedStep(client.server_->receive(generousDeadline)) == "decode");
                            check(closedStep(client.server_->receive(generousDeadline)) == "decode");
                            check(client.server_->send(wire::Drain {}).has_value());
                        }
                    }),
                // Guards against one oversized request that takes down a connection shared by many.
                test("are refused by the sender, whose connection stays open",
                    [] {
                        const auto ends = Ends();
                        const auto refused
                            = ends.client_->send(frameOf(0, std::string(wire::maximumBodyBytes + 1, 'x')));
                        check(refused && refused->step_ == "encode");
                        check(!ends.client_->send(wire::Drain {}));
                        check(isMessage(ends.server_->receive(generousDeadline), wire::Drain {}));
                    }),
            }),
    }};

const testkit::TestSuite ending = {"a connection that ends",
    {
        section("by close() of its own process",
            {
                // Guards against a task that cannot be stopped while it waits.
                test("wakes the receiving task",
                    [] {
                        const auto ends = Ends();
                        auto receiving = std::async(std::launch::async, [&] {
                            return ends.server_->receive(generousDeadline);
                        });
                        ends.server_->close();
                        check(closedStep(receiving.get()) == "close");
                    }),
            }),
        section("by close() of the peer",
            {
                test("gives the messages sent before and then the end",
                    [] {
                        const auto ends = Ends();
                        check(!ends.client_->send(wire::Drain {}));
                        ends.client_->close();
                        check(isMessage(ends.server_->receive(generousDeadline), wire::Drain {}));
                        check(closedStep(ends.server_->receive(generousDeadline)) == "receive");
                    }),
            }),
        section("because the peer takes no bytes",
            {
                // Guards against tasks that a frozen peer blocks for good.
                test("fails the sends of all tasks",
                    [] {
                        const auto client = RawClient();
                        client.greet();
                        const auto large = frameOf(0, std::string(wire::maximumBodyBytes, 'x'));
                        const auto sendUntilClosed = [&] {
                            auto status = Status();
                            // Far more than the buffers of two sockets hold.
                            for (auto count = 0; count < 100 && !status.has_value(); ++count) {
                                if (const auto failed = client.server_->send(large)) {
                                    status.emplace(*failed);
                                }
                            }
                            return status;
                        };
                        auto other = std::async(std::launch::async, sendUntilClosed);
                        const auto failed = sendUntilClosed();
                        check(failed && failed->step_ == "send");
                        check(other.get().has_value());
                        check(closedStep(client.server_->receive(generousDeadline)) == "send");
                    }),
            }),
    }};

} // namespace
