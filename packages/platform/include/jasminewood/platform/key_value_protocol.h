#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "jasminewood/core/result.h"
#include "jasminewood/platform/key_value_types.h"

// How the calls of a key-value service are written and how its answers are read.

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

// A part of the keys of a prefix.
struct RangePage
{
    // The service's revision at which the page was read.
    const Revision revision_ = 0;
    const std::vector<KeyValue> entries_;
    // The key after which the next page begins; empty after the last one.
    const std::optional<std::string> continueAfter_;
};

// What a watch that answers once returned.
struct WatchPage
{
    const std::vector<WatchEvent> events_;
    // The last revision that the answer covers.
    const Revision revision_ = 0;
};

// A service whose calls the client does not fix, without operations on conditions. It lists keys in pages, that may
// differ in revision, and whose watch is a call that answers as soon as there are events or the time is over. It
// answers 410 if the history is gone. Readers fail with step "decode".
struct PagedProtocol
{
    // Writes the call for the page of a prefix that begins after a key; empty for the first page.
    const std::function<auto(const std::string &prefix, const std::string &after)->HttpCall> range_;
    const std::function<auto(const std::string &body)->Result<RangePage>> parseRange_;
    const std::function<auto(const WatchRequest &request)->HttpCall> watch_;
    const std::function<auto(const std::string &body)->Result<WatchPage>> parseWatch_;
    const std::function<auto(const PutKey &put)->HttpCall> put_;
    const std::function<auto(const std::string &body)->Result<Revision>> parsePut_;
    const std::function<auto(Milliseconds timeToLive)->HttpCall> grantLease_;
    const std::function<auto(const std::string &body)->Result<LeaseId>> parseLease_;
    // Answered 404 if the lease has ended.
    const std::function<auto(LeaseId lease)->HttpCall> renewLease_;
    // Reads the remaining time of a renewed lease.
    const std::function<auto(const std::string &body)->Result<std::chrono::seconds>> parseTimeToLive_;
    const std::function<auto(LeaseId lease)->HttpCall> revokeLease_;
};

using KeyValueProtocol = std::variant<EtcdGateway, PagedProtocol>;

} // namespace jasminewood::platform
