#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/body.h"
#include "jasminewood/http/server.h"

// HTTP/1.1 calls over libcurl.
//
//     const auto response = http::fetch({.url_ = "http://127.0.0.1:8080/health"});
//     if (response && response->status_ == 200) { ... }
//
// A failure has step "connect", "send", "receive", "timeout" or "cancel" and the peer HOST:PORT. A response that
// exceeds maximumHeadBytes or the request's maximumBodyBytes_, or is malformed (RFC 9110, RFC 9112), fails with step
// "receive". The run state of a failure is NotRun only if the connection was never established, else MayHaveRun.
// Connections are reused. An idle one is kept for 3 s, or for a second less than the peer's Keep-Alive field says, at
// most 60 s. If a reused connection closes without a response, libcurl sends the request again if it is retryable_; any
// other request fails.

namespace jasminewood::http
{

// Limit of the status line and the header fields of a response, interim responses included.
constexpr std::size_t maximumHeadBytes = 64U << 10U;
constexpr std::size_t defaultMaximumBodyBytes = 64U << 20U;

struct ClientRequest
{
    const std::string method_ = "GET";
    // For example "http://10.0.0.4:8080/v1/models".
    const std::string url_;
    const std::vector<HeaderField> headers_;
    const Body body_;
    const Milliseconds connectTimeout_ = Milliseconds(2'000);
    // Timeout of the whole call; 0 means none.
    const Milliseconds timeout_ = Milliseconds(30'000);
    // Longest time without a received byte; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(0);
    // A connection whose peer acknowledges neither data nor TCP keep-alive probes for this time is closed; 0 means
    // never.
    const Milliseconds deadPeerTimeout_ = Milliseconds(0);
    // Longest body of the response; a longer one fails the call. 0 means no limit.
    const std::size_t maximumBodyBytes_ = defaultMaximumBodyBytes;
    // True if the request may reach the peer twice.
    const bool retryable_ = method_ == "GET" || method_ == "HEAD";
    // True to send no header fields besides headers_, Content-Length and Host.
    const bool omitDefaultHeaders_ = false;
    // If not empty, replaces the path and query of the URL in the request line, byte for byte.
    const std::string requestTarget_ = {};
    // True to use a new connection for this call alone, so that no bytes of an earlier call can be taken for its
    // response. For peers that do not name the request in their responses.
    const bool ownConnection_ = false;
    // A socket whose hang-up ends the wait for a response, such as that of the caller; -1 for none. A request whose
    // descriptor hung up before it could be sent is not sent. No data is consumed from it.
    const int watchedDescriptor_ = -1;

    auto operator<=>(const ClientRequest &) const = default;
};

struct ClientResponse
{
    const int status_ = 0;
    // Header fields by lower-case name.
    const std::map<std::string, std::string> headers_;
    const std::string body_;

    auto operator<=>(const ClientResponse &) const = default;
};

// Performs a call and returns the complete response, whatever its status. Thread-safe.
auto fetch(const ClientRequest &request) -> Result<ClientResponse>;

// Called once, before any data, with the status and the header fields by lower-case name.
using HeadersCallback = std::function<auto(int status, const std::map<std::string, std::string> &headers)->void>;

// Called for each piece of data as it arrives. Returning false cancels the call.
using DataCallback = std::function<auto(std::string_view data)->bool>;

// One call whose response is passed to callbacks as it arrives.
class StreamCall
{
public:
    StreamCall();
    ~StreamCall();

    StreamCall(const StreamCall &) = delete;
    auto operator=(const StreamCall &) -> StreamCall & = delete;

    // Performs the call and returns the status once the response is complete. The callbacks run on the calling thread;
    // either may be empty. May be called once.
    auto perform(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData)
        -> Result<int>;

    // Makes the call fail at once with step "cancel", also if perform() starts later. May be called from any thread.
    auto cancel() -> void;

private:
    class State;

    const std::unique_ptr<State> state_;
};

// The status and the header fields of a response.
struct ResponseHead
{
    const int status_ = 0;
    // In the order in which they were received.
    const std::vector<HeaderField> fields_;
    // True if an earlier request was sent on the connection. The response may then be a late copy of that request's.
    const bool connectionReused_ = false;

    auto operator<=>(const ResponseHead &) const = default;
};

// Returns whether the names of two fields are the same; upper and lower case are equal.
auto isSameFieldName(std::string_view first, std::string_view second) -> bool;

// Returns the value of the first field with this name.
auto findHeader(const std::vector<HeaderField> &fields, std::string_view name) -> std::optional<std::string>;

// One call whose response the calling thread reads piece by piece.
//
//     auto exchange = http::Exchange(request);
//     const auto head = exchange.head(deadline);
//     for (auto piece = exchange.next(deadline); piece && *piece; piece = exchange.next(deadline)) { ... }
//
// A wait that ends at its deadline fails with step "wait", and one that ends because the watched descriptor hung up
// with step "caller"; in both cases the call stays active and the wait may be repeated. Their run state is NotRun if
// the request had not been sent until then. All other failures are final. The destructor closes the connection of a
// call that is not complete.
class Exchange
{
public:
    // Starts the call. The request must outlive the exchange.
    explicit Exchange(const ClientRequest &request);
    ~Exchange();

    Exchange(const Exchange &) = delete;
    auto operator=(const Exchange &) -> Exchange & = delete;

    // Waits for the status and the header fields.
    auto head(TimePoint deadline) -> Result<ResponseHead>;

    // Waits for more data and returns it, or nullopt once the response is complete.
    auto next(TimePoint deadline) -> Result<std::optional<std::string>>;

private:
    class State;

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::http
