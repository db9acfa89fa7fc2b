#include "jasminewood/platform/key_value.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

#include <fmt/format.h>

#include "jasminewood/jsontext/parse.h"
#include "key_value_codec.h"
#include "peer.h"

namespace jasminewood::platform
{

namespace
{

using internal::peerOf;
using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusPreconditionFailed = 412;
// How often a snapshot is read if new eras begin between its pages.
constexpr int maximumSnapshotReads = 3;

auto malformedResponse(const KeyValueOptions &options, const std::string &operation, const std::string &parseError)
    -> Failure
{
    return {.step_ = "kv " + operation,
        .peer_ = peerOf(options.url_),
        .reason_ = "malformed answer: " + parseError,
        .runState_ = RunState::MayHaveRun,
        .retryAfter_ = options.retryAfter_};
}

// Parses a response body as JSON and applies the decoder. Returns a failure if the call failed or the JSON is
// malformed.
template <typename Response, typename Decoder>
auto decodeResponse(const KeyValueOptions &options, const std::string &operation, const Result<Response> &response,
    Decoder decoder) -> Result<decltype(decoder(json()))>
{
    if (!response) {
        return response.failure();
    }
    auto decoded = jsontext::decode(response->body_, decoder);
    return decoded ? decoded : malformedResponse(options, operation, decoded.failure().reason_);
}

auto statusFailure(const KeyValueOptions &options, const std::string &operation, int status, const std::string &body)
    -> Failure
{
    // The service rejects malformed and excessive requests before it performs them. After a 5xx response, such as a
    // timeout between its members, the outcome is unknown.
    const auto rejected = status >= 400 && status < 500;
    return {.step_ = "kv " + operation,
        .peer_ = peerOf(options.url_),
        .reason_ = fmt::format("status {}: {}", status, body),
        .runState_ = rejected ? RunState::NotRun : RunState::MayHaveRun,
        .retryAfter_ = rejected ? std::nullopt : std::optional(options.retryAfter_)};
}

// Returns the era that the header fields state; 0 if they state none, and nothing for another text than a number.
auto parseEra(const KeyValueProtocol &protocol, const std::map<std::string, std::string> &headers) -> std::optional<Era>
{
    const auto *paged = std::get_if<PagedProtocol>(&protocol);
    const auto found = paged == nullptr ? headers.end() : headers.find(paged->eraHeader_);
    if (found == headers.end()) {
        return 0;
    }
    const auto &text = found->second;
    auto era = Era(0);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), era);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(era) : std::nullopt;
}

// Parses the lines of a streaming watch as they arrive and passes on their events.
class WatchReader
{
public:
    WatchReader(Revision after, const std::function<auto(const WatchEvent &)->void> &onEvent)
        : reached_(after)
        , onEvent_(onEvent)
    {
    }

    // Parses the complete lines received so far. Returns false to end the watch.
    auto onData(std::string_view data) -> bool
    {
        pending_.append(data);
        for (auto end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n')) {
            const auto goesOn = jsontext::decode(pending_.substr(0, end), [this](const json &message) {
                return onMessage(message);
            });
            pending_.erase(0, end + 1);
            if (!goesOn) {
                failure_ = {"kv watch", "malformed event: " + goesOn.failure().reason_};
            }
            if (!goesOn || !*goesOn) {
                return false;
            }
        }
        return true;
    }

    // The revision up to which all changes were received.
    auto reached() const -> Revision
    {
        return reached_;
    }

    // The step and the reason of the failure, if the watch failed.
    auto failure() const -> const std::optional<std::pair<std::string, std::string>> &
    {
        return failure_;
    }

private:
    auto onMessage(const json &message) -> bool
    {
        if (message.contains("error")) {
            failure_ = {"kv watch", message["error"].dump()};
            return false;
        }
        const auto &result = message.at("result");
        if (result.value("canceled", false)) {
            const auto compacted = internal::integerOf(result, "compact_revision") > 0;
            failure_ = {compacted ? "kv compacted" : "kv watch", result.value("cancel_reason", "ended by the service")};
            return false;
        }
        for (const auto &event : result.value("events", json::array())) {
            onEvent_(internal::decodeEvent(event));
        }
        if (result.contains("events")) {
            reached_ = std::max(reached_, internal::revisionOf(result));
        }
        return true;
    }

