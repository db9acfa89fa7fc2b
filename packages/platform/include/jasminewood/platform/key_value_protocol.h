#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/platform/key_value_types.h"

// The wire protocols of key-value services: how calls are encoded and responses are parsed.

namespace jasminewood::platform
{

// The JSON gateway of etcd v3.
struct EtcdGateway
{
    auto operator<=>(const EtcdGateway &) const = default;
};

struct HttpCall
{
    const std::string method_ = "POST";
    // With the query, encoded.
    const std::string path_;
    // JSON, or empty.
    const std::string body_;

    auto operator<=>(const HttpCall &) const = default;
};

// A page of the entries of a prefix.
struct RangePage
{
    // The service's revision at which the page was read.
    const Revision revision_ = 0;
    const std::vector<KeyValue> entries_;
    // The key after which the next page begins; empty after the last one.
    const std::optional<std::string> continueAfter_;
};

// The events of one response of a long-polling watch.
struct WatchPage
{
    const std::vector<WatchEvent> events_;
    // The last revision that the response covers.
    const Revision revision_ = 0;
};

// A service whose calls the user of the client defines and whose only conditional operation is a write. It lists keys
// in pages, which may differ in revision. Its watch is a long poll: the response comes as soon as there are events or
// the timeout is over, with status 410 if the history has been compacted. Parsers fail with step "decode".
struct PagedProtocol
{
    // Encodes the call for the page of a prefix that begins after a key; the key is empty for the first page.
    const std::function<auto(const std::string &prefix, const std::string &after)->HttpCall> encodeRange_;
    const std::function<auto(const std::string &body)->Result<RangePage>> parseRange_;
    const std::function<auto(const WatchRequest &request)->HttpCall> encodeWatch_;
    const std::function<auto(const std::string &body)->Result<WatchPage>> parseWatch_;
    const std::function<auto(const PutKey &put)->HttpCall> encodePut_;
    const std::function<auto(const std::string &body)->Result<Revision>> parsePut_;
    // Encodes a write on the condition that the key has the revision, or does not exist if that is 0. The response has
    // status 412 if the condition does not hold, otherwise it is that of a put.
    const std::function<auto(const PutKey &put, Revision expectedRevision)->HttpCall> encodeCompareAndSwap_;
    const std::function<auto(Milliseconds timeToLive)->HttpCall> encodeGrantLease_;
    const std::function<auto(const std::string &body)->Result<LeaseId>> parseLease_;
    // The response has status 404 if the lease has expired.
    const std::function<auto(LeaseId lease)->HttpCall> encodeRenewLease_;
    // Parses the remaining time to live of a renewed lease.
    const std::function<auto(const std::string &body)->Result<std::chrono::seconds>> parseTimeToLive_;
    const std::function<auto(LeaseId lease)->HttpCall> encodeRevokeLease_;
    // The header field of all responses that states the era, in lower case; empty for a service without eras.
    const std::string eraHeader_ = {};
    // Encodes several writes on the condition that each of the keys has its revision, or does not exist if that is 0.
    // The response is as that of a write on one condition.
    const std::function<auto(const ConditionalWrites &writes)->HttpCall> encodeConditionalWrites_ = {};
};

using KeyValueProtocol = std::variant<EtcdGateway, PagedProtocol>;

} // namespace jasminewood::platform
