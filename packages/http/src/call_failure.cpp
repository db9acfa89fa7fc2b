#include "call_failure.h"

namespace jasminewood::http::internal
{

namespace
{

// Returns whether libcurl itself found that a response is malformed. It has CURLE_BAD_FUNCTION_ARGUMENT for some lines
// that it can't store as a field.
auto isMalformed(CURLcode code) -> bool
{
    return code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY
        || code == CURLE_BAD_FUNCTION_ARGUMENT;
}

} // namespace

auto failedStep(CURLcode code, bool connected) -> std::string
{
    if (!connected) {
        return "connect";
    }
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return "timeout";
    case CURLE_SEND_ERROR:
    case CURLE_SEND_FAIL_REWIND:
        return "send";
    default:
        return "receive";
    }
}

auto failureReason(CURLcode code, const std::string &errorText) -> std::string
{
    if (isMalformed(code)) {
        return "malformed response: " + (errorText.empty() ? "a line of the head" : errorText);
    }
    return code == CURLE_ABORTED_BY_CALLBACK ? "the peer closed a kept connection without an answer"
                                             : curl_easy_strerror(code);
}

} // namespace jasminewood::http::internal