    Revision reached_;
    const std::function<auto(const WatchEvent &)->void> &onEvent_;
    std::string pending_;
    std::optional<std::pair<std::string, std::string>> failure_;
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

auto KeyValueClient::callCount() const -> std::uint64_t
{
    return calls_;
}

auto KeyValueClient::era() const -> Era
{
    return era_;
}

auto KeyValueClient::admitEra(const std::string &operation, const std::map<std::string, std::string> &headers)
    -> Result<Era>
{
    const auto stated = parseEra(options_.protocol_, headers);
    if (!stated) {
        return malformedResponse(options_, operation, "the era is not a number");
    }
    auto known = era_.load();
    while (known < *stated && !era_.compare_exchange_weak(known, *stated)) {}
    if (*stated < known) {
        return wrapFailure(operation,
            {.step_ = "era",
                .reason_ = fmt::format("a response of era {} after one of era {}", *stated, known),
                .runState_ = RunState::MayHaveRun});
    }
    return *stated;
}

auto KeyValueClient::countCall(const std::string &operation) -> void
{
    ++calls_;
    if (options_.onCall_) {
        options_.onCall_(operation);
    }
}

auto KeyValueClient::post(const std::string &operation, const std::string &path, const std::string &body)
    -> Result<Response>
{
    return fetchBody(operation, HttpCall {.path_ = path, .body_ = body}, callLimits());
}

auto KeyValueClient::callLimits() const -> CallLimits
{
    return {.total_ = options_.timeout_};
}

auto KeyValueClient::readLimits() const -> CallLimits
{
    return {.total_ = maximumReadTimeouts * options_.timeout_, .idle_ = options_.timeout_};
}

auto KeyValueClient::wrapFailure(const std::string &operation, const Failure &reason) const -> Failure
{
    return {.step_ = "kv " + operation,
        .peer_ = reason.peer_.empty() ? peerOf(options_.url_) : reason.peer_,
        .reason_ = reason.step_ + ": " + reason.reason_,
        .runState_ = reason.runState_,
        .retryAfter_ = options_.retryAfter_};
}

auto KeyValueClient::performCall(const std::string &operation, const HttpCall &call, const CallLimits &limits)
    -> Result<Response>
{
    countCall(operation);
    auto headers = std::vector<http::HeaderField>();
    if (!call.body_.empty()) {
        headers.push_back({.name_ = "Content-Type", .value_ = "application/json"});
    }
    const auto response = http::fetch({.method_ = call.method_,
        .url_ = options_.url_ + call.path_,
        .headers_ = headers,
        .body_ = call.body_,
        .connectTimeout_ = options_.connectTimeout_,
        .timeout_ = limits.total_,
        .idleTimeout_ = limits.idle_});
    if (!response) {
        return wrapFailure(operation, response.failure());
    }
    const auto era = admitEra(operation, response->headers_);
    if (!era && response->status_ == statusOk) {
        return era.failure();
    }
    return Response {.era_ = era ? *era : 0, .status_ = response->status_, .body_ = response->body_};
}

auto KeyValueClient::fetchBody(const std::string &operation, const HttpCall &call, const CallLimits &limits)
    -> Result<Response>
{
    const auto response = performCall(operation, call, limits);
    if (!response) {
        return response.failure();
    }
    if (response->status_ != statusOk) {
        return statusFailure(options_, operation, response->status_, response->body_);
    }
    return response;
}

template <typename Value>
auto KeyValueClient::parseBody(const std::string &operation, const Result<Response> &response,
    const std::function<auto(const std::string &)->Result<Value>> &parser) const -> Result<Value>
{
    if (!response) {
        return response.failure();
    }
    auto value = parser(response->body_);
    return value ? value : Result<Value>(wrapFailure(operation, value.failure()));
}

auto KeyValueClient::getAllPages(const PagedProtocol &protocol, const std::string &prefix) -> Result<Snapshot>
{
    for (auto read = 0; read < maximumSnapshotReads; ++read) {
        const auto snapshot = getPagesOfOneEra(protocol, prefix);
        if (!snapshot) {
            return snapshot.failure();
        }
        if (*snapshot) {
            return **snapshot;
        }
    }
    return wrapFailure("get prefix", {.step_ = "era", .reason_ = "the pages are of different eras"});
}

auto KeyValueClient::getPagesOfOneEra(const PagedProtocol &protocol, const std::string &prefix)
    -> Result<std::optional<Snapshot>>
{
    auto entries = std::vector<KeyValue>();
    auto first = std::optional<StorePosition>();
    auto after = std::string();
    for (auto hasMore = true; hasMore;) {
        const auto response = fetchBody("get prefix", protocol.encodeRange_(prefix, after), readLimits());
        if (!response) {
            return response.failure();
        }
        const auto page = protocol.parseRange_(response->body_);
        if (!page) {
            return wrapFailure("get prefix", page.failure());
        }
        // Pages may differ in revision. A watch from the first page's revision repeats some changes but misses none.
        first = first.value_or(StorePosition {.era_ = response->era_, .revision_ = page->revision_});
        if (response->era_ != first->era_) {
            return std::optional<Snapshot>();
        }
        for (const auto &entry : page->entries_) {
            entries.push_back(entry);
        }
        hasMore = page->continueAfter_.has_value();
        after = page->continueAfter_.value_or("");
    }
    return std::optional(Snapshot {.position_ = first.value_or(StorePosition {}), .entries_ = entries});
}

auto KeyValueClient::get(const std::string &key) -> Result<std::optional<KeyValue>>
{
    const auto body = post("get", "/v3/kv/range", internal::encodeRange(key, "").dump());
    return decodeResponse(options_, "get", body, [](const json &response) {
        const auto entries = internal::decodeEntries(response);
        return entries.empty() ? std::optional<KeyValue>() : std::optional<KeyValue>(entries.front());
    });
}

auto KeyValueClient::getPrefix(const std::string &prefix) -> Result<Snapshot>
{
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return getAllPages(*protocol, prefix);
    }
    const auto range = internal::encodeRange(prefix, internal::prefixEnd(prefix));
    const auto body = fetchBody("get prefix", HttpCall {.path_ = "/v3/kv/range", .body_ = range.dump()}, readLimits());
    return decodeResponse(options_, "get prefix", body, [](const json &response) {
        return Snapshot {
            .position_ = {.revision_ = internal::revisionOf(response)}, .entries_ = internal::decodeEntries(response)};
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
    const auto write = PutKey {.key_ = key, .value_ = value};
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return conditionalCall(*protocol, protocol->encodeCompareAndSwap_(write, expectedModRevision));
    }
    return conditionalWrite(ModRevisionIs {.key_ = key, .revision_ = expectedModRevision}, write);
}

auto KeyValueClient::writeAll(const ConditionalWrites &writes) -> Result<WriteOutcome>
{
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return conditionalCall(*protocol, protocol->encodeConditionalWrites_(writes));
    }
    const auto outcome = transaction({.conditions_ = {writes.conditions_.begin(), writes.conditions_.end()},
        .onSuccess_ = {writes.puts_.begin(), writes.puts_.end()}});
    return outcome ? WriteOutcome {.written_ = outcome->succeeded_, .revision_ = outcome->revision_}
                   : Result<WriteOutcome>(outcome.failure());
}

