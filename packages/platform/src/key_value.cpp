#include "jasminewood/platform/key_value.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "key_value_codec.h"
#include "peer.h"

namespace jasminewood::platform
{

namespace
{

using internal::peerOf;
using nlohmann::json;

constexpr int success = 200;
constexpr int notFound = 404;

auto malformed(const KeyValueOptions &options, const std::string &operation, const std::string &problem) -> Failure
{
    return {.step_ = "kv " + operation,
        .peer_ = peerOf(options.url_),
        .reason_ = "malformed answer: " + problem,
        .runState_ = RunState::MayHaveRun,
        .retryAfter_ = options.retryAfter_};
}

// Decodes an answer with a function of its JSON; returns a failure if the call failed or the JSON has another form.
template <typename Decoder>
auto decoded(const KeyValueOptions &options, const std::string &operation, const Result<std::string> &body,
    Decoder decoder) -> Result<decltype(decoder(json()))>
{
    if (!body) {
        return body.failure();
    }
    try {
        return decoder(json::parse(*body));
    } catch (const json::exception &problem) {
        return malformed(options, operation, problem.what());
    }
}

auto refusal(const KeyValueOptions &options, const std::string &operation, const http::ClientResponse &answer)
    -> Failure
{
    // The service rejects malformed and excessive requests before it performs them; a 5xx answer such as a timeout
    // among its members leaves the outcome open.
    const auto rejected = answer.status_ >= 400 && answer.status_ < 500;
    return {.step_ = "kv " + operation,
        .peer_ = peerOf(options.url_),
        .reason_ = fmt::format("status {}: {}", answer.status_, answer.body_),
        .runState_ = rejected ? RunState::NotRun : RunState::MayHaveRun,
        .retryAfter_ = rejected ? std::nullopt : std::optional(options.retryAfter_)};
}

// Consumes the lines of a watch as they arrive.
class WatchReader
{
public:
    WatchReader(Revision from, const std::function<auto(const WatchEvent &)->void> &onEvent)
        : next_(from)
        , onEvent_(onEvent)
    {
    }

    // Returns false to end the watch.
    auto take(std::string_view data) -> bool
    {
        pending_.append(data);
        try {
            for (auto end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n')) {
                const auto message = json::parse(pending_.substr(0, end));
                pending_.erase(0, end + 1);
                if (!takeMessage(message)) {
                    return false;
                }
            }
        } catch (const json::exception &problem) {
            end_ = {"kv watch", std::string("malformed event: ") + problem.what()};
            return false;
        }
        return true;
    }

    auto nextRevision() const -> Revision
    {
        return next_;
    }

    // The step and the reason if the watch ended by itself.
    auto end() const -> const std::optional<std::pair<std::string, std::string>> &
    {
        return end_;
    }

private:
    auto takeMessage(const json &message) -> bool
    {
        if (message.contains("error")) {
            end_ = {"kv watch", message["error"].dump()};
            return false;
        }
        const auto &result = message.at("result");
        if (result.value("canceled", false)) {
            const auto compacted = internal::integerOf(result, "compact_revision") > 0;
            end_ = {compacted ? "kv compacted" : "kv watch", result.value("cancel_reason", "ended by the service")};
            return false;
        }
        for (const auto &event : result.value("events", json::array())) {
            onEvent_(internal::decodeEvent(event));
        }
        if (result.contains("events")) {
            next_ = std::max(next_, internal::revisionOf(result) + 1);
        }
        return true;
    }

