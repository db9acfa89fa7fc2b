#include "end_to_end_fields.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <string>
#include <string_view>

#include "jasminewood/http/client.h"

namespace jasminewood::forward::internal
{

namespace
{

constexpr auto hopByHopNames
    = std::array<std::string_view, 11> {"connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
        "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"};

auto withoutSpaces(std::string_view text) -> std::string
{
    auto name = std::string(text);
    name.erase(std::remove_if(name.begin(), name.end(),
                   [](unsigned char letter) {
                       return std::isspace(letter) != 0;
                   }),
        name.end());
    return name;
}

// Adds the names of a comma-separated list.
auto addNames(std::vector<std::string> &names, std::string_view list) -> void
{
    for (auto start = std::size_t(0); start <= list.size();) {
        const auto end = std::min(list.find(',', start), list.size());
        names.push_back(withoutSpaces(list.substr(start, end - start)));
        start = end + 1;
    }
}

// Returns the names that the Connection fields list.
auto connectionOptions(const std::vector<http::HeaderField> &fields) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &field : fields) {
        if (http::isSameFieldName(field.name_, "connection")) {
            addNames(names, field.value_);
        }
    }
    return names;
}

template <typename Names>
auto containsName(const Names &names, std::string_view name) -> bool
{
    return std::any_of(names.begin(), names.end(), [name](std::string_view each) {
        return http::isSameFieldName(each, name);
    });
}

} // namespace

auto endToEndFields(const std::vector<http::HeaderField> &fields) -> std::vector<http::HeaderField>
{
    const auto listedNames = connectionOptions(fields);
    auto endToEndOnly = std::vector<http::HeaderField>();
    endToEndOnly.reserve(fields.size());
    for (const auto &field : fields) {
        if (!containsName(hopByHopNames, field.name_) && !containsName(listedNames, field.name_)) {
            endToEndOnly.push_back(field);
        }
    }
    return endToEndOnly;
}

} // namespace jasminewood::forward::internal
