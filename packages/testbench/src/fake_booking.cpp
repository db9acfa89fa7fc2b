#include "jasminewood/testbench/fake_booking.h"

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "jasminewood/http/server.h"
#include "json_response.h"

namespace jasminewood::testbench
{

using internal::errorResponse;
using internal::headerOf;
using internal::jsonResponse;
using nlohmann::json;

auto expectedConfirmation(std::string_view idempotencyKey, std::string_view body) -> std::string
{
    const auto seed = XXH64(idempotencyKey.data(), idempotencyKey.size(), 0);
    return fmt::format("confirmed-{:016x}", XXH64(body.data(), body.size(), seed));
}

class FakeBooking::State
{
public:
    explicit State(const FakeBookingOptions &options)
        : options_(options)
    {
    }

    auto run() -> Status
    {
        if (!options_.historyPath_.empty()) {
            history_.open(options_.historyPath_, std::ios::app);
            if (!history_) {
                return Failure {
                    .step_ = "open history", .peer_ = options_.historyPath_, .reason_ = "the file cannot be written"};
            }
        }
        const auto server
            = http::Server::start({.port_ = options_.port_}, [this](const http::Request &request) -> http::Response {
                  return handle(request);
              });
        if (!server) {
            return server.failure();
        }
        server_ = *server;
        return std::nullopt;
    }

    auto port() const -> std::uint16_t
    {
        return server_->port();
    }

    auto stop() -> void
    {
        {
            const auto lock = std::scoped_lock(mutex_);
            stopped_ = true;
            stopRequested_.notify_all();
        }
        server_->stop();
    }

private:
    auto handle(const http::Request &request) -> http::Response
    {
        if (request.path_ == "/bookings" && request.method_ == "POST") {
            return book(request);
        }
        if (request.path_ == "/bookings/runs") {
            const auto lock = std::scoped_lock(mutex_);
            return jsonResponse(200, runCounts_);
        }
        if (request.path_ == "/health") {
            return jsonResponse(200, {{"status", "ok"}});
        }
        return errorResponse(404, "no such path");
    }

    auto book(const http::Request &request) -> http::Response
    {
        if (!json::accept(request.body_.text())) {
            return errorResponse(400, "the body is not JSON");
        }
        const auto key = headerOf(request, "idempotency-key");
        auto lock = std::unique_lock(mutex_);
        const auto run = ++runCounts_[key];
        recordRun(key, run, headerOf(request, "x-request-id"));
        const auto stoppedEarly = stopRequested_.wait_for(lock, options_.serviceTime_, [this] {
            return stopped_;
        });
        if (stoppedEarly) {
            return http::BufferedResponse {.status_ = http::closeWithoutResponse};
        }
        return jsonResponse(200, {{"confirmation", expectedConfirmation(key, request.body_.text())}, {"run", run}});
    }

    auto recordRun(const std::string &key, std::size_t run, const std::string &requestId) -> void
    {
        if (history_.is_open()) {
            const auto now = std::chrono::system_clock::now().time_since_epoch();
            const auto time = std::chrono::duration_cast<Milliseconds>(now).count();
            history_ << json {{"key", key}, {"run", run}, {"request", requestId}, {"time_ms", time}} << std::endl;
        }
    }

    const FakeBookingOptions options_;
    std::shared_ptr<http::Server> server_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopped_ = false;
    std::map<std::string, std::size_t> runCounts_;
    std::ofstream history_;
};

auto FakeBooking::start(const FakeBookingOptions &options) -> Result<std::shared_ptr<FakeBooking>>
{
    auto state = std::make_unique<State>(options);
    if (const auto failure = state->run()) {
        return *failure;
    }
    return std::shared_ptr<FakeBooking>(new FakeBooking(std::move(state)));
}

FakeBooking::FakeBooking(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

FakeBooking::~FakeBooking()
{
    stop();
}

auto FakeBooking::port() const -> std::uint16_t
{
    return state_->port();
}

auto FakeBooking::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::testbench
