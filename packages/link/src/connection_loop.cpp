#include "connection_loop.h"

#include "jasminewood/link/heartbeat.h"

namespace jasminewood::link::internal
{

namespace
{

auto silence(const Connection &connection) -> Failure
{
    return Failure {.step_ = "receive", .peer_ = connection.remoteAddress(), .reason_ = "the connection is silent"};
}

auto makeHeartbeat(std::uint64_t sequence, const LoadProvider &load) -> wire::Message
{
    if (load) {
        return wire::Heartbeat {.sequence_ = sequence, .load_ = load()};
    }
    return wire::Heartbeat {.sequence_ = sequence};
}

} // namespace

auto runConnection(Connection &connection, const MessageHandler &onMessage, const LoadProvider &load) -> Failure
{
    auto clock = HeartbeatTimer(Clock::now());
    auto sequence = std::uint64_t(0);
    while (true) {
        const auto due = clock.actionDue(Clock::now());
        if (due == HeartbeatAction::SendHeartbeat) {
            // A failed send closes the connection, and receive() gives the reason.
            connection.send(makeHeartbeat(++sequence, load));
            clock.recordSent(Clock::now());
        }
        // Bytes that arrived while this task was held up are read before the connection counts as silent.
        const auto outcome = connection.receive(std::chrono::ceil<Milliseconds>(clock.nextDeadline() - Clock::now()));
        if (const auto *closed = std::get_if<Closed>(&outcome)) {
            return closed->failure_;
        }
        if (const auto *message = std::get_if<wire::Message>(&outcome)) {
            onMessage(*message);
            clock.recordReceived(Clock::now());
        } else if (std::get<TimedOut>(outcome).receivedBytes_) {
            clock.recordReceived(Clock::now());
        } else if (due == HeartbeatAction::PeerTimedOut) {
            connection.close();
            return silence(connection);
        }
    }
}

} // namespace jasminewood::link::internal
