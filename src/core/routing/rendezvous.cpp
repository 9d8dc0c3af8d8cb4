#include "core/routing/rendezvous.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <xxhash.h>

namespace Laburnummast::Routing
{
namespace
{

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::vector<std::size_t> orderByScore(std::string_view key, std::span<const Candidate> candidates)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::uint64_t> scores;
    scores.reserve(candidates.size());
    for (const auto &it : candidates) {
        scores.push_back(rendezvousScore(key, it.name));
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return scores[a] != scores[b] ? scores[a] > scores[b] : candidates[a].name < candidates[b].name;
    });
    return order;
}

std::size_t bestWithCapacity(std::string_view item, std::span<const std::string> members, std::span<const std::size_t> capacity)
{
    std::size_t best = members.size();
    std::uint64_t bestScore = 0;
    for (std::size_t i = 0; i < members.size(); ++i) {
        const auto score = rendezvousScore(item, members[i]);
        if (capacity[i] > 0 && (best == members.size() || score > bestScore)) {
            best = i;
            bestScore = score;
        }
    }
    return best;
}

}

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return XXH3_64bits_withSeed(member.data(), member.size(), hashOf(key));
}

std::vector<std::size_t> rendezvousSet(std::string_view key, std::span<const Candidate> candidates, std::size_t count)
{
    auto remaining = orderByScore(key, candidates);
    std::vector<std::size_t> chosen;
    // Each round chooses at most one member per domain, so that the loss of a domain removes as few as possible.
    while (chosen.size() < count && !remaining.empty()) {
        std::set<std::string_view> domains;
        std::vector<std::size_t> postponed;
        for (const auto it : remaining) {
            if (chosen.size() < count && domains.insert(candidates[it].domain).second) {
                chosen.push_back(it);
            } else {
                postponed.push_back(it);
            }
        }
        remaining = std::move(postponed);
    }
    return chosen;
}

std::vector<std::size_t> balancedAssignment(std::span<const std::string> items, std::span<const std::string> members)
{
    std::vector<std::size_t> assignment(items.size(), 0);
    if (members.empty()) {
        return assignment;
    }
    std::vector<std::size_t> order(items.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto left = hashOf(items[a]);
        const auto right = hashOf(items[b]);
        return left != right ? left < right : items[a] < items[b];
    });
    const std::size_t evenShare = (items.size() + members.size() - 1) / members.size();
    std::vector<std::size_t> capacity(members.size(), evenShare);
    for (const auto it : order) {
        const auto member = bestWithCapacity(items[it], members, capacity);
        assignment[it] = member;
        --capacity[member];
    }
    return assignment;
}

}
