#include "core/placement/placementcounters.h"

namespace Laburnummast::Placement
{

PlacementCounters &PlacementCounters::operator+=(const PlacementCounters &other)
{
    calls += other.calls;
    sent += other.sent;
    retries += other.retries;
    hedges += other.hedges;
    refused += other.refused;
    probes += other.probes;
    waitingRounds += other.waitingRounds;
    hedgesDeniedByBudget += other.hedgesDeniedByBudget;
    hedgesDeniedByPressure += other.hedgesDeniedByPressure;
    hedgesWithoutUpstream += other.hedgesWithoutUpstream;
    hedgesWithoutGain += other.hedgesWithoutGain;
    refusedTooLate += other.refusedTooLate;
    return *this;
}

}
