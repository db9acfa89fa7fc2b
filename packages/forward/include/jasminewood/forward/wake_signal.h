#pragma once

#include <memory>

#include "jasminewood/core/clock.h"

// Lets one thread wait until another one wakes it, a connection is closed or a time has come.
//
//     signal->wait(callerSocket, deadline);   // On the waiting thread.
//     signal->wake();                         // On any other one.

namespace jasminewood::forward
{

// Thread-safe.
class WakeSignal
{
public:
    // Returns nullptr if the process has no descriptor left.
    static auto create() -> std::shared_ptr<WakeSignal>;

    ~WakeSignal();

    WakeSignal(const WakeSignal &) = delete;
    auto operator=(const WakeSignal &) -> WakeSignal & = delete;

    auto wake() const -> void;

    // Blocks until wake() was called, the peer of the socket has closed its connection, or the time has come. A socket
    // below 0 is ignored. Returns whether wake() was called.
    auto wait(int socket, TimePoint until) const -> bool;

private:
    explicit WakeSignal(int descriptor);

    const int descriptor_;
};

} // namespace jasminewood::forward
