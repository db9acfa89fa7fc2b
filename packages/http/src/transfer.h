#pragma once

#include <atomic>
#include <map>
#include <string>

#include <curl/curl.h>

#include "jasminewood/http/client.h"

// One libcurl handle with its connection cache.

namespace jasminewood::http::internal
{

// Used by one thread at a time, except for cancel().
class Transfer
{
public:
    Transfer();
    ~Transfer();

    Transfer(const Transfer &) = delete;
    auto operator=(const Transfer &) -> Transfer & = delete;

    auto run(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData) -> Result<int>;

    // Ends the present or next run at once. May be called from any thread.
    auto cancel() -> void;

    // Forgets an earlier cancel(), so that another call can use the transfer.
    auto rearm() -> void;

private:
    // What the callbacks of libcurl record during one run.
    struct Progress
    {
        const HeadersCallback &onHeaders_;
        const DataCallback &onData_;
        CURL *easy_ = nullptr;
        // Whether libcurl may send the request again on another connection.
        bool mayRepeat_ = false;
        std::map<std::string, std::string> headers_ = {};
        TimePoint lastByte_ = Clock::now();
        bool connected_ = false;
        bool sentHeaders_ = false;
        bool refused_ = false;
    };

    static auto onConnected(void *progress, char *, char *, int, int) -> int;
    static auto onHeaderLine(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;
    static auto onBody(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t;

    auto configure(const ClientRequest &request, curl_slist *headers, Progress &progress) -> void;
    auto drive(const ClientRequest &request, const Progress &progress) -> CURLcode;
    auto failure(CURLcode code, const ClientRequest &request, const Progress &progress) const -> Failure;

    CURLM *const multi_;
    CURL *const easy_;
    std::atomic<bool> cancelled_ = false;
};

} // namespace jasminewood::http::internal
