#include "jasminewood/testbench/fake_kv.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "fault_injector.h"
#include "jasminewood/http/server.h"
#include "json_response.h"
#include "kv_codec.h"
#include "kv_store.h"

namespace jasminewood::testbench
{

namespace
{

using internal::FaultInjector;
using internal::jsonResponse;
using internal::KvStore;
using internal::KvWatchRequest;
using nlohmann::json;

// The largest request that etcd accepts with its default settings.
constexpr std::size_t maximumRequestBytes = std::size_t(3) << 19U;
// Attempts to listen again after an outage, in case the system has assigned the port to another socket for a moment.
constexpr int rebindAttempts = 100;
constexpr auto rebindInterval = Milliseconds(20);
// Time limit for aborted calls to end.
constexpr auto disconnectTimeout = std::chrono::seconds(10);

auto etcdError(int status, int code, const std::string &message) -> http::BufferedResponse
{
    return jsonResponse(status, {{"error", message}, {"message", message}, {"code", code}});
}

// Produces the response lines of one watch.
class WatchStream
{
public:
    WatchStream(KvStore &store, FaultInjector &faults, const KvWatchRequest &watch,
        std::function<auto()->bool> callerDisconnected)
        : store_(store)
        , faults_(faults)
        , keyRange_(watch.keyRange_)
        , callerDisconnected_(std::move(callerDisconnected))
        , nextRevision_(watch.startRevision_ > 0 ? watch.startRevision_ : store.revision() + 1)
    {
    }

    auto next() -> http::StreamEvent
    {
        if (ended_) {
            return http::EndOfStream {};
        }
        if (!std::exchange(created_, true)) {
            const auto result = json {{"header", internal::encodeHeader(store_.revision())}, {"created", true}};
            return line({{"result", result}});
        }
        const auto events = store_.waitForEvents(keyRange_, nextRevision_, [this] {
            return faults_.isDown() || callerDisconnected_();
        });
        if (!faults_.waitForService() || callerDisconnected_()) {
            return http::AbortStream {};
        }
        nextRevision_ = events.revision_ + 1;
        ended_ = events.compactRevision_ != 0;
        return line(internal::encodeEvents(events));
    }

private:
    static auto line(const json &message) -> http::StreamEvent
    {
        return http::Chunk {.data_ = message.dump() + "\n"};
    }

    KvStore &store_;
    FaultInjector &faults_;
    const internal::KvKeyRange keyRange_;
    const std::function<auto()->bool> callerDisconnected_;
    std::int64_t nextRevision_;
    bool created_ = false;
    bool ended_ = false;
};

} // namespace

class FakeKv::State
{
public:
    auto run(const FakeKvOptions &options) -> Status
    {
        if (const auto failure = listen(options.port_)) {
            return failure;
        }
        port_ = server_->port();
        outageThread_ = std::thread([this] {
            runOutages();
        });
        return std::nullopt;
    }

    ~State()
    {
        stop();
    }

    auto port() const -> std::uint16_t
    {
        return port_;
    }

    auto stop() -> void
    {
        {
            const auto lock = std::scoped_lock(mutex_);
            stopped_ = true;
            changed_.notify_all();
        }
        if (outageThread_.joinable()) {
            outageThread_.join();
        }
        if (server_) {
            disconnectAll();
        }
    }

private:
    auto listen(std::uint16_t port) -> Status
    {
        const auto server = http::Server::start({.port_ = port}, [this](const http::Request &request) {
            return handle(request);
        });
        if (!server) {
            return server.failure();
        }
        server_ = *server;
        return std::nullopt;
    }

    // Ends all calls and closes the port.
    auto disconnectAll() -> void
    {
        faults_.setDown(true);
        store_.wake();
        server_->stopAccepting();
        server_->waitUntilIdle(disconnectTimeout);
        server_->stop();
    }

    // Takes the service down and up again. Runs in its own thread, because it closes the connection of the call that
    // requested the outage.
    auto runOutages() -> void
    {
        auto lock = std::unique_lock(mutex_);
        while (true) {
            changed_.wait(lock, [this] {
                return stopped_ || pendingOutage_.has_value();
            });
            if (stopped_) {
                return;
            }
            const auto end = Clock::now() + *std::exchange(pendingOutage_, std::nullopt);
            lock.unlock();
            disconnectAll();
            lock.lock();
            changed_.wait_until(lock, end, [this] {
                return stopped_;
            });
            faults_.setDown(false);
            for (auto attempt = 0; attempt < rebindAttempts && !stopped_ && listen(port_); ++attempt) {
                changed_.wait_for(lock, rebindInterval);
            }
        }
    }

    auto handle(const http::Request &request) -> http::Response
    {
        try {
            return route(request);
        } catch (const json::exception &jsonError) {
            return etcdError(400, 3, jsonError.what());
        }
    }

