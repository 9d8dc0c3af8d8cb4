#ifndef LABURNUMMAST_MODEL_POLICY_H
#define LABURNUMMAST_MODEL_POLICY_H

#include <array>
#include <cstdint>
#include <string_view>

namespace Laburnummast::Model
{

/// How a scenario assigns calls to workers.
enum class Policy : std::uint8_t {
    /// The dispatcher of this project.
    Laburnummast,
    /// Any worker.
    Random,
    /// Each worker in turn, separately at every entry host.
    RoundRobin,
    /// Of two random workers, the one with fewer calls of this entry host.
    TwoChoices,
    /// The worker with the fewest calls of this entry host.
    LeastInFlight,
    /// A central queue that knows the state of every slot immediately; strict priority order.
    Central,
};

/// Names of the policies in the output, indexed by `Policy`.
constexpr std::array<std::string_view, 6> policyNames{"laburnummast", "random", "round-robin", "two-choices", "least-in-flight", "central"};

constexpr std::string_view nameOf(Policy policy)
{
    return policyNames[static_cast<std::size_t>(policy)];
}

}

#endif
