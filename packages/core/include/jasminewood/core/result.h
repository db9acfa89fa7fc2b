#pragma once

#include <cassert>
#include <optional>
#include <utility>

#include "jasminewood/core/failure.h"

// A value or the reason why there is none. No exception crosses a library's edge.
//
//     const auto connection = dial(address);
//     if (!connection) {
//         log(connection.reason());
//     }

namespace jasminewood
{

template <typename Value>
class [[nodiscard]] Result
{
public:
    Result(Value value) // NOLINT: implicit, so that functions can return the value itself
        : value_(std::move(value))
    {
    }

    Result(Failure failure) // NOLINT: implicit, so that functions can return the failure itself
        : reason_(std::move(failure))
    {
    }

    explicit operator bool() const
    {
        return value_.has_value();
    }

    // Precondition: the result holds a value.
    auto operator*() const -> const Value &
    {
        assert(value_.has_value());
        return *value_;
    }

    // Precondition: the result holds a value.
    auto operator->() const -> const Value *
    {
        assert(value_.has_value());
        return &*value_;
    }

    // Precondition: the result holds no value.
    auto failure() const -> const Failure &
    {
        assert(reason_.has_value());
        return *reason_;
    }

private:
    std::optional<Value> value_;
    std::optional<Failure> reason_;
};

// The result of a step that yields no value: an empty optional is success, else the reason of the failure.
using Status = std::optional<Failure>;

} // namespace jasminewood
