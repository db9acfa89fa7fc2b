#pragma once

#include <algorithm>
#include <memory>
#include <new>
#include <string>

#include <nng/nng.h>

#include "jasminewood/core/clock.h"

// Owning pointers to nng's handles.

namespace jasminewood::link::internal
{

template <auto Function>
struct HandleDeleter
{
    template <typename Handle>
    auto operator()(Handle *handle) const -> void
    {
        Function(handle);
    }
};

using Aio = std::unique_ptr<nng_aio, HandleDeleter<nng_aio_free>>;
using Stream = std::shared_ptr<nng_stream>;
using StreamDialer = std::unique_ptr<nng_stream_dialer, HandleDeleter<nng_stream_dialer_free>>;
using StreamListener = std::unique_ptr<nng_stream_listener, HandleDeleter<nng_stream_listener_free>>;

// Creates a handle for asynchronous operations, one at a time, that are completed with await(). Throws only
// std::bad_alloc.
inline auto makeAio() -> Aio
{
    nng_aio *handle = nullptr;
    if (nng_aio_alloc(&handle, nullptr, nullptr) != 0) {
        throw std::bad_alloc();
    }
    return Aio(handle);
}

// Sets the timeout of the next operation, at least 1 ms: with a timeout of zero, nng fails before it tries the
// operation.
inline auto setTimeout(nng_aio *aio, Milliseconds timeout) -> void
{
    nng_aio_set_timeout(aio, nng_duration(std::max(timeout, Milliseconds(1)).count()));
}

// Waits for the operation and returns nng's error, 0 for success.
inline auto await(nng_aio *aio) -> int
{
    nng_aio_wait(aio);
    return nng_aio_result(aio);
}

} // namespace jasminewood::link::internal
