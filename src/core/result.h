#ifndef LABURNUMMAST_CORE_RESULT_H
#define LABURNUMMAST_CORE_RESULT_H

#include <variant>

namespace Laburnummast
{

/// Holds either a value or a typed error.
template <class T, class Failure>
using Result = std::variant<T, Failure>;

/// Combines several lambdas into one visitor.
template <class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

#endif
