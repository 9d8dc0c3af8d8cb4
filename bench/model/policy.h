#ifndef LABURNUMMAST_MODEL_POLICY_H
#define LABURNUMMAST_MODEL_POLICY_H

#include <array>
#include <cstdint>
#include <string_view>

namespace Laburnummast::Model
{

/// How calls find their workers.
enum class Policy : std::uint8_t {
    /// The project's own dispatcher.
    Laburnummast,
    Random,
    RoundRobin,
    TwoChoices,
    LeastInFlight,
    /// One queue that knows every slot at once, strict by priority.
    Central,
};

constexpr std::array<std::string_view, 6> policyNames{"laburnummast", "random", "round-robin", "two-choices", "least-in-flight", "central"};

constexpr std::string_view nameOf(Policy policy)
{
    return policyNames[static_cast<std::size_t>(policy)];
}

}

#endif