    Revision next_;
    const std::function<auto(const WatchEvent &)->void> &onEvent_;
    std::string pending_;
    std::optional<std::pair<std::string, std::string>> end_;
};

} // namespace

auto WatchCall::cancel() -> void
{
    cancelled_ = true;
    call_.cancel();
}

KeyValueClient::KeyValueClient(const KeyValueOptions &options)
    : options_(options)
{
}

auto KeyValueClient::calls() const -> std::uint64_t
{
    return calls_;
}

auto KeyValueClient::post(const std::string &operation, const std::string &path, const std::string &body)
    -> Result<std::string>
{
    return send(operation, HttpCall {.path_ = path, .body_ = body});
}

auto KeyValueClient::failed(const std::string &operation, const Failure &reason) const -> Failure
{
    return {.step_ = "kv " + operation,
        .peer_ = reason.peer_.empty() ? peerOf(options_.url_) : reason.peer_,
        .reason_ = reason.step_ + ": " + reason.reason_,
        .runState_ = reason.runState_,
        .retryAfter_ = options_.retryAfter_};
}

auto KeyValueClient::answered(const std::string &operation, const HttpCall &call) -> Result<http::ClientResponse>
{
    ++calls_;
    auto headers = std::vector<http::HeaderField>();
    if (!call.body_.empty()) {
        headers.push_back({.name_ = "Content-Type", .value_ = "application/json"});
    }
    const auto answer = http::fetch({.method_ = call.method_,
        .url_ = options_.url_ + call.path_,
        .headers_ = headers,
        .body_ = call.body_,
        .connectTimeout_ = options_.connectTimeout_,
        .timeout_ = options_.timeout_});
    return answer ? answer : Result<http::ClientResponse>(failed(operation, answer.failure()));
}

auto KeyValueClient::send(const std::string &operation, const HttpCall &call) -> Result<std::string>
{
    const auto answer = answered(operation, call);
    if (!answer) {
        return answer.failure();
    }
    if (answer->status_ != success) {
        return refusal(options_, operation, *answer);
    }
    return answer->body_;
}

template <typename Value>
auto KeyValueClient::read(const std::string &operation, const Result<std::string> &body,
    const std::function<auto(const std::string &)->Result<Value>> &reader) const -> Result<Value>
{
    if (!body) {
        return body.failure();
    }
    auto value = reader(*body);
    return value ? value : Result<Value>(failed(operation, value.failure()));
}

auto KeyValueClient::getPages(const PagedProtocol &dialect, const std::string &prefix) -> Result<Snapshot>
{
    auto entries = std::vector<KeyValue>();
    auto first = std::optional<Revision>();
    auto after = std::string();
    for (auto more = true; more;) {
        const auto body = send("get prefix", dialect.range_(prefix, after));
        if (!body) {
            return body.failure();
        }
        const auto page = dialect.parseRange_(*body);
        if (!page) {
            return failed("get prefix", page.failure());
        }
        for (const auto &entry : page->entries_) {
            entries.push_back(entry);
        }
        // Pages differ in revision; a watch from that of the first one repeats some changes and misses none.
        first = first.value_or(page->revision_);
        more = page->continueAfter_.has_value();
        after = page->continueAfter_.value_or("");
    }
    return Snapshot {.revision_ = first.value_or(0), .entries_ = entries};
}

auto KeyValueClient::get(const std::string &key) -> Result<std::optional<KeyValue>>
{
    const auto body = post("get", "/v3/kv/range", internal::encodeRange(key, "").dump());
    return decoded(options_, "get", body, [](const json &answer) {
        const auto entries = internal::decodeEntries(answer);
        return entries.empty() ? std::optional<KeyValue>() : std::optional<KeyValue>(entries.front());
    });
}

auto KeyValueClient::getPrefix(const std::string &prefix) -> Result<Snapshot>
{
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return getPages(*dialect, prefix);
    }
    const auto range = internal::encodeRange(prefix, internal::prefixEnd(prefix));
    const auto body = post("get prefix", "/v3/kv/range", range.dump());
    return decoded(options_, "get prefix", body, [](const json &answer) {
        return Snapshot {.revision_ = internal::revisionOf(answer), .entries_ = internal::decodeEntries(answer)};
    });
}

auto KeyValueClient::createIfAbsent(const std::string &key, const std::string &value, LeaseId lease)
    -> Result<WriteOutcome>
{
    return conditionalWrite(KeyAbsent {.key_ = key}, PutKey {.key_ = key, .value_ = value, .lease_ = lease});
}

auto KeyValueClient::compareAndSwap(const std::string &key, Revision expectedModRevision, const std::string &value)
    -> Result<WriteOutcome>
{
    return conditionalWrite(
        ModRevisionIs {.key_ = key, .revision_ = expectedModRevision}, PutKey {.key_ = key, .value_ = value});
}

auto KeyValueClient::conditionalWrite(const Condition &condition, const PutKey &write) -> Result<WriteOutcome>
{
    const auto outcome = transaction(
        {.conditions_ = {condition}, .onSuccess_ = {write}, .onFailure_ = {ReadKey {.key_ = write.key_}}});
    if (!outcome) {
        return outcome.failure();
    }
    const auto refused = !outcome->succeeded_ && !outcome->operations_.empty();
    return WriteOutcome {.written_ = outcome->succeeded_,
        .revision_ = outcome->revision_,
        .current_ = refused ? outcome->operations_.front().found_ : std::nullopt};
}

auto KeyValueClient::put(const std::string &key, const std::string &value, LeaseId lease) -> Result<Revision>
{
    const auto entry = PutKey {.key_ = key, .value_ = value, .lease_ = lease};
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return read("put", send("put", dialect->put_(entry)), dialect->parsePut_);
    }
    return decoded(
        options_, "put", post("put", "/v3/kv/put", internal::encodePut(entry).dump()), [](const json &answer) {
            return internal::revisionOf(answer);
        });
}

auto KeyValueClient::remove(const std::string &key) -> Result<bool>
{
    if (std::holds_alternative<PagedProtocol>(options_.protocol_)) {
        return Failure {.step_ = "kv delete",
            .peer_ = peerOf(options_.url_),
            .reason_ = "the service's dialect has no call that deletes a key"};
    }
    const auto body = post("delete", "/v3/kv/deleterange", internal::encodeRange(key, "").dump());
    return decoded(options_, "delete", body, [](const json &answer) {
        return internal::integerOf(answer, "deleted") > 0;
    });
}

