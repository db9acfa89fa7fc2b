#pragma once

#include <compare>
#include <functional>
#include <map>
#include <memory>
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
// NotRun only if the connection was never established, else MayHaveRun. Connections are kept for 3 s and reused. Only
// GET and HEAD may be sent again, by libcurl, if a kept connection closes without an answer; any other method fails
// then.

namespace jasminewood::http
{

struct ClientRequest
{
    const std::string method_ = "GET";
    // For example "http://10.0.0.4:8080/v1/models".
    const std::string url_;
    const std::vector<Header> headers_;
    const std::string body_;
    const Milliseconds connectTimeout_ = Milliseconds(2'000);
    // Limit of the whole call; 0 means no limit.
    const Milliseconds timeout_ = Milliseconds(30'000);
    // Limit of the time in which no byte is received; 0 means no limit.
    const Milliseconds idleTimeout_ = Milliseconds(0);

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

} // namespace jasminewood::http
