#ifndef LABURNUMMAST_CORE_FLEET_PROOFSOURCES_H
#define LABURNUMMAST_CORE_FLEET_PROOFSOURCES_H

#include <cstddef>
#include <string>
#include <vector>

namespace Laburnummast::Fleet
{

/// A peer that may be asked how current its configuration is.
struct ProofCandidate
{
    std::string host;
    /// Whether it is in the failure domain of this daemon.
    bool sameDomain = false;
    /// Whether it reads the configuration from the store.
    bool isReader = false;
    /// Its rank among the daemons of its failure domain.
    std::size_t rankInDomain = 0;
};

/// Hosts to ask, the best one first; the next one is asked when an answer is missing or useless.
///
/// Daemons ask a reader in their failure domain. In a domain without a reader, those of low rank ask one elsewhere and the others ask
/// these, so that the queries that cross into a domain do not grow with its size.
std::vector<std::string> proofSources(std::vector<ProofCandidate> candidates, std::size_t ownRankInDomain);

}

#endif
