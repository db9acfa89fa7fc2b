#include "transfer.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <string>
#include <string_view>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call_failure.h"
#include "jasminewood/http/hang_up.h"

namespace jasminewood::http::internal
{

namespace
{

// Bounds the wait of a call without any timer.
constexpr auto maximumWait = Milliseconds(60'000);

// A connection that was idle for longer is not reused if the peer states no timeout. Common HTTP servers close idle
// connections after 5 s or more; the lower limit avoids that a server closes a connection just as a request is sent on
// it.
constexpr auto defaultIdleTime = Milliseconds(3'000);
// The same for a peer that states a longer timeout, since devices on the way may forget silent connections.
constexpr long maximumIdleSeconds = 60;

auto headerList(const ClientRequest &request) -> curl_slist *
{
    // Waiting for "100 Continue" delays a large body by up to a second at servers that do not send it.
    auto *list = curl_slist_append(nullptr, "Expect:");
    if (request.omitDefaultHeaders_) {
        // A field without a value suppresses the one that libcurl would add. A field of the request with the same name
        // is appended below and is still sent.
        list = curl_slist_append(list, "Accept:");
        list = curl_slist_append(list, "Content-Type:");
    }
    for (const auto &header : request.headers_) {
        const auto line = header.value_.empty() ? header.name_ + ";" : header.name_ + ": " + header.value_;
        list = curl_slist_append(list, line.c_str());
    }
    return list;
}

// Makes the kernel close the connection if data or probes are not acknowledged for this time.
auto setUserTimeout(void *limit, curl_socket_t socket, curlsocktype /*purpose*/) -> int
{
    const auto time = unsigned(*static_cast<const Milliseconds *>(limit) / Milliseconds(1));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &time, sizeof(time));
    return CURL_SOCKOPT_OK;
}

auto peerOf(const std::string &url) -> std::string
{
    const auto scheme = url.find("://");
    const auto start = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(start, url.find_first_of("/?", start) - start);
}

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return text;
}

// Returns the events of poll() for those that libcurl wants to know of.
auto pollEvents(int curlEvents) -> short
{
    const auto input = (curlEvents & CURL_POLL_IN) != 0 ? POLLIN : 0;
    const auto output = (curlEvents & CURL_POLL_OUT) != 0 ? POLLOUT : 0;
    return short(input | output);
}

// Returns the events to report to libcurl. It looks itself at a socket that is reported with none, and classifies
// errors of the connection then.
auto curlEvents(short pollEvents) -> int
{
    return pollEvents == POLLIN ? CURL_CSELECT_IN : 0;
}

} // namespace

Transfer::Transfer()
    : multi_(curl_multi_init())
{
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Transfer::onSocketChange);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Transfer::onTimerChange);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
}

Transfer::~Transfer()
{
    if (progress_) {
        static_cast<void>(end());
    }
    curl_multi_cleanup(multi_);
    if (cancelDescriptor_ >= 0) {
        close(cancelDescriptor_);
    }
}

auto Transfer::onSocketChange(CURL * /*easy*/, curl_socket_t socket, int events, void *transfer, void * /*socketData*/)
    -> int
{
    auto &sockets = static_cast<Transfer *>(transfer)->sockets_;
    std::erase_if(sockets, [socket](const pollfd &each) {
        return each.fd == socket;
    });
    if (events != CURL_POLL_REMOVE) {
        sockets.push_back({.fd = socket, .events = pollEvents(events), .revents = 0});
    }
    return 0;
}

auto Transfer::onTimerChange(CURLM * /*multi*/, long timeoutMs, void *transfer) -> int
{
    static_cast<Transfer *>(transfer)->timerAt_
        = timeoutMs < 0 ? TimePoint::max() : Clock::now() + Milliseconds(timeoutMs);
    return 0;
}

auto Transfer::onSocketClose(void *transfer, curl_socket_t socket) -> int
{
    static_cast<Transfer *>(transfer)->connectionEnd_.emplace(inspectConnection(socket));
    return close(socket);
}

auto Transfer::resetCancellation() -> void
{
    auto count = eventfd_t(0);
    if (cancelled_.exchange(false) && cancelDescriptor_ >= 0) {
        eventfd_read(cancelDescriptor_, &count);
    }
}

auto Transfer::cancel() -> void
{
    cancelled_ = true;
    if (cancelDescriptor_ >= 0) {
        eventfd_write(cancelDescriptor_, 1);
    }
}

