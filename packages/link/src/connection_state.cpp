#include "connection_state.h"

#include <arpa/inet.h>
#include <fmt/format.h>

namespace jasminewood::link
{

namespace
{

constexpr std::size_t receiveChunkBytes = 16U << 10U;

auto readRemoteAddress(nng_stream *stream) -> std::string
{
    auto address = nng_sockaddr();
    if (nng_stream_get_addr(stream, NNG_OPT_REMADDR, &address) != 0 || address.s_family != NNG_AF_INET) {
        return "unknown address";
    }
    auto text = std::array<char, INET_ADDRSTRLEN>();
    inet_ntop(AF_INET, &address.s_in.sa_addr, text.data(), text.size());
    return fmt::format("{}:{}", text.data(), ntohs(address.s_in.sa_port));
}

auto remaining(TimePoint deadline) -> Milliseconds
{
    return std::chrono::ceil<Milliseconds>(deadline - Clock::now());
}

} // namespace

Connection::State::State(internal::Stream stream, const wire::Hello &ownHello, const std::string &remoteAddress)
    : stream_(std::move(stream))
    , ownHello_(ownHello)
    , remoteAddress_(remoteAddress.empty() ? readRemoteAddress(stream_.get()) : remoteAddress)
    , receiveAio_(internal::makeAio())
    , sendAio_(internal::makeAio())
{
    // With Nagle's algorithm a frame would wait for the acknowledgement of the previous message, up to 40 ms on Linux.
    nng_stream_set_bool(stream_.get(), NNG_OPT_TCP_NODELAY, true);
}

auto Connection::State::closeWith(const Failure &failure) -> Failure
{
    const auto lock = std::lock_guard(mutex_);
    if (!closeReason_) {
        closeReason_.emplace(failure);
        nng_stream_close(stream_.get());
    }
    return *closeReason_;
}

auto Connection::State::failure(const std::string &step, const std::string &reason) const -> Failure
{
    return Failure {.step_ = step, .peer_ = remoteAddress_, .reason_ = reason};
}

auto Connection::State::runOperation(Operation operation, nng_aio *aio) -> int
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (closeReason_) {
            return NNG_ECLOSED;
        }
        operation(stream_.get(), aio);
    }
    return internal::await(aio);
}

auto Connection::State::acquireSendLock(TimePoint deadline) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto acquired = sendLockReleased_.wait_until(lock, deadline, [this] {
        return !sendLocked_;
    });
    sendLocked_ = sendLocked_ || acquired;
    return acquired;
}

auto Connection::State::releaseSendLock() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        sendLocked_ = false;
    }
    sendLockReleased_.notify_one();
}

auto Connection::State::sendBytes(std::array<std::string_view, 2> parts, TimePoint deadline) -> int
{
    auto sent = std::size_t(0);
    const auto size = parts[0].size() + parts[1].size();
    while (sent < size) {
        const auto first = parts[0].substr(std::min(sent, parts[0].size()));
        const auto second = parts[1].substr(sent - (parts[0].size() - first.size()));
        // nng does not write through the pointers of a send.
        auto vector = std::array<nng_iov, 2> {nng_iov {const_cast<char *>(first.data()), first.size()},
            nng_iov {const_cast<char *>(second.data()), second.size()}};
        const auto skipped = first.empty() ? 1U : 0U;
        if (const auto error = nng_aio_set_iov(sendAio_.get(), 2 - skipped, vector.data() + skipped); error != 0) {
            return error;
        }
        internal::setTimeout(sendAio_.get(), remaining(deadline));
        if (const auto error = runOperation(nng_stream_send, sendAio_.get()); error != 0) {
            return error;
        }
        sent += nng_aio_count(sendAio_.get());
    }
    return 0;
}

auto Connection::State::receiveBytes(Milliseconds timeout) -> int
{
    auto chunk = std::array<char, receiveChunkBytes>();
    const auto vector = nng_iov {chunk.data(), chunk.size()};
    if (const auto error = nng_aio_set_iov(receiveAio_.get(), 1, &vector); error != 0) {
        return error;
    }
    internal::setTimeout(receiveAio_.get(), timeout);
    const auto error = runOperation(nng_stream_recv, receiveAio_.get());
    if (error == 0) {
        buffer_.append(std::string_view(chunk.data(), nng_aio_count(receiveAio_.get())));
    }
    return error;
}

auto Connection::State::checkHello(const ReceiveOutcome &outcome) -> Status
{
    if (const auto *closed = std::get_if<Closed>(&outcome)) {
        return failure("hello", closed->failure_.reason_);
    }
    const auto *message = std::get_if<wire::Message>(&outcome);
    if (message == nullptr) {
        return failure("hello", "the peer sent no Hello in time");
    }
    const auto *hello = std::get_if<wire::Hello>(message);
    if (hello == nullptr) {
        return failure("hello", "the first message is not Hello");
    }
    if (hello->version_ != ownHello_.version_) {
        return failure(
            "hello", fmt::format("the peer has version {} instead of {}", hello->version_, ownHello_.version_));
    }
    peerHello_.emplace(*hello);
    return std::nullopt;
}

} // namespace jasminewood::link
