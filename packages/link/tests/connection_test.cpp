#include "jasminewood/link/connection.h"

#include <future>

#include <fmt/format.h>

#include "jasminewood/testbench/sockets.h"
#include "jasminewood/testkit/property.h"
#include "jasminewood/wire/codec.h"
#include "message_buffer.h"
#include "test_server.h"

using namespace jasminewood;
using jasminewood::link::Closed;
using jasminewood::link::Connection;
using jasminewood::link::frameOf;
using jasminewood::link::generousTimeout;
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

auto withLengthPrefix(const std::string &message) -> std::string
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

auto takeAll(link::internal::MessageBuffer &buffer, std::vector<std::string> &received) -> void
{
    while (true) {
        const auto next = buffer.takeMessage();
        RC_ASSERT(bool(next));
        if (!*next) {
            return;
        }
        received.push_back(std::get<wire::Frame>(**next).data_);
    }
}

// Both ends of a connection after the Hello exchange.
struct ConnectedPair
{
    std::shared_ptr<Listener> listener_ = *Listener::listen("127.0.0.1:0", helloOf("server"));
    std::future<Result<std::shared_ptr<Connection>>> dialResult_ = std::async(std::launch::async, [this] {
        return Connection::dial(listener_->address(), helloOf("client"), generousTimeout);
    });
    std::shared_ptr<Connection> server_ = *listener_->accept();
    Status helloFailure_ = server_->exchangeHello(generousTimeout);
    std::shared_ptr<Connection> client_ = *dialResult_.get();
};

// An accepted connection whose client is a plain socket. exchangeHello() exchanges Hellos.
struct RawClient
{
    std::shared_ptr<Listener> listener_ = *Listener::listen("127.0.0.1:0", helloOf("server"));
    Socket socket_ = Socket::connect(listener_->address());
    std::shared_ptr<Connection> server_ = *listener_->accept();

    auto exchangeHello() const -> void
    {
        socket_.write(withLengthPrefix(wire::encode(helloOf("raw"))));
        check(!server_->exchangeHello(generousTimeout));
    }
};

const testkit::TestSuite helloExchange = {"two processes that connect",
    {
        section("with the same version",
            {
                // Guards against attempts that are sent to the wrong process.
                test("have each other's Hello and address",
                    [] {
                        const auto pair = ConnectedPair();
                        check(pair.server_->peer() == helloOf("client"));
                        check(pair.client_->peer() == helloOf("server"));
                        check(pair.client_->remoteAddress() == pair.listener_->address());
                        check(pair.server_->remoteAddress().starts_with("127.0.0.1:"));
                    }),
            }),
        section("with different versions",
            {
                // Guards against peers that decode messages of another version, and against a rejection whose reason
                // only one side has.
                test("reject each other with both versions in the reason",
                    [] {
                        const auto listener = *Listener::listen("127.0.0.1:0", helloOf("server"));
                        auto dialResult = std::async(std::launch::async, [&] {
                            const auto newer = wire::Hello {.version_ = otherVersion, .node_ = {.name_ = "client"}};
                            return Connection::dial(listener->address(), newer, generousTimeout);
                        });
                        const auto server = *listener->accept();
                        const auto serverFailure = server->exchangeHello(generousTimeout);
                        const auto clientResult = dialResult.get();
                        check(serverFailure && serverFailure->step_ == "hello");
                        check(serverFailure->reason_
                            == fmt::format(
                                "the peer has version {} instead of {}", otherVersion, wire::protocolVersion));
                        check(!clientResult && clientResult.failure().step_ == "hello");
                        check(clientResult.failure().reason_
                            == fmt::format(
                                "the peer has version {} instead of {}", wire::protocolVersion, otherVersion));
                    }),
                test("reject a message format of another version",
                    [] {
                        const auto client = RawClient();
                        auto hello = wire::encode(helloOf("raw"));
                        hello[1] = char(otherVersion);
                        client.socket_.write(withLengthPrefix(hello));
                        const auto failure = client.server_->exchangeHello(generousTimeout);
                        check(failure && failure->step_ == "hello");
                        check(failure->reason_
                            == fmt::format("protocol version {} instead of {}", otherVersion, wire::protocolVersion));
                    }),
            }),
        section("where one sends another message before its Hello",
            {
                test("are not connected",
                    [] {
                        const auto client = RawClient();
                        client.socket_.write(withLengthPrefix(wire::encode(wire::Drain {})));
                        const auto failure = client.server_->exchangeHello(generousTimeout);
                        check(failure && failure->reason_ == "the first message is not Hello");
                    }),
            }),
        section("where the other does not listen or sends no Hello",
            {
                // Guards against a dial that blocks forever or whose failure lacks the step or the address.
                test("fail with the step and the address",
                    [] {
                        const auto reserved = Socket::reserve();
                        const auto unused = reserved.address();
                        const auto refused = Connection::dial(unused, helloOf("client"), generousTimeout);
                        check(!refused && refused.failure().step_ == "dial" && refused.failure().peer_ == unused);
                        const auto silent = Socket::listen();
                        const auto late = Connection::dial(silent.address(), helloOf("client"), Milliseconds(50));
                        check(!late && late.failure().step_ == "hello");
                        check(!Connection::dial("not an address", helloOf("client"), generousTimeout));
                    }),
            }),
    }};

