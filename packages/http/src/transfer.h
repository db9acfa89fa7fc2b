#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <curl/curl.h>

#include "jasminewood/http/client.h"

// One libcurl handle with its connection cache.

namespace jasminewood::http::internal
{

// Why Transfer::drive() returned.
enum class Pause
{
    // The condition of the caller holds.
    Ready,
    // The call is over; Transfer::end() tells how.
    Ended,
    // The deadline passed; the call goes on.
    Deadline,
    // The watched descriptor hung up; the call goes on.
    HungUp,
};

// Called for each piece of data; the header fields have the order of the message.
using FieldsCallback = std::function<auto(int status, const std::vector<HeaderField> &fields)->void>;

// Used by one thread at a time, except for cancel().
class Transfer
{
public:
    Transfer();
    ~Transfer();

    Transfer(const Transfer &) = delete;
    auto operator=(const Transfer &) -> Transfer & = delete;

    // Starts a call. The request has to stay valid until the call is over.
    auto begin(const ClientRequest &request, FieldsCallback onFields, DataCallback onData) -> void;

    // Performs the call until ready() holds, the call ends, the deadline passes or the request's descriptor hangs up.
    auto drive(const std::function<auto()->bool> &ready, TimePoint deadline) -> Pause;

    // Ends the call, also an unfinished one, and returns its status or why it failed.
    auto end() -> Result<int>;

    // Performs a whole call.
    auto run(const ClientRequest &request, const FieldsCallback &onFields, const DataCallback &onData) -> Result<int>;

    // Ends the present or next call at once. May be called from any thread.
    auto cancel() -> void;

    // Forgets an earlier cancel(), so that another call can use the transfer.
    auto rearm() -> void;

    // Until when the peer keeps the connection of the last call open, as far as it is known.
    auto usableUntil() const -> TimePoint;

private:
    // What the callbacks of libcurl record during one call.
    struct Progress
    {
        const ClientRequest &request_;
        const FieldsCallback onFields_;
        const DataCallback onData_;
        CURL *easy_ = nullptr;
        std::vector<HeaderField> fields_ = {};
        TimePoint lastByte_ = Clock::now();
        std::optional<CURLcode> result_ = std::nullopt;
        bool connected_ = false;
        bool sentFields_ = false;
        bool refused_ = false;
        bool watching_ = true;
    };

    using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

    static auto onConnected(void *progress, char *, char *, int, int) -> int;
    static auto onHeaderLine(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;
    static auto onBody(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;

    auto configure(const ClientRequest &request) -> void;
    auto failure(CURLcode code) const -> Failure;
    auto step() -> void;
    // Waits for activity until the time given at most; returns false if the watched descriptor hung up.
    auto await(TimePoint until) -> bool;
    auto idleEnd() const -> TimePoint;
    auto noteKeepAlive() -> void;

    CURLM *const multi_;
    CURL *const easy_;
    std::unique_ptr<Progress> progress_;
    HeaderList headers_ = {nullptr, &curl_slist_free_all};
    TimePoint usableUntil_;
    std::atomic<bool> cancelled_ = false;
};

} // namespace jasminewood::http::internal
