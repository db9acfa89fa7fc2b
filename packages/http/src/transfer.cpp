#include "transfer.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <optional>
#include <string_view>

namespace jasminewood::http::internal
{

namespace
{

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

// libcurl's own timers wake curl_multi_poll earlier; this bounds the wait of a call without any timer.
constexpr auto longestWait = Milliseconds(60'000);

// A connection that was idle for longer is not reused. It is below the idle limits of common HTTP servers (5 s and
// more), so that a server does not close a connection just as a request is sent on it.
constexpr long maximumIdleSeconds = 3;

auto headerList(const ClientRequest &request) -> HeaderList
{
    // Waiting for "100 Continue" delays a large body by up to a second at servers that do not send it.
    auto *list = curl_slist_append(nullptr, "Expect:");
    for (const auto &header : request.headers_) {
        list = curl_slist_append(list, (header.name_ + ": " + header.value_).c_str());
    }
    return {list, &curl_slist_free_all};
}

auto peerOf(const std::string &url) -> std::string
{
    const auto scheme = url.find("://");
    const auto start = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(start, url.find_first_of("/?", start) - start);
}

auto trimmed(std::string_view text) -> std::string
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string() : std::string(text.substr(first, last - first + 1));
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return text;
}

auto mayRepeat(const std::string &method) -> bool
{
    return method == "GET" || method == "HEAD";
}

auto stepOf(CURLcode code, bool connected) -> std::string
{
    if (!connected) {
        return "connect";
    }
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return "timeout";
    case CURLE_SEND_ERROR:
    case CURLE_SEND_FAIL_REWIND:
        return "send";
    default:
        return "receive";
    }
}

auto reasonOf(CURLcode code) -> std::string
{
    return code == CURLE_ABORTED_BY_CALLBACK ? "the peer closed a kept connection without an answer"
                                             : curl_easy_strerror(code);
}

} // namespace

Transfer::Transfer()
    : multi_(curl_multi_init())
    , easy_(curl_easy_init())
{
}

Transfer::~Transfer()
{
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
}

auto Transfer::rearm() -> void
{
    cancelled_ = false;
}

auto Transfer::cancel() -> void
{
    cancelled_ = true;
    curl_multi_wakeup(multi_);
}

auto Transfer::onConnected(void *progress, char * /*peer*/, char * /*local*/, int /*peerPort*/, int /*localPort*/)
    -> int
{
    auto &state = *static_cast<Progress *>(progress);
    // libcurl repeats a request by itself if a reused connection closes without an answer; it asks here first.
    if (state.connected_ && !state.mayRepeat_) {
        return CURL_PREREQFUNC_ABORT;
    }
    state.connected_ = true;
    state.lastByte_ = Clock::now();
    return CURL_PREREQFUNC_OK;
}

auto Transfer::onHeaderLine(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t
{
    auto &state = *static_cast<Progress *>(progress);
    state.lastByte_ = Clock::now();
    const auto line = std::string_view(data, size * count);
    const auto colon = line.find(':');
    if (line.starts_with("HTTP/")) {
        state.headers_.clear();
    } else if (colon != std::string_view::npos) {
        state.headers_[lowerCase(trimmed(line.substr(0, colon)))] = trimmed(line.substr(colon + 1));
    } else if (trimmed(line).empty()) {
        auto status = 0L;
        curl_easy_getinfo(state.easy_, CURLINFO_RESPONSE_CODE, &status);
        if (status >= 200 && !state.sentHeaders_) {
            state.sentHeaders_ = true;
            if (state.onHeaders_) {
                state.onHeaders_(int(status), state.headers_);
            }
        }
    }
    return line.size();
}

auto Transfer::onBody(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t
{
    auto &state = *static_cast<Progress *>(progress);
    state.lastByte_ = Clock::now();
    const auto piece = std::string_view(data, size * count);
    if (state.onData_ && !state.onData_(piece)) {
        state.refused_ = true;
        // Fewer bytes than offered make libcurl end the transfer.
        return 0;
    }
    return piece.size();
}

auto Transfer::configure(const ClientRequest &request, curl_slist *headers, Progress &progress) -> void
{
    curl_easy_reset(easy_);
    curl_easy_setopt(easy_, CURLOPT_URL, request.url_.c_str());
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN, maximumIdleSeconds);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, long(request.connectTimeout_.count()));
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, long(request.timeout_.count()));
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &Transfer::onConnected);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, &progress);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &progress);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &progress);
    if (request.method_ == "HEAD") {
        curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
    } else if (request.method_ != "GET") {
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body_.data());
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(request.body_.size()));
        curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    }
}

auto Transfer::failure(CURLcode code, const ClientRequest &request, const Progress &progress) const -> Failure
{
    const auto cancelled = cancelled_ || progress.refused_;
    return Failure {.step_ = cancelled ? "cancel" : stepOf(code, progress.connected_),
        .peer_ = peerOf(request.url_),
        .reason_ = cancelled ? "the call was cancelled" : reasonOf(code),
        .runState_ = progress.connected_ ? RunState::MayHaveRun : RunState::NotRun};
}

auto Transfer::drive(const ClientRequest &request, const Progress &progress) -> CURLcode
{
    for (auto running = 1; !cancelled_;) {
        if (curl_multi_perform(multi_, &running) != CURLM_OK) {
            return CURLE_FAILED_INIT;
        }
        auto left = 0;
        while (const auto *message = curl_multi_info_read(multi_, &left)) {
            if (message->msg == CURLMSG_DONE) {
                return message->data.result;
            }
        }
        auto wait = longestWait;
        if (request.idleTimeout_.count() > 0) {
            const auto idleEnd = progress.lastByte_ + request.idleTimeout_;
            const auto now = Clock::now();
            if (now >= idleEnd) {
                return CURLE_OPERATION_TIMEDOUT;
            }
            wait = std::min(wait, std::chrono::ceil<Milliseconds>(idleEnd - now));
        }
        curl_multi_poll(multi_, nullptr, 0, int(wait.count()), nullptr);
    }
    return CURLE_ABORTED_BY_CALLBACK;
}

auto Transfer::run(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData)
    -> Result<int>
{
    auto progress = Progress {
        .onHeaders_ = onHeaders, .onData_ = onData, .easy_ = easy_, .mayRepeat_ = mayRepeat(request.method_)};
    const auto headers = headerList(request);
    configure(request, headers.get(), progress);
    curl_multi_add_handle(multi_, easy_);
    const auto code = drive(request, progress);
    auto status = 0L;
    curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi_, easy_);
    curl_easy_reset(easy_);
    if (code != CURLE_OK) {
        return failure(code, request, progress);
    }
    return int(status);
}

} // namespace jasminewood::http::internal
