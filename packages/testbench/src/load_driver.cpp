#include "jasminewood/testbench/load_driver.h"

#include <condition_variable>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "jasminewood/engine/sse_parser.h"
#include "jasminewood/http/client.h"
#include "jasminewood/testbench/expected_output.h"

namespace jasminewood::testbench
{

namespace
{

using nlohmann::json;

constexpr auto doneMarker = "[DONE]";
constexpr auto okStatus = 200;
constexpr auto instruction = "You advise installers of window film. Answer briefly, in whole sentences, and name the "
                             "film grade, the width of the roll and the price for each square metre. ";

auto requestBody(const PlannedRequest &request) -> std::string
{
    const auto system = instruction + request.account_;
    const auto messages
        = json::array({{{"role", "system"}, {"content", system}}, {{"role", "user"}, {"content", request.message_}}});
    return json {{"model", request.model_}, {"stream", true}, {"messages", messages}}.dump();
}

auto elapsedSince(TimePoint start) -> Microseconds
{
    return std::chrono::duration_cast<Microseconds>(Clock::now() - start);
}

// Accumulates the response to one request.
class ResponseReader
{
public:
    explicit ResponseReader(TimePoint start)
        : start_(start)
    {
    }

    auto onHeaders(int status, const std::map<std::string, std::string> &headers) -> void
    {
        status_ = status;
        const auto id = headers.find("x-request-id");
        requestId_ = id == headers.end() ? "" : id->second;
    }

    auto onData(std::string_view data) -> void
    {
        if (status_ != okStatus) {
            errorBody_.append(data);
            return;
        }
        for (const auto &event : parser_.feed(data)) {
            onEvent(event);
        }
    }

    auto outcome(const Result<int> &ended, const PlannedRequest &request) const -> Outcome
    {
        if (!errorBody_.empty()) {
            return parseError(errorBody_);
        }
        if (!ended) {
            return TruncatedResponse {.reason_ = toString(ended.failure())};
        }
        if (!done_) {
            return TruncatedResponse {.reason_ = "the stream ended without an end marker"};
        }
        if (text_ != expectedText(request.message_, 0, request.tokens_)) {
            return WrongAnswer {.text_ = text_};
        }
        return CompleteResponse {};
    }

    auto requestId() const -> const std::string &
    {
        return requestId_;
    }

    auto firstToken() const -> const std::optional<Microseconds> &
    {
        return firstToken_;
    }

    auto tokens() const -> std::size_t
    {
        return countTokens(text_);
    }

private:
    auto onEvent(const std::string &data) -> void
    {
        if (data == doneMarker) {
            done_ = true;
            return;
        }
        const auto event = json::parse(data, nullptr, false);
        if (!event.is_object() || event.contains("error")) {
            errorBody_ = data;
            return;
        }
        const auto choices = event.value("choices", json::array());
        const auto text = choices.empty() ? "" : choices[0].value("delta", json::object()).value("content", "");
        if (!text.empty() && !firstToken_) {
            firstToken_ = elapsedSince(start_);
        }
        text_ += text;
    }

    auto parseError(const std::string &body) const -> ErrorAnswer
    {
        const auto parsed = json::parse(body, nullptr, false);
        const auto error = parsed.is_object() ? parsed.value("error", json::object()) : json::object();
        return ErrorAnswer {.status_ = status_,
            .runState_ = error.value("run_state", ""),
            .step_ = error.value("step", ""),
            .message_ = error.value("message", body)};
    }

    const TimePoint start_;
    engine::SseParser parser_;
    int status_ = 0;
    std::string requestId_;
    std::string text_;
    std::string errorBody_;
    std::optional<Microseconds> firstToken_;
    bool done_ = false;
};

auto send(const std::string &baseUrl, const PlannedRequest &request, TimePoint start, Milliseconds timeout)
    -> RequestRecord
{
    auto reader = ResponseReader(start);
    const auto sent = elapsedSince(start);
    auto call = http::StreamCall();
    const auto ended = call.perform(
        {.method_ = "POST",
            .url_ = baseUrl + "/v1/chat/completions",
            .headers_ = {{.name_ = "Authorization", .value_ = "Bearer demo-key-" + request.account_},
                {.name_ = "Content-Type", .value_ = "application/json"},
                {.name_ = "X-Request-Class", .value_ = request.requestClass_}},
            .body_ = requestBody(request),
            .timeout_ = timeout},
        [&](int status, const std::map<std::string, std::string> &headers) -> void {
            reader.onHeaders(status, headers);
        },
        [&](std::string_view data) -> bool {
            reader.onData(data);
            return true;
        });
    return RequestRecord {.group_ = request.group_,
        .requestClass_ = request.requestClass_,
        .account_ = request.account_,
        .requestId_ = reader.requestId(),
        .arrival_ = request.arrival_,
        .sent_ = sent,
        .firstToken_ = reader.firstToken(),
        .end_ = elapsedSince(start),
        .tokens_ = reader.tokens(),
        .outcome_ = reader.outcome(ended, request)};
}

// Starts a thread for each request at its planned arrival and collects the records.
class LoadRun
{
public:
    explicit LoadRun(const LoadOptions &options)
        : options_(options)
    {
    }

    auto run(const std::vector<PlannedRequest> &plan) -> std::vector<RequestRecord>
    {
        for (auto index = std::size_t(0); index < plan.size(); ++index) {
            std::this_thread::sleep_until(start_ + plan[index].arrival_);
            waitForCapacity();
            std::thread([this, &request = plan[index], index]() -> void {
                recordResult(send(
                    options_.routers_[index % options_.routers_.size()], request, start_, options_.requestTimeout_));
            }).detach();
        }
        auto lock = std::unique_lock(mutex_);
        changed_.wait(lock, [this]() -> bool {
            return inFlight_ == 0;
        });
        return std::move(records_);
    }

private:
    auto waitForCapacity() -> void
    {
        auto lock = std::unique_lock(mutex_);
        changed_.wait(lock, [this]() -> bool {
            return inFlight_ < options_.maximumInFlight_;
        });
        ++inFlight_;
    }

    auto recordResult(const RequestRecord &record) -> void
    {
        const auto lock = std::scoped_lock(mutex_);
        records_.push_back(record);
        --inFlight_;
        changed_.notify_all();
    }

    const LoadOptions options_;
    const TimePoint start_ = Clock::now();
    std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t inFlight_ = 0;
    std::vector<RequestRecord> records_;
};

} // namespace

auto runLoad(const std::vector<PlannedRequest> &plan, const LoadOptions &options) -> std::vector<RequestRecord>
{
    return LoadRun(options).run(plan);
}

auto sendRequest(const std::string &baseUrl, const PlannedRequest &request, Milliseconds timeout) -> RequestRecord
{
    return send(baseUrl, request, Clock::now(), timeout);
}

} // namespace jasminewood::testbench
