#include "connection_loop.h"

#include "jasminewood/link/heartbeat.h"

namespace jasminewood::link::internal
{

namespace
{

auto timeoutFailure(const Connection &connection) -> Failure
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
    auto timer = HeartbeatTimer(Clock::now());
    auto sequence = std::uint64_t(0);
    while (true) {
        const auto action = timer.actionDue(Clock::now());
        if (action == HeartbeatAction::SendHeartbeat) {
            // A failed send closes the connection, and receive() then returns the reason.
            connection.send(makeHeartbeat(++sequence, load));
            timer.recordSent(Clock::now());
        }
        // After a delay of this thread, bytes that have already arrived are read before the peer is declared timed out.
        const auto outcome = connection.receive(std::chrono::ceil<Milliseconds>(timer.nextDeadline() - Clock::now()));
        if (const auto *closed = std::get_if<Closed>(&outcome)) {
            return closed->failure_;
        }
        if (const auto *message = std::get_if<wire::Message>(&outcome)) {
            onMessage(*message);
            timer.recordReceived(Clock::now());
        } else if (std::get<TimedOut>(outcome).receivedBytes_) {
            timer.recordReceived(Clock::now());
        } else if (action == HeartbeatAction::PeerTimedOut) {
            connection.close();
            return timeoutFailure(connection);
        }
    }
}

} // namespace jasminewood::link::internal
