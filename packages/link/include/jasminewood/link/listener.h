#pragma once

#include <memory>
#include <string>

#include "jasminewood/link/connection.h"

// Accepts connections on a TCP port.
//
//     const auto listener = link::Listener::listen("127.0.0.1:0", ownHello);
//     while (const auto connection = (*listener)->accept()) {
//         startThread(*connection);
//     }

namespace jasminewood::link
{

// A bound port. accept() must be called by one thread only; the other functions by any thread. The destructor closes
// the port.
class Listener
{
public:
    // Binds "IP:PORT"; port 0 chooses a free one. Fails with step "bind", for example if the address is in use.
    static auto listen(const std::string &address, const wire::Hello &ownHello) -> Result<std::shared_ptr<Listener>>;

    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    // Waits for the next connection. Does not exchange Hellos: the connection's own thread calls exchangeHello()
    // or serveConnection(), so that a slow or incompatible client does not delay others. Fails with step "accept" only
    // after close(); other errors, such as a lack of file descriptors, are retried.
    auto accept() -> Result<std::shared_ptr<Connection>>;

    // Returns the bound "IP:PORT".
    auto address() const -> const std::string &;

    // Stops listening and wakes a blocked accept(). Accepted connections stay open.
    auto close() -> void;

private:
    struct State;

    explicit Listener(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::link
