#include "jasminewood/link/serve_connection.h"

#include "connection_loop.h"

namespace jasminewood::link
{

auto serveConnection(const std::shared_ptr<Connection> &connection, const ServeHandlers &handlers) -> Failure
{
    if (const auto refused = connection->greet(helloTimeout)) {
        return *refused;
    }
    if (handlers.onUp_) {
        handlers.onUp_(connection);
    }
    return internal::runConnection(*connection, handlers.onMessage_, handlers.load_);
}

} // namespace jasminewood::link
