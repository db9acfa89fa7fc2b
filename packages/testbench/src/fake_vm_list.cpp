#include "jasminewood/testbench/fake_vm_list.h"

#include <deque>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "jasminewood/http/server.h"
#include "json_response.h"

namespace jasminewood::testbench
{

using internal::errorResponse;
using internal::jsonResponse;
using nlohmann::json;

class FakeVmList::State
{
public:
    explicit State(const FakeVmListOptions &options)
        : options_(options)
    {
    }

    auto run() -> Status
    {
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
        server_->stop();
    }

private:
    struct ListVersion
    {
        const TimePoint visibleFrom_;
        const json targets_;
    };

    auto handle(const http::Request &request) -> http::Response
    {
        if (request.path_ != "/v1/targets") {
            return errorResponse(404, "no such path");
        }
        return request.method_ == "PUT" ? replace(request.body_) : jsonResponse(200, visibleTargets());
    }

    auto replace(const std::string &body) -> http::Response
    {
        auto targets = json::parse(body, nullptr, false);
        if (!targets.is_array()) {
            return errorResponse(400, "the body is not a JSON list");
        }
        const auto lock = std::scoped_lock(mutex_);
        versions_.push_back(ListVersion {.visibleFrom_ = Clock::now() + options_.lag_, .targets_ = std::move(targets)});
        return jsonResponse(200, json::object());
    }

    auto visibleTargets() -> json
    {
        const auto lock = std::scoped_lock(mutex_);
        while (versions_.size() > 1 && versions_[1].visibleFrom_ <= Clock::now()) {
            versions_.pop_front();
        }
        return versions_.front().targets_;
    }

    const FakeVmListOptions options_;
    std::shared_ptr<http::Server> server_;
    std::mutex mutex_;
    // Ordered by visibleFrom_; the first one is visible.
    std::deque<ListVersion> versions_ = {ListVersion {.visibleFrom_ = TimePoint(), .targets_ = json::array()}};
};

auto FakeVmList::start(const FakeVmListOptions &options) -> Result<std::shared_ptr<FakeVmList>>
{
    auto state = std::make_unique<State>(options);
    if (const auto failure = state->run()) {
        return *failure;
    }
    return std::shared_ptr<FakeVmList>(new FakeVmList(std::move(state)));
}

FakeVmList::FakeVmList(std::unique_ptr<State> state)
    : state_(std::move(state))
{
}

FakeVmList::~FakeVmList()
{
    stop();
}

auto FakeVmList::port() const -> std::uint16_t
{
    return state_->port();
}

auto FakeVmList::stop() -> void
{
    state_->stop();
}

} // namespace jasminewood::testbench
