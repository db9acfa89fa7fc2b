#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include <fmt/format.h>

#include "frontend_fixture.h"
#include "jasminewood/http/client.h"
#include "jasminewood/testkit/test_suite.h"

using namespace jasminewood;
using namespace jasminewood::forward;
using jasminewood::testkit::check;
using jasminewood::testkit::section;
using jasminewood::testkit::test;

namespace
{

constexpr int statusNotFound = 404;
constexpr int statusError = 500;
constexpr int statusUnavailable = 503;

// The counts that were reported, by window.
class Reports
{
public:
    auto accept(const duties::UsageCall &call) -> duties::UsageReply
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto known = windows_.emplace(call.number_, call.counts_).first;
        isConsistent_ = isConsistent_ && known->second == call.counts_;
        return duties::UsageAccepted {};
    }

    auto requestsOf(const std::string &account) const -> std::uint64_t
    {
        const auto lock = std::scoped_lock(mutex_);
        check(isConsistent_, "each window has one content");
        auto sum = std::uint64_t(0);
        for (const auto &[number, counts] : windows_) {
            const auto found = counts.find(account);
            sum += found == counts.end() ? 0 : found->second;
        }
        return sum;
    }

    auto windowCount() const -> std::size_t
    {
        const auto lock = std::scoped_lock(mutex_);
        return windows_.size();
    }

private:
    mutable std::mutex mutex_;
    bool isConsistent_ = true;
    std::map<duties::WindowNumber, duties::AccountCounts> windows_;
};

auto refuse(const http::Request &request) -> http::Response
{
    auto fields = authenticResponse(request, statusUnavailable, "").headers_;
    fields.push_back({.name_ = "Not-Run", .value_ = "1"});
    return http::BufferedResponse {.status_ = statusUnavailable, .headers_ = fields};
}

auto stream(const http::Request &request) -> http::Response
{
    auto fields = authenticResponse(request, 200, "").headers_;
    fields.push_back({.name_ = "Content-Type", .value_ = "text/event-stream"});
    const auto step = std::make_shared<int>(0);
    return http::StreamResponse {.status_ = 200, .headers_ = fields, .nextEvent_ = [step]() -> http::StreamEvent {
                                     return (*step)++ < 3 ? http::StreamEvent(http::Chunk {.data_ = "data: x\n\n"})
                                                          : http::StreamEvent(http::EndOfStream {});
                                 }};
}

// Responds as the path asks for. The first run of "/again/" fails.
auto respond(const http::Request &request, const std::shared_ptr<std::atomic<int>> &runs) -> http::Response
{
    if (request.path_.starts_with("/stream/")) {
        return stream(request);
    }
    if (request.path_.starts_with("/again/")) {
        return authenticResponse(request, (*runs)++ == 0 ? statusError : 200, "done");
    }
    if (request.path_.starts_with("/once/refused")) {
        return refuse(request);
    }
    return authenticResponse(request, statusNotFound, "none");
}

const testkit::TestSuite suite = {"a frontend whose usage is reported",
    {
        section("with streams, retries, refusals and errors",
            {
                // Guards against a request that counts once for each attempt, or although no upstream began it.
                test("counts each request once that an upstream began to run",
                    [] {
                        const auto reports = std::make_shared<Reports>();
                        auto fixture = FrontendFixture(
                            sampleConfiguration(), std::nullopt, {}, [reports](const duties::UsageCall &call) {
                                return Result<duties::UsageReply>(reports->accept(call));
                            });
                        const auto runs = std::make_shared<std::atomic<int>>(0);
                        for (const auto *id : {"a", "b"}) {
                            fixture.addUpstream(id, [runs](const http::Request &request) {
                                return respond(request, runs);
                            });
                        }
                        const auto send = [&fixture](const std::string &path) {
                            const auto response = http::fetch({.method_ = "POST",
                                .url_ = fixture.url(path),
                                .headers_ = FrontendFixture::requestFields("r" + path)});
                            return response ? response->status_ : 0;
                        };
                        check(send("/again/1") == 200 && *runs == 2, "the second attempt succeeds");
                        check(send("/stream/1") == 200, "the stream is relayed");
                        check(send("/once/error") == statusNotFound, "the error is relayed");
                        const auto refused = send("/once/refused");
                        check(refused == statusUnavailable, fmt::format("no upstream runs the request: {}", refused));
                        waitUntil(
                            [&reports] {
                                return reports->requestsOf("installer") >= 3;
                            },
                            "the usage is reported");
                        const auto windows = reports->windowCount();
                        waitUntil(
                            [&reports, windows] {
                                return reports->windowCount() >= windows + 2;
                            },
                            "later windows are reported");
                        check(reports->requestsOf("installer") == 3, "three requests began to run");
                    }),
            }),
    }};

} // namespace
