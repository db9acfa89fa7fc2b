#include "jasminewood/link/serve_connection.h"

#include "connection_loop.h"

namespace jasminewood::link
{

auto serveConnection(const std::shared_ptr<Connection> &connection, const ServeHandlers &handlers) -> Failure
{
    if (const auto helloFailure = connection->exchangeHello(helloTimeout)) {
        return *helloFailure;
    }
    if (handlers.onConnected_) {
        handlers.onConnected_(connection);
    }
    return internal::runConnection(*connection, handlers.onMessage_, handlers.loadReport_);
}

} // namespace jasminewood::link
