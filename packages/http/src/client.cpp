#include "jasminewood/http/client.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <mutex>
#include <utility>

#include <strings.h>

#include "transfer.h"

namespace jasminewood::http
{

namespace
{

// Limits the memory held by idle connections.
constexpr std::size_t maximumIdleTransfers = 64;

// Initialises libcurl once, before any thread uses it.
auto initialiseCurl() -> void
{
    static const auto code = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(code);
}

// Returns scheme, host and port of a URL.
auto originOf(const std::string &url) -> std::string
{
    const auto scheme = url.find("://");
    return url.substr(0, url.find_first_of("/?", scheme == std::string::npos ? 0 : scheme + 3));
}

// Idle transfers with their open connections, by origin. Thread-safe.
class TransferPool
{
public:
    auto acquire(const std::string &origin, const ClientRequest &request) -> std::unique_ptr<internal::Transfer>
    {
        if (request.ownConnection_) {
            return std::make_unique<internal::Transfer>();
        }
        while (auto transfer = takeIdle(origin)) {
            if (Clock::now() < transfer->usableUntil() && transfer->isQuiet()) {
                return transfer;
            }
        }
        return std::make_unique<internal::Transfer>();
    }

    auto release(const std::string &origin, std::unique_ptr<internal::Transfer> transfer) -> void
    {
        transfer->resetCancellation();
        auto expired = std::vector<std::unique_ptr<internal::Transfer>>();
        const auto lock = std::scoped_lock(mutex_);
        const auto now = Clock::now();
        for (auto entry = idle_.begin(); entry != idle_.end();) {
            const auto isExpired = entry->second->usableUntil() <= now;
            if (isExpired) {
                expired.push_back(std::move(entry->second));
            }
            entry = isExpired ? idle_.erase(entry) : std::next(entry);
        }
        if (now >= transfer->usableUntil()) {
            return;
        }
        if (idle_.size() >= maximumIdleTransfers) {
            expired.push_back(takeSoonestToExpire());
        }
        idle_.emplace(origin, std::move(transfer));
    }

    // Discards all idle connections if the failure is a timeout, because its cause may affect every connection.
    auto handleFailure(const Failure &failure) -> void
    {
        auto discarded = std::multimap<std::string, std::unique_ptr<internal::Transfer>>();
        if (failure.step_ == "timeout") {
            const auto lock = std::scoped_lock(mutex_);
            discarded.swap(idle_);
        }
    }

private:
    // Precondition: the caller holds mutex_, and there is an idle transfer.
    auto takeSoonestToExpire() -> std::unique_ptr<internal::Transfer>
    {
        const auto soonest = std::min_element(idle_.begin(), idle_.end(), [](const auto &left, const auto &right) {
            return left.second->usableUntil() < right.second->usableUntil();
        });
        auto transfer = std::move(soonest->second);
        idle_.erase(soonest);
        return transfer;
    }

    // Returns the transfer that was used last, or nothing if there is none. Transfers are created, checked and
    // destroyed without the lock: that makes system calls, and each request that begins or ends needs the lock.
    auto takeIdle(const std::string &origin) -> std::unique_ptr<internal::Transfer>
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto [first, last] = idle_.equal_range(origin);
        if (first == last) {
            return nullptr;
        }
        // Equal keys are in the order of their insertion.
        const auto found = std::prev(last);
        auto transfer = std::move(found->second);
        idle_.erase(found);
        return transfer;
    }

    std::mutex mutex_;
    std::multimap<std::string, std::unique_ptr<internal::Transfer>> idle_;
};

auto transferPool() -> TransferPool &
{
    initialiseCurl();
    // Never destroyed, because a thread may still use it while the process exits.
    static auto &shared = *new TransferPool();
    return shared;
}

auto lowerCase(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return lower;
}

auto headersByLowerName(const std::vector<HeaderField> &fields) -> std::map<std::string, std::string>
{
    auto byName = std::map<std::string, std::string>();
    for (const auto &field : fields) {
        byName.insert_or_assign(lowerCase(field.name_), field.value_);
    }
    return byName;
}

} // namespace

auto isSameFieldName(std::string_view first, std::string_view second) -> bool
{
    return first.size() == second.size() && strncasecmp(first.data(), second.data(), first.size()) == 0;
}

auto findHeader(const std::vector<HeaderField> &fields, std::string_view name) -> std::optional<std::string>
{
    const auto found = std::find_if(fields.begin(), fields.end(), [name](const HeaderField &field) {
        return isSameFieldName(field.name_, name);
    });
    return found == fields.end() ? std::nullopt : std::optional(found->value_);
}

auto fetch(const ClientRequest &request) -> Result<ClientResponse>
{
    auto headers = std::map<std::string, std::string>();
    auto body = std::string();
    const auto origin = originOf(request.url_);
    auto transfer = transferPool().acquire(origin, request);
    const auto status = transfer->perform(
        request,
        [&headers](int, const std::vector<HeaderField> &received) {
            headers = headersByLowerName(received);
        },
        [&body](std::string_view data) {
            body.append(data);
            return true;
        });
    if (!status) {
        transferPool().handleFailure(status.failure());
        return status.failure();
    }
    transferPool().release(origin, std::move(transfer));
    return ClientResponse {.status_ = *status, .headers_ = std::move(headers), .body_ = std::move(body)};
}

