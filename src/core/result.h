#ifndef LABURNUMMAST_CORE_RESULT_H
#define LABURNUMMAST_CORE_RESULT_H

#include <variant>

namespace Laburnummast
{

/// Either a value or a typed failure.
template <class T, class Failure>
using Result = std::variant<T, Failure>;

/// Builds a visitor from lambdas.
template <class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

#endif
