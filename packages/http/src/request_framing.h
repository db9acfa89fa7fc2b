#pragma once

#include <cstddef>
#include <optional>

#include "request_parser.h"

// The length of the body of a request, by its head (RFC 9112, 6).

namespace jasminewood::http::internal
{

// Returns the declared length of the body; 0 if there is no body, nothing if its length is not declared.
auto declaredBodyBytes(const RequestHead &head) -> std::optional<std::size_t>;

// Returns whether the header fields define the length of the body ambiguously. A peer that applies another length would
// parse a part of the body as a separate request (request smuggling).
auto hasAmbiguousLength(const RequestHead &head) -> bool;

// Returns whether the caller waits for an interim response before it sends the body.
auto expectsContinue(const RequestHead &head) -> bool;

} // namespace jasminewood::http::internal
