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

Connection::State::State(internal::Stream stream, const wire::Hello &own, const std::string &remoteAddress)
    : stream_(std::move(stream))
    , own_(own)
    , remoteAddress_(remoteAddress.empty() ? readRemoteAddress(stream_.get()) : remoteAddress)
    , receiving_(internal::makeAio())
    , sending_(internal::makeAio())
{
    // With Nagle's algorithm a frame waits for the acknowledgement of the message before it, up to 40 ms on Linux.
    nng_stream_set_bool(stream_.get(), NNG_OPT_TCP_NODELAY, true);
}

auto Connection::State::closeWith(const Failure &failure) -> Failure
{
    const auto lock = std::lock_guard(mutex_);
    if (!closed_) {
        closed_.emplace(failure);
        nng_stream_close(stream_.get());
    }
    return *closed_;
}

auto Connection::State::failure(const std::string &step, const std::string &reason) const -> Failure
{
    return Failure {.step_ = step, .peer_ = remoteAddress_, .reason_ = reason};
}

auto Connection::State::perform(Operation operation, nng_aio *aio) -> int
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (closed_) {
            return NNG_ECLOSED;
        }
        operation(stream_.get(), aio);
    }
    return internal::await(aio);
}

auto Connection::State::takeTurn(TimePoint deadline) -> bool
{
    auto lock = std::unique_lock(mutex_);
    const auto isFree = turnEnded_.wait_until(lock, deadline, [this] {
        return !turnTaken_;
    });
    turnTaken_ = turnTaken_ || isFree;
    return isFree;
}

auto Connection::State::endTurn() -> void
{
    {
        const auto lock = std::lock_guard(mutex_);
        turnTaken_ = false;
    }
    turnEnded_.notify_one();
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
        if (const auto error = nng_aio_set_iov(sending_.get(), 2 - skipped, vector.data() + skipped); error != 0) {
            return error;
        }
        internal::setTimeout(sending_.get(), remaining(deadline));
        if (const auto error = perform(nng_stream_send, sending_.get()); error != 0) {
            return error;
        }
        sent += nng_aio_count(sending_.get());
    }
    return 0;
}

auto Connection::State::receiveBytes(Milliseconds timeout) -> int
{
    auto chunk = std::array<char, receiveChunkBytes>();
    const auto vector = nng_iov {chunk.data(), chunk.size()};
    if (const auto error = nng_aio_set_iov(receiving_.get(), 1, &vector); error != 0) {
        return error;
    }
    internal::setTimeout(receiving_.get(), timeout);
    const auto error = perform(nng_stream_recv, receiving_.get());
    if (error == 0) {
        buffer_.append(std::string_view(chunk.data(), nng_aio_count(receiving_.get())));
    }
    return error;
}

auto Connection::State::acceptHello(const ReceiveOutcome &outcome) -> Status
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
    if (hello->version_ != own_.version_) {
        return failure("hello", fmt::format("the peer has version {} instead of {}", hello->version_, own_.version_));
    }
    peer_.emplace(*hello);
    return std::nullopt;
}

} // namespace jasminewood::link
