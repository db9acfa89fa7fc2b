#include "request_target.h"

#include <algorithm>
#include <memory>

#include <curl/curl.h>

namespace jasminewood::http::internal
{

namespace
{

auto decodePercent(std::string_view text) -> std::string
{
    if (text.find('%') == std::string_view::npos) {
        return std::string(text);
    }
    auto length = 0;
    const auto decoded = std::unique_ptr<char, decltype(&curl_free)>(
        curl_easy_unescape(nullptr, text.data(), int(text.size()), &length), &curl_free);
    return decoded ? std::string(decoded.get(), std::size_t(length)) : std::string();
}

// Decodes a name or a value of a query, in which a plus sign is a blank.
auto decodeQueryPart(std::string_view text) -> std::string
{
    auto spaced = std::string(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return decodePercent(spaced);
}

} // namespace

auto decodePath(std::string_view target) -> std::string
{
    return decodePercent(target.substr(0, target.find('?')));
}

auto decodeParameters(std::string_view target) -> Parameters
{
    auto parameters = Parameters();
    const auto queryBegin = target.find('?');
    auto rest = queryBegin == std::string_view::npos ? std::string_view() : target.substr(queryBegin + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
        const auto nameEnd = std::min(pair.find('='), pair.size());
        const auto value = pair.substr(std::min(nameEnd + 1, pair.size()));
        if (!pair.empty()) {
            parameters.insert_or_assign(decodeQueryPart(pair.substr(0, nameEnd)), decodeQueryPart(value));
        }
    }
    return parameters;
}

auto joinParameters(const Parameters &parameters) -> std::string
{
    auto query = std::string();
    for (const auto &[name, value] : parameters) {
        query += (query.empty() ? "" : "&") + name + "=" + value;
    }
    return query;
}

} // namespace jasminewood::http::internal
