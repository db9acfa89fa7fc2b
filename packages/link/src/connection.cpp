#include "jasminewood/link/connection.h"

#include <cassert>

#include "connection_state.h"
#include "jasminewood/wire/codec.h"

namespace jasminewood::link
{

namespace
{

auto dialStream(const std::string &address, Milliseconds timeout) -> Result<std::shared_ptr<nng_stream>>
{
    const auto dialFailure = [&address](int error) -> Failure {
        return Failure {.step_ = "dial", .peer_ = address, .reason_ = nng_strerror(error)};
    };
    nng_stream_dialer *handle = nullptr;
    if (const auto error = nng_stream_dialer_alloc(&handle, ("tcp://" + address).c_str()); error != 0) {
        return dialFailure(error);
    }
    const auto dialer = internal::StreamDialer(handle);
    const auto dialAio = internal::makeAio();
    internal::setTimeout(dialAio.get(), timeout);
    nng_stream_dialer_dial(dialer.get(), dialAio.get());
    if (const auto error = internal::await(dialAio.get()); error != 0) {
        return dialFailure(error);
    }
    return std::shared_ptr<nng_stream>(
        static_cast<nng_stream *>(nng_aio_get_output(dialAio.get(), 0)), nng_stream_free);
}

} // namespace

auto Connection::dial(const std::string &address, const wire::Hello &ownHello, Milliseconds timeout)
    -> Result<std::shared_ptr<Connection>>
{
    const auto deadline = Clock::now() + timeout;
    const auto stream = dialStream(address, timeout);
    if (!stream) {
        return stream.failure();
    }
    auto state = std::make_unique<State>(*stream, ownHello, address);
    auto connection = std::shared_ptr<Connection>(new Connection(std::move(state)));
    const auto helloFailure = connection->exchangeHello(std::chrono::ceil<Milliseconds>(deadline - Clock::now()));
    if (helloFailure) {
        return *helloFailure;
    }
    return connection;
}

Connection::Connection(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Connection::~Connection()
{
    close();
}

auto Connection::exchangeHello(Milliseconds timeout) -> Status
{
    const auto deadline = Clock::now() + timeout;
    if (const auto sendFailure = send(state_->ownHello_)) {
        return state_->failure("hello", sendFailure->reason_);
    }
    const auto helloFailure = state_->checkHello(receive(std::chrono::ceil<Milliseconds>(deadline - Clock::now())));
    if (helloFailure) {
        state_->closeWith(*helloFailure);
    }
    return helloFailure;
}

auto Connection::send(const wire::Message &message) -> Status
{
    const auto deadline = Clock::now() + sendTimeout;
    if (const auto invalid = wire::validate(message)) {
        return state_->failure(invalid->step_, invalid->reason_);
    }
    const auto body = wire::encode(message);
    const auto prefix = internal::lengthPrefix(body.size());
    if (!state_->acquireSendLock(deadline)) {
        return state_->closeWith(state_->failure("send", "the peer takes no bytes"));
    }
    // After a partly sent message the peer could not decode the rest of the stream, so any error closes the connection.
    const auto error = state_->sendBytes({prefix, body}, deadline);
    auto status = error == 0 ? Status() : Status(state_->closeWith(state_->failure("send", nng_strerror(error))));
    state_->releaseSendLock();
    return status;
}

auto Connection::receive(Milliseconds timeout) -> ReceiveOutcome
{
    const auto deadline = Clock::now() + timeout;
    auto receivedBytes = false;
    while (true) {
        const auto message = state_->buffer_.takeMessage();
        if (!message) {
            return Closed {state_->closeWith(state_->failure(message.failure().step_, message.failure().reason_))};
        }
        if (*message) {
            return **message;
        }
        const auto remaining = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
        if (receivedBytes && remaining <= Milliseconds(0)) {
            return TimedOut {.receivedBytes_ = true};
        }
        const auto error = state_->receiveBytes(remaining);
        if (error == NNG_ETIMEDOUT) {
            return TimedOut {.receivedBytes_ = receivedBytes};
        }
        if (error != 0) {
            return Closed {state_->closeWith(state_->failure("receive", nng_strerror(error)))};
        }
        receivedBytes = true;
    }
}

auto Connection::peer() const -> const wire::Hello &
{
    assert(state_->peerHello_.has_value());
    return *state_->peerHello_;
}

auto Connection::remoteAddress() const -> const std::string &
{
    return state_->remoteAddress_;
}

auto Connection::close() -> void
{
    state_->closeWith(state_->failure("close", "closed by this process"));
}

} // namespace jasminewood::link