auto KeyValueClient::transaction(const Transaction &transaction) -> Result<TransactionOutcome>
{
    if (std::holds_alternative<PagedProtocol>(options_.protocol_)) {
        return Failure {.step_ = "kv txn",
            .peer_ = peerOf(options_.url_),
            .reason_ = "the service's dialect has no operations on conditions"};
    }
    const auto body = post("txn", "/v3/kv/txn", internal::encodeTransaction(transaction).dump());
    return decoded(options_, "txn", body, [](const json &answer) {
        return internal::decodeTransaction(answer, internal::revisionOf(answer));
    });
}

auto KeyValueClient::grantLease(std::chrono::seconds timeToLive) -> Result<LeaseId>
{
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return read("lease grant", send("lease grant", dialect->grantLease_(timeToLive)), dialect->parseLease_);
    }
    const auto request = json {{"TTL", std::to_string(timeToLive.count())}};
    return decoded(
        options_, "lease grant", post("lease grant", "/v3/lease/grant", request.dump()), [](const json &answer) {
            return internal::integerOf(answer, "ID");
        });
}

auto KeyValueClient::keepAlive(LeaseId lease) -> Result<std::chrono::seconds>
{
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto answer = answered("lease keepalive", dialect->renewLease_(lease));
        if (!answer) {
            return answer.failure();
        }
        if (answer->status_ == notFound) {
            return std::chrono::seconds(0);
        }
        if (answer->status_ != success) {
            return refusal(options_, "lease keepalive", *answer);
        }
        const auto left = dialect->parseTimeToLive_(answer->body_);
        return left ? left : Result<std::chrono::seconds>(failed("lease keepalive", left.failure()));
    }
    const auto request = json {{"ID", std::to_string(lease)}};
    return decoded(options_, "lease keepalive", post("lease keepalive", "/v3/lease/keepalive", request.dump()),
        [](const json &answer) {
            return std::chrono::seconds(internal::integerOf(answer.at("result"), "TTL"));
        });
}

auto KeyValueClient::revokeLease(LeaseId lease) -> Status
{
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto body = send("lease revoke", dialect->revokeLease_(lease));
        return body ? std::nullopt : Status(body.failure());
    }
    const auto request = json {{"ID", std::to_string(lease)}};
    const auto body = post("lease revoke", "/v3/lease/revoke", request.dump());
    return body ? std::nullopt : Status(body.failure());
}

auto KeyValueClient::watch(const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>
{
    if (const auto *dialect = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return watchOnce(*dialect, request, call, onEvent);
    }
    return watchLines(request, call, onEvent);
}

auto KeyValueClient::watchOnce(const PagedProtocol &dialect, const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>
{
    constexpr int compacted = 410;
    ++calls_;
    const auto written = dialect.watch_(request);
    auto body = std::string();
    const auto status = call.call_.perform({.method_ = written.method_,
                                               .url_ = options_.url_ + written.path_,
                                               .body_ = written.body_,
                                               .connectTimeout_ = options_.connectTimeout_,
                                               .timeout_ = request.timeout_ + options_.timeout_},
        nullptr, [&body](std::string_view data) {
            body.append(data);
            return true;
        });
    if (!status) {
        const auto cancelled = call.cancelled_.load();
        auto reason = failed("watch", status.failure());
        return cancelled ? Failure {.step_ = "cancel", .peer_ = reason.peer_, .reason_ = reason.reason_} : reason;
    }
    if (*status != 200) {
        const auto answer = http::ClientResponse {.status_ = *status, .body_ = body};
        return refusal(options_, *status == compacted ? "compacted" : "watch", answer);
    }
    const auto page = dialect.parseWatch_(body);
    if (!page) {
        return failed("watch", page.failure());
    }
    for (const auto &event : page->events_) {
        onEvent(event);
    }
    return std::max(request.fromRevision_, page->revision_ + 1);
}

auto KeyValueClient::watchLines(const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<Revision>
{
    ++calls_;
    auto reader = WatchReader(request.fromRevision_, onEvent);
    const auto ended = call.call_.perform({.method_ = "POST",
                                              .url_ = options_.url_ + "/v3/watch",
                                              .body_ = internal::encodeWatch(request).dump(),
                                              .connectTimeout_ = options_.connectTimeout_,
                                              .timeout_ = request.timeout_},
        nullptr, [&reader](std::string_view data) {
            return reader.take(data);
        });
    const auto failure = [this](const std::string &step, const std::string &reason) {
        return Failure {
            .step_ = step, .peer_ = peerOf(options_.url_), .reason_ = reason, .retryAfter_ = options_.retryAfter_};
    };
    if (call.cancelled_) {
        return failure("cancel", "the watch was cancelled");
    }
    if (reader.end()) {
        return failure(reader.end()->first, reader.end()->second);
    }
    if (!ended && ended.failure().step_ == "timeout") {
        return reader.nextRevision();
    }
    return failure("kv watch", ended ? "the service ended the watch" : ended.failure().reason_);
}

} // namespace jasminewood::platform
