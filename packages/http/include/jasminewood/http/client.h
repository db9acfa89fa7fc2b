#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jasminewood/core/clock.h"
#include "jasminewood/core/result.h"
#include "jasminewood/http/server.h"

// HTTP/1.1 calls over libcurl.
//
//     const auto answer = http::fetch({.url_ = "http://127.0.0.1:8080/health"});
//     if (answer && answer->status_ == 200) { ... }
//
// A failure has step "connect", "send", "receive", "timeout" or "cancel" and the peer HOST:PORT. Its run state is
// NotRun only if the connection was never established, else MayHaveRun. Connections are kept for 3 s, or as long as the
// peer announced, and reused. A request with retryable_ is sent again, by libcurl, if a kept connection closes without
// an answer; any other request fails then.

namespace jasminewood::http
{

struct ClientRequest
{
    const std::string method_ = "GET";
    // For example "http://10.0.0.4:8080/v1/models".
    const std::string url_;
    const std::vector<HeaderField> headers_;
    const std::string body_;
    const Milliseconds connectTimeout_ = Milliseconds(2'000);
    // Limit of the whole call; 0 means no limit.
    const Milliseconds timeout_ = Milliseconds(30'000);
    // Limit of the time in which no byte is received; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(0);
    // A connection whose peer acknowledges neither data nor probes for this time is closed; 0 means never.
    const Milliseconds deadPeerTimeout_ = Milliseconds(0);
    // Whether the request may reach the peer twice.
    const bool retryable_ = method_ == "GET" || method_ == "HEAD";
    // Sends no header fields besides those of the request, its length and its host.
    const bool omitDefaultHeaders_ = false;
    // Replaces path and query of the URL in the request line, byte for byte.
    const std::string requestTarget_ = {};
    // Uses a new connection.
    const bool forceNewConnection_ = false;
    // A descriptor whose hang-up ends the wait for an answer; -1 for none. It is only polled.
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

// Performs a call and returns its whole answer, whatever its status. Thread-safe.
auto fetch(const ClientRequest &request) -> Result<ClientResponse>;

// Called once, before any data, with the status and the header fields by lower-case name.
using HeadersCallback = std::function<auto(int status, const std::map<std::string, std::string> &headers)->void>;

// Called for each piece of data as it arrives. Returning false cancels the call.
using DataCallback = std::function<auto(std::string_view data)->bool>;

// One call whose answer is consumed while it arrives.
class StreamCall
{
public:
    StreamCall();
    ~StreamCall();

    StreamCall(const StreamCall &) = delete;
    auto operator=(const StreamCall &) -> StreamCall & = delete;

    // Performs the call and returns the status once the answer is complete. The callbacks run on the calling thread;
    // either may be empty. May be used once.
    auto perform(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData)
        -> Result<int>;

    // Ends the call at once with step "cancel", also if perform() starts later. May be called from any thread.
    auto cancel() -> void;

private:
    class State;

    const std::unique_ptr<State> state_;
};

// The beginning of an answer.
struct ResponseHead
{
    const int status_ = 0;
    // In the order of the message.
    const std::vector<HeaderField> fields_;

    auto operator<=>(const ResponseHead &) const = default;
};

// Returns the value of the first field of this name, in any case.
auto findHeader(const std::vector<HeaderField> &fields, std::string_view name) -> std::optional<std::string>;

// One call whose answer is read piece by piece by the calling thread.
//
//     auto exchange = http::Exchange(request);
//     const auto head = exchange.head(deadline);
//     for (auto piece = exchange.next(deadline); piece && *piece; piece = exchange.next(deadline)) { ... }
//
// A wait that ends at its deadline fails with step "wait", and one that ends because the watched descriptor hung up
// with step "caller"; the call goes on in both cases, and the wait may be repeated. All other failures are final. The
// destructor closes the connection of a call that is not complete.
class Exchange
{
public:
    // The request has to stay valid as long as the exchange.
    explicit Exchange(const ClientRequest &request);
    ~Exchange();

    Exchange(const Exchange &) = delete;
    auto operator=(const Exchange &) -> Exchange & = delete;

    // Waits for the status and the header fields.
    auto head(TimePoint deadline) -> Result<ResponseHead>;

    // Waits for more data and returns it, or nothing after the complete end of the answer.
    auto next(TimePoint deadline) -> Result<std::optional<std::string>>;

private:
    class State;

    const std::unique_ptr<State> state_;
};

} // namespace jasminewood::http
