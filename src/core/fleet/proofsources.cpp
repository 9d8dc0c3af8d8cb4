#include "core/fleet/proofsources.h"

#include "core/fleet/fetchsource.h"

#include <algorithm>
#include <tuple>

namespace Laburnummast::Fleet
{

std::vector<std::string> proofSources(std::vector<ProofCandidate> candidates, std::size_t ownRankInDomain)
{
    const bool asksElsewhere = offersToDomain(ownRankInDomain);
    const auto tierOf = [&](const ProofCandidate &it) {
        if (it.isReader) {
            return it.sameDomain ? 0 : (asksElsewhere ? 1 : 3);
        }
        if (it.sameDomain) {
            return offersToDomain(it.rankInDomain) ? 2 : 4;
        }
        return 5;
    };
    // Daemons of even and odd rank prefer different peers, which divides the queries among them.
    const auto orderOf
        = [&](const ProofCandidate &it) { return std::tuple(tierOf(it), (it.rankInDomain + ownRankInDomain) % 2, it.rankInDomain); };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const auto &a, const auto &b) { return orderOf(a) < orderOf(b); });
    std::vector<std::string> hosts;
    hosts.reserve(candidates.size());
    for (auto &it : candidates) {
        hosts.push_back(std::move(it.host));
    }
    return hosts;
}

}
