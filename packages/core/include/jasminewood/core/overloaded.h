#pragma once

// A visitor made of lambdas, one for each alternative of a variant.
//
//     std::visit(Overloaded {[](const Queued &queued) { ... }, [](const auto &other) { ... }}, admission);

namespace jasminewood
{

template <class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace jasminewood
