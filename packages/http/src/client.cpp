#include "jasminewood/http/client.h"

#include <mutex>
#include <utility>

#include "transfer.h"

namespace jasminewood::http
{

namespace
{

// More idle handles than this would only hold connections that no caller needs.
constexpr std::size_t maximumIdleTransfers = 32;

// Initialises libcurl once, before any thread uses it.
auto initialise() -> void
{
    static const auto code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

// Idle transfers with their open connections. Thread-safe.
class TransferPool
{
public:
    auto take() -> std::unique_ptr<internal::Transfer>
    {
        const auto lock = std::scoped_lock(mutex_);
        if (idle_.empty()) {
            return std::make_unique<internal::Transfer>();
        }
        auto transfer = std::move(idle_.back());
        idle_.pop_back();
        return transfer;
    }

    auto giveBack(std::unique_ptr<internal::Transfer> transfer) -> void
    {
        transfer->rearm();
        const auto lock = std::scoped_lock(mutex_);
        if (idle_.size() < maximumIdleTransfers) {
            idle_.push_back(std::move(transfer));
        }
    }

    // Takes note of a failed call. What made one connection silent may affect all, so that none is reused after a
    // timeout.
    auto noteFailure(const Failure &failure) -> void
    {
        auto dropped = std::vector<std::unique_ptr<internal::Transfer>>();
        if (failure.step_ == "timeout") {
            const auto lock = std::scoped_lock(mutex_);
            dropped.swap(idle_);
        }
    }

private:
    std::mutex mutex_;
    std::vector<std::unique_ptr<internal::Transfer>> idle_;
};

auto pool() -> TransferPool &
{
    initialise();
    // Never destroyed, because a thread may still use it while the process exits.
    static auto &shared = *new TransferPool();
    return shared;
}

} // namespace

auto fetch(const ClientRequest &request) -> Result<ClientResponse>
{
    auto headers = std::map<std::string, std::string>();
    auto body = std::string();
    auto transfer = pool().take();
    const auto status = transfer->run(
        request,
        [&headers](int, const std::map<std::string, std::string> &received) {
            headers = received;
        },
        [&body](std::string_view data) {
            body.append(data);
            return true;
        });
    if (!status) {
        pool().noteFailure(status.reason());
        return status.reason();
    }
    pool().giveBack(std::move(transfer));
    return ClientResponse {.status_ = *status, .headers_ = std::move(headers), .body_ = std::move(body)};
}

class StreamCall::State
{
public:
    ~State()
    {
        if (complete_) {
            pool().giveBack(std::move(transfer_));
        }
    }

    std::unique_ptr<internal::Transfer> transfer_ = pool().take();
    // Whether the connection of the call can be used again.
    bool complete_ = false;
};

StreamCall::StreamCall()
    : state_(std::make_unique<State>())
{
}

StreamCall::~StreamCall() = default;

auto StreamCall::perform(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData)
    -> Result<int>
{
    auto status = state_->transfer_->run(request, onHeaders, onData);
    state_->complete_ = bool(status);
    if (!status) {
        pool().noteFailure(status.reason());
    }
    return status;
}

auto StreamCall::cancel() -> void
{
    state_->transfer_->cancel();
}

} // namespace jasminewood::http
