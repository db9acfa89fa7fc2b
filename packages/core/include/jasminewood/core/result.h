#pragma once

#include <cassert>
#include <optional>
#include <utility>

#include "jasminewood/core/failure.h"

// Holds a value or the failure that explains why there is none. Libraries report errors in this way; no exception
// crosses a library's interface.
//
//     const auto connection = dial(address);
//     if (!connection) {
//         log(connection.failure());
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
        : failure_(std::move(failure))
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
        assert(failure_.has_value());
        return *failure_;
    }

private:
    std::optional<Value> value_;
    std::optional<Failure> failure_;
};

// The result of a step that yields no value: empty on success, otherwise the failure.
using Status = std::optional<Failure>;

} // namespace jasminewood
