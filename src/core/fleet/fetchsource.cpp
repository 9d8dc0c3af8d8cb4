#include "core/fleet/fetchsource.h"

namespace Laburnummast::Fleet
{
namespace
{

// Daemons of a failure domain that fetch from others: two, so that the loss of one delays nothing.
constexpr std::size_t fetchersPerDomain = 2;
// Longest wait for a source in the own failure domain.
constexpr Millis maxWaitForNearSource = 150_ms;

}

bool shouldFetchFrom(const FetchSource &source)
{
    return source.sameDomain || offersToDomain(source.rankInDomain) || source.behindFor >= maxWaitForNearSource;
}

bool offersToDomain(std::size_t rankInDomain)
{
    return rankInDomain < fetchersPerDomain;
}

}
