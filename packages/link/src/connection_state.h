#pragma once

#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>

#include "aio.h"
#include "jasminewood/link/connection.h"
#include "message_buffer.h"

namespace jasminewood::link
{

struct Connection::State
{
    // Takes ownership of the stream. An empty remote address is replaced by that of the stream.
    State(internal::Stream stream, const wire::Hello &ownHello, const std::string &remoteAddress);

    // Closes the stream and records the reason, unless it is already closed; returns the reason of the first close.
    auto closeWith(const Failure &failure) -> Failure;

    auto failure(const std::string &step, const std::string &reason) const -> Failure;

    using Operation = void (*)(nng_stream *, nng_aio *);

    // Starts the operation unless the stream is closed, waits for it and returns nng's error. nng 1.5 never completes
    // an operation that starts on a closed stream, so both the start and closeWith() hold mutex_.
    auto runOperation(Operation operation, nng_aio *aio) -> int;

    // Waits until no other thread is sending, so that the bytes of messages are not interleaved. Returns false at the
    // deadline.
    auto acquireSendLock(TimePoint deadline) -> bool;

    auto releaseSendLock() -> void;

    // Sends all bytes; the caller must hold the send lock. Returns nng's error.
    auto sendBytes(std::array<std::string_view, 2> parts, TimePoint deadline) -> int;

    // Receives at least one byte into the buffer; returns nng's error.
    auto receiveBytes(Milliseconds timeout) -> int;

    // Stores the peer's Hello if the outcome is a Hello with our version; else returns the failure.
    auto checkHello(const ReceiveOutcome &outcome) -> Status;

    const internal::Stream stream_;
    const wire::Hello ownHello_;
    const std::string remoteAddress_;
    std::optional<wire::Hello> peerHello_;

    // Used only by the receiving thread.
    const internal::Aio receiveAio_;
    internal::MessageBuffer buffer_;

    // Used only by the thread that holds the send lock.
    const internal::Aio sendAio_;

    // Guards the members below.
    std::mutex mutex_;
    std::condition_variable sendLockReleased_;
    bool sendLocked_ = false;
    std::optional<Failure> closeReason_;
};

} // namespace jasminewood::link