    auto route(const http::Request &request) -> http::Response
    {
        if (request.path_ == "/fault") {
            return injectFault(json::parse(request.body_.text()));
        }
        if (request.path_ == "/calls") {
            const auto lock = std::scoped_lock(mutex_);
            return jsonResponse(200, callCounts_);
        }
        if (!faults_.waitForService()) {
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        if (request.body_.size() > maximumRequestBytes) {
            return etcdError(400, 3, "etcdserver: request is too large");
        }
        const auto body = json::parse(request.body_.text());
        if (request.path_ == "/v3/watch") {
            return watch(request, body);
        }
        return request.path_.starts_with("/v3/lease/") ? handleLease(request.path_, body)
                                                       : handleKv(request.path_, body);
    }

    auto handleKv(const std::string &path, const json &body) -> http::Response
    {
        if (path == "/v3/kv/range") {
            return apply("range", internal::decodeRange(body), false);
        }
        if (path == "/v3/kv/put") {
            return apply("put", internal::decodePut(body), true);
        }
        if (path == "/v3/kv/deleterange") {
            return apply("deleterange", internal::decodeDelete(body), true);
        }
        if (path == "/v3/kv/txn") {
            return apply("txn", internal::decodeTransaction(body), true);
        }
        return etcdError(404, 5, "Not Found");
    }

    auto apply(const std::string &kind, const internal::KvOperation &operation, bool isWrite) -> http::Response
    {
        recordCall(kind);
        const auto outcome = store_.apply(operation);
        if (isWrite && faults_.consumeResponseLoss()) {
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        if (!outcome) {
            return etcdError(400, 3, outcome.failure().reason_);
        }
        return jsonResponse(200, internal::encodeOutcome(*outcome));
    }

    auto handleLease(const std::string &path, const json &body) -> http::Response
    {
        const auto id = internal::integerOf(body, "ID");
        if (path == "/v3/lease/grant") {
            recordCall("lease_grant");
            const auto timeToLive = std::chrono::seconds(internal::integerOf(body, "TTL"));
            const auto granted = store_.grant(id, timeToLive);
            return granted ? leaseResponse(*granted, timeToLive)
                           : etcdError(400, 9, "etcdserver: lease already exists");
        }
        if (path == "/v3/lease/keepalive") {
            recordCall("lease_keepalive");
            return jsonResponse(200, {{"result", leaseJson(id, store_.keepAlive(id))}});
        }
        if (path == "/v3/lease/revoke") {
            recordCall("lease_revoke");
            return store_.revoke(id) ? jsonResponse(200, {{"header", internal::encodeHeader(store_.revision())}})
                                     : etcdError(404, 5, "etcdserver: requested lease not found");
        }
        return etcdError(404, 5, "Not Found");
    }

    auto leaseJson(std::int64_t id, std::chrono::seconds timeToLive) -> json
    {
        auto response = json {{"header", internal::encodeHeader(store_.revision())}, {"ID", std::to_string(id)}};
        if (timeToLive.count() > 0) {
            response["TTL"] = std::to_string(timeToLive.count());
        }
        return response;
    }

    auto leaseResponse(std::int64_t id, std::chrono::seconds timeToLive) -> http::BufferedResponse
    {
        if (faults_.consumeResponseLoss()) {
            return {.status_ = http::closeWithoutResponse};
        }
        return jsonResponse(200, leaseJson(id, timeToLive));
    }

    auto watch(const http::Request &request, const json &body) -> http::Response
    {
        recordCall("watch");
        const auto stream
            = std::make_shared<WatchStream>(store_, faults_, internal::decodeWatch(body), request.callerDisconnected_);
        return http::StreamResponse {
            .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}}, .nextEvent_ = [stream] {
                return stream->next();
            }};
    }

    auto recordCall(const std::string &kind) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        ++callCounts_[kind];
    }

    auto injectFault(const json &fault) -> http::Response
    {
        const auto time = [&fault](const char *name) {
            return Milliseconds(internal::integerOf(fault, name));
        };
        if (fault.contains("down_ms")) {
            const auto lock = std::scoped_lock(mutex_);
            pendingOutage_ = time("down_ms");
            changed_.notify_all();
        }
        if (fault.contains("slow_ms")) {
            faults_.setDelay(time("slow_ms"), time("for_ms"));
        }
        if (fault.contains("freeze_ms")) {
            faults_.freeze(time("freeze_ms"));
        }
        if (fault.contains("lose_answers")) {
            faults_.loseResponses(fault["lose_answers"].get<std::size_t>());
        }
        return jsonResponse(200, json::object());
    }

    KvStore store_;
    FaultInjector faults_;
    std::shared_ptr<http::Server> server_;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool stopped_ = false;
    std::optional<Milliseconds> pendingOutage_;
    std::map<std::string, std::size_t> callCounts_;
    std::thread outageThread_;
};

auto FakeKv::start(const FakeKvOptions &options) -> Result<std::shared_ptr<FakeKv>>
{
    auto state = std::make_unique<State>();
    if (const auto failure = state->run(options)) {
        return *failure;
    }
    return std::shared_ptr<FakeKv>(new FakeKv(std::move(state)));
}

FakeKv::FakeKv(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

FakeKv::~FakeKv()
{
    stop();
}

auto FakeKv::port() const -> std::uint16_t
{
    return state_->port();
}

auto FakeKv::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::testbench