auto Transfer::connectionReused() const -> bool
{
    auto newConnections = 0L;
    curl_easy_getinfo(easy_.get(), CURLINFO_NUM_CONNECTS, &newConnections);
    return newConnections == 0;
}

auto Transfer::mayHaveBeenSent() const -> bool
{
    return progress_->connected_;
}

auto Transfer::usableUntil() const -> TimePoint
{
    return usableUntil_;
}

auto Transfer::isQuiet() const -> bool
{
    if (idleSocket_ == CURL_SOCKET_BAD) {
        return false;
    }
    auto poller = pollfd {.fd = idleSocket_, .events = POLLIN | POLLRDHUP, .revents = 0};
    return poll(&poller, 1, 0) == 0;
}

auto Transfer::onConnected(void *progress, char * /*peer*/, char * /*local*/, int /*peerPort*/, int /*localPort*/)
    -> int
{
    auto &state = *static_cast<Progress *>(progress);
    // libcurl retries a request by itself if a reused connection closes without a response; it calls this function
    // before it sends the request again.
    if (state.connected_ && !state.request_.retryable_) {
        return CURL_PREREQFUNC_ABORT;
    }
    // The connection may have taken long, or this thread may have waited for the processor.
    const auto watched = state.request_.watchedDescriptor_;
    if (watched >= 0 && hasHungUp(watched)) {
        state.hungUpBeforeSend_ = true;
        return CURL_PREREQFUNC_ABORT;
    }
    state.connected_ = true;
    state.lastByteAt_ = Clock::now();
    return CURL_PREREQFUNC_OK;
}