const testkit::TestSuite messages = {"messages on a connection",
    {
        section("small or of the maximum size",
            {
                // Guards against loss and reordering at the boundaries of reads and writes.
                test("arrive whole and in order",
                    [] {
                        const auto pair = ConnectedPair();
                        const auto large = std::string(wire::maximumBodyBytes, 'x');
                        auto sending = std::async(std::launch::async, [&] {
                            for (auto index = 0U; index < 100; ++index) {
                                check(!pair.client_->send(frameOf(index, index % 50 == 0 ? large : "small")));
                            }
                        });
                        for (auto index = 0U; index < 100; ++index) {
                            const auto expected = frameOf(index, index % 50 == 0 ? large : "small");
                            check(isMessage(pair.server_->receive(generousTimeout), expected));
                        }
                        sending.get();
                    }),
            }),
        section("sent by several threads",
            {
                // Guards against messages whose bytes are interleaved.
                test("arrive whole",
                    [] {
                        const auto pair = ConnectedPair();
                        constexpr auto messagesPerSender = 200U;
                        const auto body = std::string(100000, 'x');
                        auto senders = std::vector<std::future<void>>();
                        for (auto sender = 0; sender < 4; ++sender) {
                            senders.push_back(std::async(std::launch::async, [&] {
                                for (auto index = 0U; index < messagesPerSender; ++index) {
                                    check(!pair.client_->send(frameOf(index, body)));
                                }
                            }));
                        }
                        for (auto index = 0U; index < 4 * messagesPerSender; ++index) {
                            const auto outcome = pair.server_->receive(generousTimeout);
                            check(std::holds_alternative<wire::Message>(outcome));
                        }
                    }),
            }),
        section("that arrive in fragments",
            {
                // Guards against the loss of the first fragment when receive() times out.
                test("are complete after a timeout between two fragments",
                    [] {
                        const auto client = RawClient();
                        client.exchangeHello();
                        const auto bytes = withLengthPrefix(wire::encode(frameOf(5, "whole")));
                        client.socket_.write(bytes.substr(0, 7));
                        while (client.server_->receive(Milliseconds(20)) != ReceiveOutcome(TimedOut {true})) {}
                        check(client.server_->receive(Milliseconds(20)) == ReceiveOutcome(TimedOut {false}));
                        client.socket_.write(bytes.substr(7));
                        check(isMessage(client.server_->receive(generousTimeout), frameOf(5, "whole")));
                    }),
                property("are the same for any fragmentation",
                    [](const std::vector<std::string> &bodies) {
                        auto bytes = std::string();
                        for (const auto &body : bodies) {
                            bytes += withLengthPrefix(wire::encode(frameOf(0, body)));
                        }
                        auto buffer = link::internal::MessageBuffer();
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
        section("that violate the format",
            {
                // Guards against a malicious length, and against decoding that continues after a corrupt message.
                test("close the connection permanently",
                    [] {
                        for (const auto *bytes : {"\xff\xff\xff\xff", "\x01\x01\x01\x01"}) {
                            const auto client = RawClient();
                            client.exchangeHello();
                            client.socket_.write(bytes);
                            check(closedStep(client.server_->receive(generousTimeout)) == "decode");
                            check(closedStep(client.server_->receive(generousTimeout)) == "decode");
                            check(client.server_->send(wire::Drain {}).has_value());
                        }
                    }),
                // Guards against one oversized request that closes a connection shared by many.
                test("are rejected by the sender, whose connection stays open",
                    [] {
                        const auto pair = ConnectedPair();
                        const auto failure
                            = pair.client_->send(frameOf(0, std::string(wire::maximumBodyBytes + 1, 'x')));
                        check(failure && failure->step_ == "encode");
                        check(!pair.client_->send(wire::Drain {}));
                        check(isMessage(pair.server_->receive(generousTimeout), wire::Drain {}));
                    }),
            }),
    }};

const testkit::TestSuite closing = {"a connection that ends",
    {
        section("by close() in the same process",
            {
                // Guards against a thread that cannot be stopped while it waits.
                test("wakes the receiving thread",
                    [] {
                        const auto pair = ConnectedPair();
                        auto receiving = std::async(std::launch::async, [&] {
                            return pair.server_->receive(generousTimeout);
                        });
                        pair.server_->close();
                        check(closedStep(receiving.get()) == "close");
                    }),
            }),
        section("by close() at the peer",
            {
                test("delivers the messages sent before and then the end",
                    [] {
                        const auto pair = ConnectedPair();
                        check(!pair.client_->send(wire::Drain {}));
                        pair.client_->close();
                        check(isMessage(pair.server_->receive(generousTimeout), wire::Drain {}));
                        check(closedStep(pair.server_->receive(generousTimeout)) == "receive");
                    }),
            }),
        section("because the peer reads nothing",
            {
                // Guards against threads that a frozen peer blocks forever.
                test("fails the sends of all threads",
                    [] {
                        const auto client = RawClient();
                        client.exchangeHello();
                        const auto large = frameOf(0, std::string(wire::maximumBodyBytes, 'x'));
                        const auto sendUntilClosed = [&] {
                            auto status = Status();
                            // Far more data than the buffers of two sockets hold.
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
                        check(closedStep(client.server_->receive(generousTimeout)) == "send");
                    }),
            }),
    }};

} // namespace
