#include "jasminewood/link/listener.h"

#include <condition_variable>
#include <mutex>

#include "connection_state.h"

namespace jasminewood::link
{

namespace
{

// The wait after a failed accept, for example for lack of file descriptors.
constexpr auto acceptPause = Milliseconds(100);

} // namespace

struct Listener::State
{
    State(internal::StreamListener listener, const wire::Hello &own, const std::string &address)
        : listener_(std::move(listener))
        , accepting_(internal::makeAio())
        , own_(own)
        , address_(address)
    {
    }

    // Waits for the pause or for close(); returns whether the listener is closed.
    auto closedAfter(Milliseconds pause) -> bool
    {
        auto lock = std::unique_lock(mutex_);
        return closing_.wait_for(lock, pause, [this] {
            return closed_;
        });
    }

    const internal::StreamListener listener_;
    const internal::Aio accepting_;
    const wire::Hello own_;
    const std::string address_;
    std::mutex mutex_;
    std::condition_variable closing_;
    bool closed_ = false;
};

auto Listener::listen(const std::string &address, const wire::Hello &own) -> Result<std::shared_ptr<Listener>>
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
    return std::shared_ptr<Listener>(new Listener(std::make_unique<State>(std::move(listener), own, bound)));
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
        nng_aio_set_timeout(state_->accepting_.get(), NNG_DURATION_INFINITE);
        nng_stream_listener_accept(state_->listener_.get(), state_->accepting_.get());
        if (internal::await(state_->accepting_.get()) == 0) {
            auto *handle = static_cast<nng_stream *>(nng_aio_get_output(state_->accepting_.get(), 0));
            auto stream = internal::Stream(handle, nng_stream_free);
            return std::shared_ptr<Connection>(
                new Connection(std::make_unique<Connection::State>(std::move(stream), state_->own_, "")));
        }
        if (state_->closedAfter(acceptPause)) {
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
    state_->closing_.notify_all();
    nng_stream_listener_close(state_->listener_.get());
}

} // namespace jasminewood::link
