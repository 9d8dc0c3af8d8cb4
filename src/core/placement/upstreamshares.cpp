#include "core/placement/upstreamshares.h"

#include <deque>
#include <map>
#include <string_view>

namespace Laburnummast::Placement
{
namespace
{

// Deals items to bins of equal size, within a domain as far as its bins have room. Returns the bin of each item.
std::vector<std::size_t> deal(std::span<const std::string> itemDomains, std::span<const std::string> binDomains)
{
    const auto n = binDomains.size();
    std::vector<std::size_t> room(n, itemDomains.size() / n);
    std::map<std::string_view, std::deque<std::size_t>> near;
    for (std::size_t bin = 0; bin < n; ++bin) {
        room[bin] += bin < itemDomains.size() % n ? 1 : 0;
        near[binDomains[bin]].push_back(bin);
    }
    const auto take = [&](std::deque<std::size_t> &bins) {
        while (!bins.empty()) {
            const auto bin = bins.front();
            bins.pop_front();
            if (room[bin] > 0) {
                --room[bin];
                bins.push_back(bin);
                return bin;
            }
        }
        return n;
    };
    std::vector<std::size_t> dealt(itemDomains.size(), n);
    for (std::size_t item = 0; item < itemDomains.size(); ++item) {
        dealt[item] = take(near[itemDomains[item]]);
    }
    std::deque<std::size_t> all;
    for (std::size_t bin = 0; bin < n; ++bin) {
        all.push_back(bin);
    }
    for (auto &it : dealt) {
        it = it == n ? take(all) : it;
    }
    return dealt;
}

}

std::vector<bool>
preferredUpstreams(std::span<const std::string> upstreamDomains, std::span<const std::string> daemonDomains, std::size_t place)
{
    std::vector<bool> preferred(upstreamDomains.size(), false);
    if (upstreamDomains.empty() || place >= daemonDomains.size()) {
        return preferred;
    }
    if (upstreamDomains.size() < daemonDomains.size()) {
        preferred[deal(daemonDomains, upstreamDomains)[place]] = true;
        return preferred;
    }
    const auto owners = deal(upstreamDomains, daemonDomains);
    for (std::size_t i = 0; i < owners.size(); ++i) {
        preferred[i] = owners[i] == place;
    }
    return preferred;
}

}
