#pragma once

#include <memory>
#include <string>

#include "jasminewood/link/connection.h"

// Accepts connections on a TCP port.
//
//     const auto listener = link::Listener::listen("127.0.0.1:0", own);
//     while (const auto connection = (*listener)->accept()) {
//         startTask(*connection);
//     }

namespace jasminewood::link
{

// A bound port. accept() is called by one task; the other functions by any. The destructor closes.
class Listener
{
public:
    // Binds "IP:PORT"; port 0 chooses a free one. Fails with step "bind", for example if the address is in use.
    static auto listen(const std::string &address, const wire::Hello &own) -> Result<std::shared_ptr<Listener>>;

    ~Listener();
    Listener(const Listener &) = delete;
    auto operator=(const Listener &) -> Listener & = delete;

    // Waits for the next connection. Its Hello is not exchanged yet: the connection's own task calls exchangeHello(), or
    // serveConnection() which does so, and a slow or wrong client therefore delays nobody else. Fails with step
    // "accept" only after close(); lack of file descriptors is waited out.
    auto accept() -> Result<std::shared_ptr<Connection>>;

    // The bound "IP:PORT".
    auto address() const -> const std::string &;

    // Stops listening and wakes a blocked accept(). Accepted connections stay open.
    auto close() -> void;

private:
    struct State;

    explicit Listener(std::unique_ptr<State> state);

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::link
