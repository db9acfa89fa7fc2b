#include "end_to_end_fields.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string>

namespace jasminewood::forward::internal
{

namespace
{

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return char(std::tolower(letter));
    });
    return text;
}

// Adds the names of a comma-separated list, in lower case.
auto addNames(std::set<std::string> &names, const std::string &list) -> void
{
    for (auto start = std::size_t(0); start <= list.size();) {
        const auto end = std::min(list.find(',', start), list.size());
        auto name = list.substr(start, end - start);
        name.erase(std::remove_if(name.begin(), name.end(),
                       [](unsigned char letter) {
                           return std::isspace(letter) != 0;
                       }),
            name.end());
        names.insert(lowerCase(name));
        start = end + 1;
    }
}

} // namespace

auto endToEndFields(const std::vector<http::HeaderField> &fields) -> std::vector<http::HeaderField>
{
    auto hopByHopNames = std::set<std::string> {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};
    for (const auto &field : fields) {
        if (lowerCase(field.name_) == "connection") {
            addNames(hopByHopNames, field.value_);
        }
    }
    auto endToEndOnly = std::vector<http::HeaderField>();
    for (const auto &field : fields) {
        if (!hopByHopNames.contains(lowerCase(field.name_))) {
            endToEndOnly.push_back(field);
        }
    }
    return endToEndOnly;
}

} // namespace jasminewood::forward::internal
