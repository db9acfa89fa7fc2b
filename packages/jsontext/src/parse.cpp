#include "jasminewood/jsontext/parse.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminewood::jsontext
{

namespace
{

constexpr std::size_t maximumReasonBytes = 200;

// Follows the nesting of a JSON text, which may be malformed, one character at a time.
class DepthCounter
{
public:
    auto add(char character) -> void
    {
        if (inString_) {
            addToString(character);
        } else if (character == '"') {
            inString_ = true;
        } else if (character == '[' || character == '{') {
            ++depth_;
        } else if ((character == ']' || character == '}') && depth_ > 0) {
            --depth_;
        }
    }

    auto depth() const -> std::size_t
    {
        return depth_;
    }

private:
    auto addToString(char character) -> void
    {
        inString_ = escaped_ || character != '"';
        escaped_ = !escaped_ && character == '\\';
    }

    std::size_t depth_ = 0;
    bool inString_ = false;
    bool escaped_ = false;
};

auto isTooDeep(std::string_view text) -> bool
{
    auto counter = DepthCounter();
    return std::any_of(text.begin(), text.end(), [&counter](char character) {
        counter.add(character);
        return counter.depth() > maximumDepth;
    });
}

} // namespace

auto internal::decodeFailure(std::string_view reason) -> Failure
{
    return Failure {.step_ = "decode", .reason_ = std::string(reason.substr(0, maximumReasonBytes))};
}

auto parse(std::string_view text) -> Result<nlohmann::json>
{
    if (isTooDeep(text)) {
        return internal::decodeFailure("nested more than " + std::to_string(maximumDepth) + " levels deep");
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &exception) {
        return internal::decodeFailure(exception.what());
    }
}

auto wholeNumber(const nlohmann::json &value, std::int64_t minimum, std::int64_t maximum) -> std::optional<std::int64_t>
{
    auto number = std::int64_t(0);
    if (value.is_number_unsigned()) {
        if (!std::in_range<std::int64_t>(value.get<std::uint64_t>())) {
            return std::nullopt;
        }
        number = value.get<std::int64_t>();
    } else if (value.is_number_integer()) {
        number = value.get<std::int64_t>();
    } else if (value.is_number_float()) {
        const auto exact = value.get<double>();
        if (std::trunc(exact) != exact || std::abs(exact) > double(maximumInteger)) {
            return std::nullopt;
        }
        number = std::int64_t(exact);
    } else {
        return std::nullopt;
    }
    return number >= minimum && number <= maximum ? std::optional(number) : std::nullopt;
}

} // namespace jasminewood::jsontext
