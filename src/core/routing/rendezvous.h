#ifndef LABURNUMMAST_CORE_ROUTING_RENDEZVOUS_H
#define LABURNUMMAST_CORE_ROUTING_RENDEZVOUS_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Routing
{

/// A member eligible for rendezvous hashing, with its failure domain.
struct Candidate
{
    std::string name;
    std::string domain;

    friend bool operator==(const Candidate &, const Candidate &) = default;
};

/// Score of a member for a key; members with higher scores are preferred.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// Indices of the `count` members that serve `key`, spread over failure domains, best first.
///
/// Returns all candidates if there are fewer than `count`. Adding or removing a member moves only the keys that it gains
/// or loses.
std::vector<std::size_t> rendezvousSet(std::string_view key, std::span<const Candidate> candidates, std::size_t count);

/// Assigns each item to one member and returns the member index per item; all 0 if there are no members.
///
/// No member gets more than its even share, rounded up. The assignment does not depend on the order of items or members.
std::vector<std::size_t> balancedAssignment(std::span<const std::string> items, std::span<const std::string> members);

}

#endif