auto Transfer::onHeaderLine(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t
{
    auto &state = *static_cast<Progress *>(progress);
    state.lastByteAt_ = Clock::now();
    const auto line = std::string_view(data, size * count);
    state.headBytes_ += line.size();
    if (state.headBytes_ > maximumHeadBytes) {
        // A result other than the size of the data makes libcurl abort the transfer.
        return 0;
    }
    if (const auto error = state.head_.read(line)) {
        state.grammarError_.emplace(*error);
        return 0;
    }
    if (state.head_.isComplete() && !state.fieldsDelivered_) {
        state.fieldsDelivered_ = true;
        if (state.onFields_) {
            state.onFields_(state.head_.status(), state.head_.fields());
        }
    }
    return line.size();
}

auto Transfer::onBody(char *data, std::size_t size, std::size_t count, void *progress) -> std::size_t
{
    auto &state = *static_cast<Progress *>(progress);
    state.lastByteAt_ = Clock::now();
    const auto piece = std::string_view(data, size * count);
    state.bodyBytes_ += piece.size();
    const auto limit = state.request_.maximumBodyBytes_;
    if (limit > 0 && state.bodyBytes_ > limit) {
        return 0;
    }
    if (state.onData_ && !state.onData_(piece)) {
        state.dataRejected_ = true;
        return 0;
    }
    return piece.size();
}

auto Transfer::configure(const ClientRequest &request) -> void
{
    headers_.reset(headerList(request));
    easy_.reset(curl_easy_init());
    curl_easy_setopt(easy_.get(), CURLOPT_URL, request.url_.c_str());
    curl_easy_setopt(easy_.get(), CURLOPT_ERRORBUFFER, progress_->errorText_.data());
    curl_easy_setopt(easy_.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy_.get(), CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_.get(), CURLOPT_HTTP_VERSION, long(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, headers_.get());
    curl_easy_setopt(easy_.get(), CURLOPT_MAXAGE_CONN, maximumIdleSeconds);
    curl_easy_setopt(easy_.get(), CURLOPT_FORBID_REUSE, request.ownConnection_ ? 1L : 0L);
    curl_easy_setopt(easy_.get(), CURLOPT_CONNECTTIMEOUT_MS, long(request.connectTimeout_.count()));
    curl_easy_setopt(easy_.get(), CURLOPT_TIMEOUT_MS, long(request.timeout_.count()));
    curl_easy_setopt(easy_.get(), CURLOPT_CLOSESOCKETFUNCTION, &Transfer::onSocketClose);
    curl_easy_setopt(easy_.get(), CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy_.get(), CURLOPT_PREREQFUNCTION, &Transfer::onConnected);
    curl_easy_setopt(easy_.get(), CURLOPT_PREREQDATA, progress_.get());
    curl_easy_setopt(easy_.get(), CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
    curl_easy_setopt(easy_.get(), CURLOPT_HEADERDATA, progress_.get());
    curl_easy_setopt(easy_.get(), CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(easy_.get(), CURLOPT_WRITEDATA, progress_.get());
    if (!request.requestTarget_.empty()) {
        curl_easy_setopt(easy_.get(), CURLOPT_REQUEST_TARGET, request.requestTarget_.c_str());
    }
    if (request.deadPeerTimeout_.count() > 0) {
        constexpr long probeSeconds = 1;
        curl_easy_setopt(easy_.get(), CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy_.get(), CURLOPT_TCP_KEEPIDLE, probeSeconds);
        curl_easy_setopt(easy_.get(), CURLOPT_TCP_KEEPINTVL, probeSeconds);
        curl_easy_setopt(easy_.get(), CURLOPT_SOCKOPTFUNCTION, &setUserTimeout);
        curl_easy_setopt(easy_.get(), CURLOPT_SOCKOPTDATA, &request.deadPeerTimeout_);
    }
    if (request.method_ == "HEAD") {
        curl_easy_setopt(easy_.get(), CURLOPT_NOBODY, 1L);
    } else if (request.method_ != "GET" || !request.body_.empty()) {
        curl_easy_setopt(easy_.get(), CURLOPT_POSTFIELDS, request.body_.data());
        curl_easy_setopt(easy_.get(), CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(request.body_.size()));
        curl_easy_setopt(easy_.get(), CURLOPT_CUSTOMREQUEST, request.method_.c_str());
    }
}

auto Transfer::exceededLimit() const -> std::string
{
    const auto bodyLimit = progress_->request_.maximumBodyBytes_;
    if (progress_->headBytes_ > maximumHeadBytes) {
        return "the head of the response exceeds the limit of " + std::to_string(maximumHeadBytes) + " bytes";
    }
    if (bodyLimit > 0 && progress_->bodyBytes_ > bodyLimit) {
        return "the body of the response exceeds the limit of " + std::to_string(bodyLimit) + " bytes";
    }
    return "";
}

auto Transfer::uploadState() const -> UploadState
{
    auto sentBytes = curl_off_t(0);
    curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &sentBytes);
    return std::size_t(sentBytes) < progress_->request_.body_.size() ? UploadState::Abandoned : UploadState::Complete;
}

auto Transfer::incompleteness() const -> std::string
{
    // libcurl returns success if the peer closes the connection after the status line, before the end of the head.
    if (!progress_->fieldsDelivered_) {
        return "the response ended inside its head";
    }
    const auto isUnframed = progress_->request_.method_ != "HEAD" && progress_->head_.bodyEndsWithConnection();
    if (!isUnframed || !connectionEnd_) {
        return "";
    }
    return std::string(interruptionOf(progress_->head_.status(), uploadState(), *connectionEnd_).value_or(""));
}

auto Transfer::failure(CURLcode code, const std::string &incompleteness) const -> Failure
{
    const auto cancelled = cancelled_ || progress_->dataRejected_;
    const auto limit = exceededLimit();
    const auto &grammarError = progress_->grammarError_;
    const auto reason = !limit.empty() ? limit
        : grammarError                 ? toString(*grammarError)
        : code == CURLE_OK             ? incompleteness
                                       : failureReason(code, progress_->errorText_.data());
    return Failure {.step_ = cancelled ? "cancel" : failedStep(code, progress_->connected_),
        .peer_ = peerOf(progress_->request_.url_),
        .reason_ = cancelled ? "the call was cancelled" : reason,
        .runState_ = progress_->connected_ ? RunState::MayHaveRun : RunState::NotRun};
}

auto Transfer::begin(const ClientRequest &request, FieldsCallback onFields, DataCallback onData) -> void
{
    progress_ = std::make_unique<Progress>(
        Progress {.request_ = request, .onFields_ = std::move(onFields), .onData_ = std::move(onData)});
    connectionEnd_.reset();
    configure(request);
    curl_multi_add_handle(multi_, easy_.get());
    timerAt_ = Clock::now();
}

auto Transfer::act(curl_socket_t socket, int events) -> void
{
    auto running = 1;
    if (curl_multi_socket_action(multi_, socket, events, &running) != CURLM_OK) {
        progress_->result_ = CURLE_FAILED_INIT;
        return;
    }
    auto left = 0;
    while (running == 0) {
        const auto *message = curl_multi_info_read(multi_, &left);
        if (message == nullptr) {
            return;
        }
        if (message->msg == CURLMSG_DONE) {
            progress_->result_ = message->data.result;
        }
    }
}

auto Transfer::idleDeadline() const -> TimePoint
{
    const auto limit = progress_->request_.idleTimeout_;
    return limit.count() > 0 ? progress_->lastByteAt_ + limit : TimePoint::max();
}

auto Transfer::collectPollers() -> void
{
    pollers_.assign(sockets_.begin(), sockets_.end());
    // Without POLLIN, so that data which the caller sent early does not end each wait.
    pollers_.push_back({.fd = progress_->request_.watchedDescriptor_, .events = POLLRDHUP, .revents = 0});
    pollers_.push_back({.fd = cancelDescriptor_, .events = POLLIN, .revents = 0});
}

auto Transfer::processActivity(TimePoint until) -> bool
{
    collectPollers();
    const auto socketCount = sockets_.size();
    const auto wait = std::min<Clock::duration>(maximumWait, std::min(until, timerAt_) - Clock::now());
    const auto timeout = std::max<std::int64_t>(0, std::chrono::ceil<Milliseconds>(wait).count());
    const auto readyCount = poll(pollers_.data(), pollers_.size(), int(timeout));
    if (readyCount > 0 && pollers_[socketCount].revents != 0) {
        return false;
    }
    for (auto index = std::size_t(0); readyCount > 0 && index < socketCount; ++index) {
        if (pollers_[index].revents != 0 && !progress_->result_) {
            act(pollers_[index].fd, curlEvents(pollers_[index].revents));
        }
    }
    if (Clock::now() >= timerAt_ && !progress_->result_) {
        // libcurl sets the timer again if it still needs one.
        timerAt_ = TimePoint::max();
        act(CURL_SOCKET_TIMEOUT, 0);
    }
    return true;
}

auto Transfer::drive(const std::function<auto()->bool> &ready, TimePoint deadline) -> DriveResult
{
    for (auto polled = false;; polled = true) {
        if (progress_->hungUpBeforeSend_) {
            return DriveResult::HungUp;
        }
        if (ready()) {
            return DriveResult::Ready;
        }
        if (progress_->result_) {
            return DriveResult::Ended;
        }
        const auto now = Clock::now();
        if (cancelled_ || now >= idleDeadline()) {
            progress_->result_ = cancelled_ ? CURLE_ABORTED_BY_CALLBACK : CURLE_OPERATION_TIMEDOUT;
            return DriveResult::Ended;
        }
        // What has already arrived is taken even if the deadline has passed.
        if (polled && now >= deadline) {
            return DriveResult::Deadline;
        }
        if (!processActivity(std::min(deadline, idleDeadline()))) {
            return DriveResult::HungUp;
        }
    }
}

auto Transfer::updateUsableUntil() -> void
{
    // The peer's timeout starts when it sends the response, and the next request must arrive before it expires.
    constexpr auto margin = Milliseconds(1000);
    auto idle = defaultIdleTime;
    for (const auto &field : progress_->head_.fields()) {
        const auto position
            = lowerCase(field.name_) == "keep-alive" ? field.value_.find("timeout=") : std::string::npos;
        if (position != std::string::npos) {
            const auto seconds = std::clamp(std::atol(&field.value_[position + 8]), 0L, maximumIdleSeconds);
            idle = std::max(Milliseconds(0), Milliseconds(std::chrono::seconds(seconds)) - margin);
        }
    }
    usableUntil_ = Clock::now() + (idleSocket_ == CURL_SOCKET_BAD ? Milliseconds(0) : idle);
}

auto Transfer::end() -> Result<int>
{
    const auto code = progress_->result_.value_or(CURLE_ABORTED_BY_CALLBACK);
    const auto incompleteReason = code == CURLE_OK ? incompleteness() : "";
    idleSocket_ = CURL_SOCKET_BAD;
    curl_easy_getinfo(easy_.get(), CURLINFO_ACTIVESOCKET, &idleSocket_);
    curl_multi_remove_handle(multi_, easy_.get());
    easy_.reset();
    const auto isComplete = code == CURLE_OK && incompleteReason.empty();
    auto outcome = isComplete ? Result<int>(progress_->head_.status()) : Result<int>(failure(code, incompleteReason));
    updateUsableUntil();
    progress_.reset();
    return outcome;
}

auto Transfer::perform(const ClientRequest &request, const FieldsCallback &onFields, const DataCallback &onData)
    -> Result<int>
{
    if (cancelDescriptor_ < 0) {
        cancelDescriptor_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    }
    begin(request, onFields, onData);
    const auto neverReady = [] {
        return false;
    };
    for (auto result = DriveResult::Ready; result != DriveResult::Ended && result != DriveResult::HungUp;) {
        result = drive(neverReady, TimePoint::max());
    }
    return end();
}

} // namespace jasminewood::http::internal
