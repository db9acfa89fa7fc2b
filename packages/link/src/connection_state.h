#pragma once

#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>

#include "aio.h"
#include "frame_buffer.h"
#include "jasminewood/link/connection.h"

namespace jasminewood::link
{

struct Connection::State
{
    // Takes the stream. The remote address is read from it if none is given.
    State(internal::Stream stream, const wire::Hello &own, const std::string &remoteAddress);

    // Records the first reason and closes the stream; returns the first reason.
    auto closeWith(const Failure &failure) -> Failure;

    auto failure(const std::string &step, const std::string &reason) const -> Failure;

    using Operation = void (*)(nng_stream *, nng_aio *);

    // Starts the operation unless the stream is closed, waits for it and returns nng's error. nng 1.5 never completes
    // an operation that starts on a closed stream, so the start and closeWith() exclude each other.
    auto perform(Operation operation, nng_aio *aio) -> int;

    // Waits for the turn to send, so that messages do not mix.
    auto takeTurn(TimePoint deadline) -> bool;

    auto endTurn() -> void;

    // Sends all the bytes; returns nng's error.
    auto sendBytes(std::array<std::string_view, 2> parts, TimePoint deadline) -> int;

    // Receives at least one byte into the buffer; returns nng's error.
    auto receiveBytes(Milliseconds timeout) -> int;

    // Keeps the peer's Hello if the outcome is one of the right version.
    auto acceptHello(const ReceiveOutcome &outcome) -> Status;

    const internal::Stream stream_;
    const wire::Hello own_;
    const std::string remoteAddress_;
    std::optional<wire::Hello> peer_;

    // Used by the receiving task only.
    const internal::Aio receiving_;
    internal::FrameBuffer buffer_;

    // Used by the task whose turn it is.
    const internal::Aio sending_;

    std::mutex mutex_;
    std::condition_variable turnEnded_;
    bool turnTaken_ = false;
    std::optional<Failure> closed_;
};

} // namespace jasminewood::link
