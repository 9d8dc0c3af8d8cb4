#include "core/placement/preferredupstreams.h"

#include <deque>
#include <map>
#include <string_view>

namespace Laburnummast::Placement
{
namespace
{

// Distributes items evenly to bins, to bins of their own domain while these have capacity. Returns the bin of each item.
std::vector<std::size_t> assignEvenly(std::span<const std::string> itemDomains, std::span<const std::string> binDomains)
{
    const auto binCount = binDomains.size();
    std::vector<std::size_t> remainingCapacity(binCount, itemDomains.size() / binCount);
    std::map<std::string_view, std::deque<std::size_t>> binsByDomain;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        remainingCapacity[bin] += bin < itemDomains.size() % binCount ? 1 : 0;
        binsByDomain[binDomains[bin]].push_back(bin);
    }
    const auto takeBin = [&](std::deque<std::size_t> &bins) {
        while (!bins.empty()) {
            const auto bin = bins.front();
            bins.pop_front();
            if (remainingCapacity[bin] > 0) {
                --remainingCapacity[bin];
                bins.push_back(bin);
                return bin;
            }
        }
        return binCount;
    };
    std::vector<std::size_t> assignment(itemDomains.size(), binCount);
    for (std::size_t item = 0; item < itemDomains.size(); ++item) {
        assignment[item] = takeBin(binsByDomain[itemDomains[item]]);
    }
    std::deque<std::size_t> allBins;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        allBins.push_back(bin);
    }
    for (auto &it : assignment) {
        it = it == binCount ? takeBin(allBins) : it;
    }
    return assignment;
}

}

std::vector<bool>
preferredUpstreams(std::span<const std::string> upstreamDomains, std::span<const std::string> daemonDomains, std::size_t daemonIndex)
{
    std::vector<bool> preferred(upstreamDomains.size(), false);
    if (upstreamDomains.empty() || daemonIndex >= daemonDomains.size()) {
        return preferred;
    }
    if (upstreamDomains.size() < daemonDomains.size()) {
        preferred[assignEvenly(daemonDomains, upstreamDomains)[daemonIndex]] = true;
        return preferred;
    }
    const auto assignedDaemons = assignEvenly(upstreamDomains, daemonDomains);
    for (std::size_t i = 0; i < assignedDaemons.size(); ++i) {
        preferred[i] = assignedDaemons[i] == daemonIndex;
    }
    return preferred;
}

}
