#include "json.h"

#include "jasminewood/engine/chat_request.h"

namespace jasminewood::engine::internal
{

auto parseObject(std::string_view text) -> std::optional<Json>
{
    auto tooDeep = false;
    // Parser callback: drops values nested deeper than maximumNestingDepth and sets tooDeep.
    const auto keepValue = [&tooDeep](int depth, Json::parse_event_t /*event*/, Json & /*parsed*/) -> bool {
        tooDeep = tooDeep || depth > maximumNestingDepth;
        return depth <= maximumNestingDepth;
    };
    auto parsed = Json::parse(text.begin(), text.end(), keepValue, false);
    if (tooDeep || !parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

auto member(const Json &value, const char *name) -> const Json &
{
    static const auto null = Json();
    if (!value.is_object()) {
        return null;
    }
    const auto found = value.find(name);
    return found == value.end() ? null : *found;
}

auto stringOrEmpty(const Json &value) -> std::string
{
    return value.is_string() ? value.get<std::string>() : std::string();
}

auto unsignedUpTo(const Json &value, std::uint64_t maximum) -> std::optional<std::uint64_t>
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > maximum) {
        return std::nullopt;
    }
    return value.get<std::uint64_t>();
}

} // namespace jasminewood::engine::internal
