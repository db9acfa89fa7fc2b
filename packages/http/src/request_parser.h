#pragma once

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminewood/http/server.h"

// The grammar of requests (RFC 9112), over the parser of Boost.Beast. No I/O. Only lines that end with CR LF are read.
//
//     auto parser = RequestParser();
//     const auto result = parser.parseHead(received);
//     if (const auto *head = std::get_if<RequestHead>(&result)) { received.erase(0, head->bytes_); }

namespace jasminewood::http::internal
{

// The request line and the header fields of a request.
struct RequestHead
{
    const std::string method_;
    const std::string target_;
    const bool isHttp10_ = false;
    // Whether the caller keeps the connection after the response.
    const bool keepAlive_ = true;
    const std::vector<HeaderField> fields_;
    // The size of the head, in bytes.
    const std::size_t bytes_ = 0;

    auto operator<=>(const RequestHead &) const = default;
};

// A part of the body of a request.
struct BodyPart
{
    // The data, without the framing of a transfer coding.
    const std::string data_;
    // The bytes that were read, with their framing.
    const std::size_t consumedBytes_ = 0;

    auto operator<=>(const BodyPart &) const = default;
};

// More data has to be received first.
struct IncompleteData
{
    auto operator<=>(const IncompleteData &) const = default;
};

// What was received is no request.
struct MalformedRequest
{
    const std::string reason_;

    auto operator<=>(const MalformedRequest &) const = default;
};

using HeadResult = std::variant<IncompleteData, RequestHead, MalformedRequest>;
using BodyResult = std::variant<BodyPart, MalformedRequest>;

// Parses one request. Not thread-safe.
class RequestParser
{
public:
    RequestParser();
    ~RequestParser();

    RequestParser(const RequestParser &) = delete;
    auto operator=(const RequestParser &) -> RequestParser & = delete;

    // Parses the head, with which the data begins. As long as the result is IncompleteData, the next call gets the same
    // data and what has been received since.
    auto parseHead(std::string_view received) -> HeadResult;

    // Parses the data behind the head, or behind what the last call has consumed. Fields of a trailer are checked and
    // discarded.
    auto parseBody(std::string_view received) -> BodyResult;

    // Returns whether the request has been read to its end.
    auto isComplete() const -> bool;

private:
    class Implementation;

    const std::unique_ptr<Implementation> implementation_;
};

} // namespace jasminewood::http::internal