class StreamCall::State
{
public:
    // Guards all members, because cancel() may be called from another thread.
    std::mutex mutex_;
    // The transfer while perform() runs; else null.
    std::unique_ptr<internal::Transfer> transfer_;
    bool cancelled_ = false;
};

StreamCall::StreamCall()
    : state_(std::make_unique<State>())
{
}

StreamCall::~StreamCall() = default;

auto StreamCall::perform(const ClientRequest &request, const HeadersCallback &onHeaders, const DataCallback &onData)
    -> Result<int>
{
    const auto origin = originOf(request.url_);
    auto acquired = transferPool().acquire(origin, request);
    auto *transfer = acquired.get();
    {
        const auto lock = std::scoped_lock(state_->mutex_);
        state_->transfer_ = std::move(acquired);
        if (state_->cancelled_) {
            transfer->cancel();
        }
    }
    const auto status = transfer->perform(
        request,
        [&onHeaders](int code, const std::vector<HeaderField> &received) {
            if (onHeaders) {
                onHeaders(code, headersByLowerName(received));
            }
        },
        onData);
    const auto lock = std::scoped_lock(state_->mutex_);
    acquired = std::move(state_->transfer_);
    if (status) {
        transferPool().release(origin, std::move(acquired));
    } else {
        transferPool().handleFailure(status.failure());
    }
    return status;
}

auto StreamCall::cancel() -> void
{
    const auto lock = std::scoped_lock(state_->mutex_);
    state_->cancelled_ = true;
    if (state_->transfer_) {
        state_->transfer_->cancel();
    }
}

class Exchange::State
{
public:
    explicit State(const ClientRequest &request)
        : origin_(originOf(request.url_))
        , peer_(origin_.substr(origin_.find("://") + 3))
        , transfer_(transferPool().acquire(origin_, request))
    {
        transfer_->begin(
            request,
            [this](int status, const std::vector<HeaderField> &fields) {
                head_.emplace(ResponseHead {
                    .status_ = status, .fields_ = fields, .connectionReused_ = transfer_->connectionReused()});
            },
            [this](std::string_view data) {
                pending_.append(data);
                return true;
            });
    }

    // Waits until ready() holds or the call is complete.
    auto wait(const std::function<auto()->bool> &ready, TimePoint deadline) -> Status
    {
        if (failure_ || complete_) {
            return failure_;
        }
        switch (transfer_->drive(ready, deadline)) {
        case internal::DriveResult::Ready:
            return std::nullopt;
        case internal::DriveResult::Deadline:
            return waitFailure("wait", "the deadline of the wait has passed");
        case internal::DriveResult::HungUp:
            return waitFailure("caller", "the caller closed its connection");
        case internal::DriveResult::Ended:
            break;
        }
        finish();
        return failure_;
    }

    auto head(TimePoint deadline) -> Result<ResponseHead>
    {
        const auto failure = wait(
            [this] {
                return head_.has_value();
            },
            deadline);
        if (head_) {
            return *head_;
        }
        return failure.value_or(waitFailure("receive", "the answer has no head"));
    }

    auto next(TimePoint deadline) -> Result<std::optional<std::string>>
    {
        const auto failure = wait(
            [this] {
                return !pending_.empty();
            },
            deadline);
        if (!pending_.empty()) {
            return std::optional<std::string>(std::exchange(pending_, {}));
        }
        if (failure) {
            return *failure;
        }
        return std::optional<std::string>();
    }

private:
    auto waitFailure(const std::string &step, const std::string &reason) const -> Failure
    {
        const auto runState = transfer_ && !transfer_->mayHaveBeenSent() ? RunState::NotRun : RunState::MayHaveRun;
        return {.step_ = step, .peer_ = peer_, .reason_ = reason, .runState_ = runState};
    }

    auto finish() -> void
    {
        const auto status = transfer_->end();
        complete_ = bool(status);
        if (status) {
            transferPool().release(origin_, std::move(transfer_));
        } else {
            failure_.emplace(status.failure());
            transfer_.reset();
        }
    }

    const std::string origin_;
    const std::string peer_;
    std::unique_ptr<internal::Transfer> transfer_;
    std::optional<ResponseHead> head_;
    std::string pending_;
    Status failure_;
    bool complete_ = false;
};

Exchange::Exchange(const ClientRequest &request)
    : state_(std::make_unique<State>(request))
{
}

Exchange::~Exchange() = default;

auto Exchange::head(TimePoint deadline) -> Result<ResponseHead>
{
    return state_->head(deadline);
}

auto Exchange::next(TimePoint deadline) -> Result<std::optional<std::string>>
{
    return state_->next(deadline);
}

} // namespace jasminewood::http
