#include "items.h"

#include <msgpack.hpp>

#include "jasminewood/wire/codec.h"

namespace jasminewood::wire::internal
{

namespace
{

// An upper bound of the items in a message within the limits: a list of crash reports has five for each entry.
constexpr std::size_t maximumItems = 6 * maximumEntries;
constexpr std::uint32_t maximumDepth = 5;

// Visitor of the msgpack parser. A function that returns false stops the parser. The names are required by the library.
// NOLINTBEGIN(readability-identifier-naming)
class ItemCollector : public msgpack::null_visitor
{
public:
    auto visit_nil() -> bool
    {
        return add(Nil {});
    }

    auto visit_boolean(bool value) -> bool
    {
        return add(value);
    }

    auto visit_positive_integer(std::uint64_t value) -> bool
    {
        return add(value);
    }

    auto visit_negative_integer(std::int64_t value) -> bool
    {
        return add(value);
    }

    auto visit_float32(float /*value*/) -> bool
    {
        return false;
    }

    auto visit_float64(double /*value*/) -> bool
    {
        return false;
    }

    auto visit_str(const char *data, std::uint32_t size) -> bool
    {
        return add(Text {.text_ = std::string_view(data, size)});
    }

    auto visit_bin(const char *data, std::uint32_t size) -> bool
    {
        return add(Bytes {.bytes_ = std::string_view(data, size)});
    }

    auto visit_ext(const char * /*data*/, std::uint32_t /*size*/) -> bool
    {
        return false;
    }

    auto start_array(std::uint32_t count) -> bool
    {
        return ++depth_ <= maximumDepth && count <= maximumEntries && add(ListStart {.count_ = count});
    }

    auto end_array() -> bool
    {
        --depth_;
        return true;
    }

    auto start_map(std::uint32_t count) -> bool
    {
        return ++depth_ <= maximumDepth && count <= maximumEntries && add(MapStart {.count_ = count});
    }

    auto end_map() -> bool
    {
        --depth_;
        return true;
    }

    auto items() -> std::vector<Item> &
    {
        return items_;
    }

private:
    auto add(Item item) -> bool
    {
        if (items_.size() >= maximumItems) {
            return false;
        }
        items_.push_back(item);
        return true;
    }

    std::vector<Item> items_;
    std::uint32_t depth_ = 0;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

auto decodeFailure(std::string_view reason) -> Failure
{
    return Failure {.step_ = "decode", .reason_ = std::string(reason)};
}

auto splitItems(std::string_view bytes) -> Result<std::vector<Item>>
{
    auto collector = ItemCollector();
    auto offset = std::size_t(0);
    try {
        if (bytes.empty() || !msgpack::parse(bytes.data(), bytes.size(), offset, collector)) {
            return decodeFailure("not a whole msgpack document within the limits");
        }
    } catch (const std::exception &error) {
        return decodeFailure(error.what());
    }
    if (offset != bytes.size()) {
        return decodeFailure("bytes follow the message");
    }
    return std::move(collector.items());
}

} // namespace jasminewood::wire::internal
