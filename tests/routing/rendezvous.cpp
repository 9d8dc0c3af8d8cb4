#include "core/routing/rendezvous.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace Laburnummast;
using namespace Laburnummast::Routing;

namespace
{

std::vector<Candidate> makeCandidates(int count, int domains)
{
    std::vector<Candidate> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        result.push_back({.name = "host-" + std::to_string(i), .domain = "domain-" + std::to_string(i % domains)});
    }
    return result;
}

std::set<std::string> chosenNames(const std::string &key, const std::vector<Candidate> &hosts, std::size_t count)
{
    std::set<std::string> names;
    for (const auto it : rendezvousSet(key, hosts, count)) {
        names.insert(hosts[it].name);
    }
    return names;
}

}

TEST_CASE("A set is spread over as many failure domains as possible")
{
    const auto hosts = makeCandidates(16, 4);
    for (int service = 0; service < 50; ++service) {
        std::set<std::string> domains;
        for (const auto it : rendezvousSet("service-" + std::to_string(service), hosts, 4)) {
            domains.insert(hosts[it].domain);
        }
        CHECK(domains.size() == 4);
    }
}

TEST_CASE("Removing a member changes a set by at most one member, and only if the set contained it")
{
    rc::check([] {
        const auto key = "service-" + std::to_string(*rc::gen::inRange(0, 1000));
        auto hosts = makeCandidates(*rc::gen::inRange(5, 40), 4);
        const auto before = chosenNames(key, hosts, 4);
        const auto removed = *rc::gen::inRange<std::size_t>(0, hosts.size());
        const auto name = hosts[removed].name;
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = chosenNames(key, hosts, 4);
        std::vector<std::string> kept;
        std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(kept));
        RC_ASSERT(kept.size() >= (before.contains(name) ? 3U : 4U));
    });
}

TEST_CASE("Every item is assigned to one member and no member exceeds its even share")
{
    rc::check([] {
        const auto itemCount = *rc::gen::inRange(0, 60);
        const auto memberCount = *rc::gen::inRange(1, 9);
        std::vector<std::string> items;
        std::vector<std::string> members;
        items.reserve(static_cast<std::size_t>(itemCount));
        members.reserve(static_cast<std::size_t>(memberCount));
        for (int i = 0; i < itemCount; ++i) {
            items.push_back("upstream-" + std::to_string(i));
        }
        for (int i = 0; i < memberCount; ++i) {
            members.push_back("host-" + std::to_string(i));
        }
        const auto assignment = balancedAssignment(items, members);
        std::vector<int> sizes(members.size(), 0);
        for (const auto it : assignment) {
            ++sizes.at(it);
        }
        const auto largest = *std::max_element(sizes.begin(), sizes.end());
        RC_ASSERT(largest <= (itemCount + memberCount - 1) / memberCount);
    });
}

TEST_CASE("The assignment does not depend on the order of the members")
{
    std::vector<std::string> items;
    items.reserve(30);
    for (int i = 0; i < 30; ++i) {
        items.push_back("upstream-" + std::to_string(i));
    }
    const std::vector<std::string> members{"a", "b", "c", "d"};
    const std::vector<std::string> reversed{"d", "c", "b", "a"};
    const auto assignment = balancedAssignment(items, members);
    const auto reversedAssignment = balancedAssignment(items, reversed);
    for (std::size_t i = 0; i < items.size(); ++i) {
        CHECK(members[assignment[i]] == reversed[reversedAssignment[i]]);
    }
}
