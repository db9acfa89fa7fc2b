#pragma once

// Combines lambdas, one for each alternative of a variant, into a visitor for std::visit.
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
