#include "request_framing.h"

#include <cstdlib>
#include <string>

#include "jasminewood/http/client.h"

namespace jasminewood::http::internal
{

namespace
{

constexpr auto contentLengthField = "Content-Length";
constexpr auto transferEncodingField = "Transfer-Encoding";

auto isDecimal(const std::string &text) -> bool
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
}

} // namespace

auto declaredBodyBytes(const RequestHead &head) -> std::optional<std::size_t>
{
    if (findHeader(head.fields_, transferEncodingField)) {
        return std::nullopt;
    }
    return std::strtoull(findHeader(head.fields_, contentLengthField).value_or("").c_str(), nullptr, 10);
}

auto hasAmbiguousLength(const RequestHead &head) -> bool
{
    auto definitions = 0;
    auto malformed = false;
    for (const auto &field : head.fields_) {
        if (isSameFieldName(field.name_, contentLengthField)) {
            ++definitions;
            malformed = malformed || !isDecimal(field.value_);
        }
        if (isSameFieldName(field.name_, transferEncodingField)) {
            ++definitions;
            malformed = malformed || !isSameFieldName(field.value_, "chunked");
        }
    }
    return malformed || definitions > 1;
}

auto expectsContinue(const RequestHead &head) -> bool
{
    return !head.isHttp10_ && isSameFieldName(findHeader(head.fields_, "Expect").value_or(""), "100-continue");
}

} // namespace jasminewood::http::internal
