#include "jasminewood/link/listener.h"

#include <condition_variable>
#include <mutex>

#include "connection_state.h"

namespace jasminewood::link
{

namespace
{

// The delay after a failed accept, for example because of a lack of file descriptors.
constexpr auto acceptRetryDelay = Milliseconds(100);

} // namespace

struct Listener::State
{
    State(internal::StreamListener listener, const wire::Hello &ownHello, const std::string &address)
        : listener_(std::move(listener))
        , acceptAio_(internal::makeAio())
        , ownHello_(ownHello)
        , address_(address)
    {
    }

    // Waits until the delay has passed or close() is called; returns whether the listener is closed.
    auto waitForClose(Milliseconds delay) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return closeCondition_.wait_for(lock, delay, [this] {
            return closed_;
        });
    }

    const internal::StreamListener listener_;
    const internal::Aio acceptAio_;
    const wire::Hello ownHello_;
    const std::string address_;
    std::mutex mutex_;
    std::condition_variable closeCondition_;
    bool closed_ = false;
};

auto Listener::listen(const std::string &address, const wire::Hello &ownHello) -> Result<std::shared_ptr<Listener>>
{
    nng_stream_listener *handle = nullptr;
    auto error = nng_stream_listener_alloc(&handle, ("tcp://" + address).c_str());
    auto listener = internal::StreamListener(handle);
    error = error == 0 ? nng_stream_listener_listen(handle) : error;
    auto port = 0;
    error = error == 0 ? nng_stream_listener_get_int(handle, NNG_OPT_TCP_BOUND_PORT, &port) : error;
    if (error != 0) {
        return Failure {.step_ = "bind", .peer_ = address, .reason_ = nng_strerror(error)};
    }
    const auto bound = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
    return std::shared_ptr<Listener>(new Listener(std::make_unique<State>(std::move(listener), ownHello, bound)));
}

Listener::Listener(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

Listener::~Listener()
{
    close();
}

auto Listener::accept() -> Result<std::shared_ptr<Connection>>
{
    while (true) {
        nng_aio_set_timeout(state_->acceptAio_.get(), NNG_DURATION_INFINITE);
        nng_stream_listener_accept(state_->listener_.get(), state_->acceptAio_.get());
        if (internal::await(state_->acceptAio_.get()) == 0) {
            auto *handle = static_cast<nng_stream *>(nng_aio_get_output(state_->acceptAio_.get(), 0));
            auto stream = internal::Stream(handle, nng_stream_free);
            return std::shared_ptr<Connection>(
                new Connection(std::make_unique<Connection::State>(std::move(stream), state_->ownHello_, "")));
        }
        if (state_->waitForClose(acceptRetryDelay)) {
            return Failure {.step_ = "accept", .peer_ = state_->address_, .reason_ = "the listener is closed"};
        }
    }
}

auto Listener::address() const -> const std::string &
{
    return state_->address_;
}

auto Listener::close() -> void
{
    {
        const auto lock = std::lock_guard(state_->mutex_);
        state_->closed_ = true;
    }
    state_->closeCondition_.notify_all();
    nng_stream_listener_close(state_->listener_.get());
}

} // namespace jasminewood::link
