#ifndef LABURNUMMAST_CORE_FLEET_FETCHSOURCE_H
#define LABURNUMMAST_CORE_FLEET_FETCHSOURCE_H

#include "core/millis.h"

#include <cstddef>

namespace Laburnummast::Fleet
{

/// A peer that reports later records than this daemon has, as a source of them.
struct FetchSource
{
    /// Whether it is in the failure domain of this daemon.
    bool sameDomain = false;
    /// Rank of this daemon among those of its failure domain; those of low rank fetch from other domains for all of them.
    std::size_t rankInDomain = 0;
    /// Time since this daemon knows that it lacks records.
    Millis behindFor;
};

/// Whether to fetch the records from this source, rather than wait for one in the own failure domain.
///
/// Traffic between domains is expensive, so the records cross into a domain a few times only.
bool shouldFetchFrom(const FetchSource &source);
/// Whether a daemon of this rank offers records that it has fetched to its failure domain.
bool offersToDomain(std::size_t rankInDomain);

}

#endif