auto KeyValueClient::conditionalCall(const PagedProtocol &protocol, const HttpCall &call) -> Result<WriteOutcome>
{
    const auto response = performCall("txn", call, callLimits());
    if (!response) {
        return response.failure();
    }
    if (response->status_ == statusPreconditionFailed) {
        return WriteOutcome {};
    }
    if (response->status_ != statusOk) {
        return statusFailure(options_, "txn", response->status_, response->body_);
    }
    const auto revision = parseBody("txn", response, protocol.parsePut_);
    return revision ? WriteOutcome {.written_ = true, .revision_ = *revision}
                    : Result<WriteOutcome>(revision.failure());
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

auto KeyValueClient::put(const std::string &key, const std::string &value, LeaseId lease) -> Result<StorePosition>
{
    const auto entry = PutKey {.key_ = key, .value_ = value, .lease_ = lease};
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto response = fetchBody("put", protocol->encodePut_(entry), callLimits());
        const auto revision = parseBody("put", response, protocol->parsePut_);
        return revision ? StorePosition {.era_ = response->era_, .revision_ = *revision}
                        : Result<StorePosition>(revision.failure());
    }
    return decodeResponse(
        options_, "put", post("put", "/v3/kv/put", internal::encodePut(entry).dump()), [](const json &response) {
            return StorePosition {.revision_ = internal::revisionOf(response)};
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
    return decodeResponse(options_, "delete", body, [](const json &response) {
        return internal::integerOf(response, "deleted") > 0;
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
    auto outcome = decodeResponse(options_, "txn", body, [](const json &response) {
        return internal::decodeTransaction(response, internal::revisionOf(response));
    });
    if (!outcome) {
        return outcome;
    }
    const auto &performed = outcome->succeeded_ ? transaction.onSuccess_ : transaction.onFailure_;
    if (outcome->operations_.size() != performed.size()) {
        return malformedResponse(options_, "txn",
            fmt::format("{} outcomes of {} operations", outcome->operations_.size(), performed.size()));
    }
    return outcome;
}

auto KeyValueClient::grantLease(std::chrono::seconds timeToLive) -> Result<Lease>
{
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto response = fetchBody("lease grant", protocol->encodeGrantLease_(timeToLive), callLimits());
        const auto id = parseBody("lease grant", response, protocol->parseLease_);
        return id ? Lease {.id_ = *id, .era_ = response->era_} : Result<Lease>(id.failure());
    }
    const auto request = json {{"TTL", std::to_string(timeToLive.count())}};
    return decodeResponse(
        options_, "lease grant", post("lease grant", "/v3/lease/grant", request.dump()), [](const json &response) {
            return Lease {.id_ = internal::integerOf(response, "ID")};
        });
}

auto KeyValueClient::keepAlive(const Lease &lease) -> Result<std::chrono::seconds>
{
    if (lease.era_ != era_) {
        return std::chrono::seconds(0);
    }
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto response = performCall("lease keepalive", protocol->encodeRenewLease_(lease.id_), callLimits());
        if (!response) {
            return response.failure();
        }
        if (response->status_ == statusNotFound || (response->status_ == statusOk && response->era_ != lease.era_)) {
            return std::chrono::seconds(0);
        }
        if (response->status_ != statusOk) {
            return statusFailure(options_, "lease keepalive", response->status_, response->body_);
        }
        const auto remaining = protocol->parseTimeToLive_(response->body_);
        return remaining ? remaining
                         : Result<std::chrono::seconds>(wrapFailure("lease keepalive", remaining.failure()));
    }
    const auto request = json {{"ID", std::to_string(lease.id_)}};
    return decodeResponse(options_, "lease keepalive", post("lease keepalive", "/v3/lease/keepalive", request.dump()),
        [](const json &response) {
            return std::chrono::seconds(internal::integerOf(response.at("result"), "TTL"));
        });
}

auto KeyValueClient::revokeLease(const Lease &lease) -> Status
{
    if (lease.era_ != era_) {
        return std::nullopt;
    }
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        const auto body = fetchBody("lease revoke", protocol->encodeRevokeLease_(lease.id_), callLimits());
        return body ? std::nullopt : Status(body.failure());
    }
    const auto request = json {{"ID", std::to_string(lease.id_)}};
    const auto body = post("lease revoke", "/v3/lease/revoke", request.dump());
    return body ? std::nullopt : Status(body.failure());
}

auto KeyValueClient::watch(const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>
{
    if (const auto *protocol = std::get_if<PagedProtocol>(&options_.protocol_)) {
        return watchByLongPoll(*protocol, request, call, onEvent);
    }
    return watchStream(request, call, onEvent);
}

auto KeyValueClient::watchByLongPoll(const PagedProtocol &protocol, const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>
{
    countCall("watch");
    const auto written = protocol.encodeWatch_(request);
    auto body = std::string();
    auto headers = std::map<std::string, std::string>();
    const auto status = call.call_.perform(
        {.method_ = written.method_,
            .url_ = options_.url_ + written.path_,
            .body_ = written.body_,
            .connectTimeout_ = options_.connectTimeout_,
            .timeout_ = request.timeout_ + readLimits().total_,
            .idleTimeout_ = request.timeout_ + readLimits().idle_},
        [&headers](int /*status*/, const std::map<std::string, std::string> &received) {
            headers = received;
        },
        [&body](std::string_view data) {
            body.append(data);
            return true;
        });
    if (!status) {
        const auto cancelled = call.cancelled_.load();
        auto reason = wrapFailure("watch", status.failure());
        return cancelled ? Failure {.step_ = "cancel", .peer_ = reason.peer_, .reason_ = reason.reason_} : reason;
    }
    const auto era = admitEra("watch", headers);
    if (*status != statusOk) {
        return statusFailure(options_, *status == statusGone ? "compacted" : "watch", *status, body);
    }
    if (!era) {
        return era.failure();
    }
    if (*era != request.after_.era_) {
        return wrapFailure(
            "restored", {.step_ = "era", .reason_ = fmt::format("era {} after era {}", *era, request.after_.era_)});
    }
    const auto page = protocol.parseWatch_(body);
    if (!page) {
        return wrapFailure("watch", page.failure());
    }
    if (page->revision_ < request.after_.revision_) {
        const auto reason = fmt::format("revision {} after {}", page->revision_, request.after_.revision_);
        return wrapFailure("restored", {.step_ = "revision", .reason_ = reason});
    }
    for (const auto &event : page->events_) {
        onEvent(event);
    }
    return StorePosition {.era_ = *era, .revision_ = page->revision_};
}

auto KeyValueClient::watchStream(const WatchRequest &request, WatchCall &call,
    const std::function<auto(const WatchEvent &)->void> &onEvent) -> Result<StorePosition>
{
    countCall("watch");
    auto watchReader = WatchReader(request.after_.revision_, onEvent);
    const auto ended = call.call_.perform({.method_ = "POST",
                                              .url_ = options_.url_ + "/v3/watch",
                                              .body_ = internal::encodeWatch(request).dump(),
                                              .connectTimeout_ = options_.connectTimeout_,
                                              .timeout_ = request.timeout_},
        nullptr, [&watchReader](std::string_view data) {
            return watchReader.onData(data);
        });
    const auto failure = [this](const std::string &step, const std::string &reason) {
        return Failure {
            .step_ = step, .peer_ = peerOf(options_.url_), .reason_ = reason, .retryAfter_ = options_.retryAfter_};
    };
    if (call.cancelled_) {
        return failure("cancel", "the watch was cancelled");
    }
    if (watchReader.failure()) {
        return failure(watchReader.failure()->first, watchReader.failure()->second);
    }
    if (!ended && ended.failure().step_ == "timeout") {
        return StorePosition {.era_ = request.after_.era_, .revision_ = watchReader.reached()};
    }
    return failure("kv watch", ended ? "the service ended the watch" : ended.failure().reason_);
}

} // namespace jasminewood::platform
