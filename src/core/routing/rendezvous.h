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

/// A member that rendezvous hashing may choose, with its failure domain.
struct Candidate
{
    std::string name;
    std::string domain;
};

/// Score of a member for a key; the highest wins.
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

/// The `count` members that serve `key`, spread over failure domains, best first.
///
/// A change of one member moves only the keys it had or gets.
std::vector<std::size_t> rendezvousSet(std::string_view key, std::span<const Candidate> candidates, std::size_t count);

/// Shares items out among members: every item has one member, no member has more than its even share.
std::vector<std::size_t> balancedAssignment(std::span<const std::string> items, std::span<const std::string> members);

}

#endif
