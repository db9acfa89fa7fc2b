#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <curl/curl.h>
#include <poll.h>

#include "connection_end.h"
#include "jasminewood/http/client.h"
#include "response_head_reader.h"

// One libcurl handle with its connection cache, which performs one call at a time.

namespace jasminewood::http::internal
{

// Why Transfer::drive() returned.
enum class DriveResult
{
    // ready() returned true.
    Ready,
    // The call has ended; Transfer::end() returns its result.
    Ended,
    // The deadline passed; the call is still active.
    Deadline,
    // The watched descriptor hung up; the call is still active.
    HungUp,
};

// Called once, before any data, with the header fields in the order in which they were received.
using FieldsCallback = std::function<auto(int status, const std::vector<HeaderField> &fields)->void>;

// Must be used by one thread at a time, except for cancel().
class Transfer
{
public:
    Transfer();
    ~Transfer();

    Transfer(const Transfer &) = delete;
    auto operator=(const Transfer &) -> Transfer & = delete;

    // Starts a call. The request must stay valid until end().
    auto begin(const ClientRequest &request, FieldsCallback onFields, DataCallback onData) -> void;

    // Performs the call until ready() holds, the call ends, the deadline passes or the request's descriptor hangs up.
    auto drive(const std::function<auto()->bool> &ready, TimePoint deadline) -> DriveResult;

    // Ends the call, aborting it if it is not complete, and returns its HTTP status or the failure.
    auto end() -> Result<int>;

    // Performs a call from begin() to end().
    auto perform(const ClientRequest &request, const FieldsCallback &onFields, const DataCallback &onData)
        -> Result<int>;

    // Makes the current call, or the next one if none is active, fail at once. May be called from any thread.
    auto cancel() -> void;

    // Clears an earlier cancel(), so that the transfer can be reused.
    auto resetCancellation() -> void;

    // Returns whether the connection of the current call carried an earlier one. Valid once its head has arrived.
    auto connectionReused() const -> bool;

    // Returns whether the request of the current call may have been sent.
    auto mayHaveBeenSent() const -> bool;

    // Returns until when the connection of the last call may be reused.
    auto usableUntil() const -> TimePoint;

    // Returns whether nothing arrived on the connection since the last call, neither data nor its end. Data that
    // arrives between two calls belongs to no request.
    auto isQuiet() const -> bool;

private:
    // The state of one call, updated by the callbacks of libcurl.
    struct Progress
    {
        const ClientRequest &request_;
        const FieldsCallback onFields_;
        const DataCallback onData_;
        ResponseHeadReader head_ = {};
        // Why the response is refused; empty if it is well-formed so far.
        std::optional<GrammarError> grammarError_ = std::nullopt;
        TimePoint lastByteAt_ = Clock::now();
        std::optional<CURLcode> result_ = std::nullopt;
        std::size_t headBytes_ = 0;
        std::size_t bodyBytes_ = 0;
        // The message of libcurl for the failure of the call.
        std::array<char, CURL_ERROR_SIZE> errorText_ = {};
        bool connected_ = false;
        bool fieldsDelivered_ = false;
        bool dataRejected_ = false;
        // True if the watched descriptor hung up before the request was sent.
        bool hungUpBeforeSend_ = false;
    };

    using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
    using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

    // Called by libcurl when a socket is to be watched for other events, or not any more.
    static auto onSocketChange(CURL *easy, curl_socket_t socket, int events, void *transfer, void *) -> int;
    // Called by libcurl with the time after which it is to be called next; -1 for none.
    static auto onTimerChange(CURLM *multi, long timeoutMs, void *transfer) -> int;
    // Called by libcurl to close a socket.
    static auto onSocketClose(void *transfer, curl_socket_t socket) -> int;
    static auto onConnected(void *progress, char *, char *, int, int) -> int;
    static auto onHeaderLine(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;
    static auto onBody(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;

    auto configure(const ClientRequest &request) -> void;
    // Returns the failure of the call; the reason, unless it is empty, replaces that of the code.
    auto failure(CURLcode code, const std::string &incompleteness) const -> Failure;
    // Returns why a response that libcurl takes for complete is not; empty if it is.
    auto incompleteness() const -> std::string;
    auto uploadState() const -> UploadState;
    // Returns which limit the response exceeds; empty if none.
    auto exceededLimit() const -> std::string;
    // Lets libcurl act on the events that were found at a socket; on its timers if there is none. Records the result if
    // the call has ended.
    auto act(curl_socket_t socket, int events) -> void;
    // Waits for events at most until the given time and acts on them; returns false if the watched descriptor hung up.
    auto processActivity(TimePoint until) -> bool;
    // Fills pollers_ with the sockets of libcurl, followed by the watched descriptor and the one of cancel().
    auto collectPollers() -> void;
    // Returns when the idle timeout expires if no further byte is received.
    auto idleDeadline() const -> TimePoint;
    // Sets usableUntil_ from the response's Keep-Alive field; to now if the connection is closed.
    auto updateUsableUntil() -> void;

    CURLM *const multi_;
    // The handle of the current call. Each call has its own: one that is used again makes libcurl 7.88 append a folded
    // first line of a head to the last field of the response before, which it has freed. The connections belong to
    // multi_.
    EasyHandle easy_ = {nullptr, &curl_easy_cleanup};
    // The sockets that libcurl wants to be watched, and when it wants to be called at the latest.
    std::vector<pollfd> sockets_;
    TimePoint timerAt_ = TimePoint::max();
    // Kept between waits, so that they allocate nothing.
    std::vector<pollfd> pollers_;
    // Becomes readable by cancel(). Opened by the first perform(), since only its calls can be cancelled.
    std::atomic<int> cancelDescriptor_ = -1;
    std::unique_ptr<Progress> progress_;
    HeaderList headers_ = {nullptr, &curl_slist_free_all};
    TimePoint usableUntil_;
    // The socket of the last call; CURL_SOCKET_BAD if it is closed.
    curl_socket_t idleSocket_ = CURL_SOCKET_BAD;
    // How the connection that was closed last stood; empty if none was closed during the last call.
    std::optional<ConnectionEnd> connectionEnd_;
    std::atomic<bool> cancelled_ = false;
};

} // namespace jasminewood::http::internal
