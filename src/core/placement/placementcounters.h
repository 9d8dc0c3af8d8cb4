#ifndef LABURNUMMAST_CORE_PLACEMENT_PLACEMENTCOUNTERS_H
#define LABURNUMMAST_CORE_PLACEMENT_PLACEMENTCOUNTERS_H

#include <cstdint>

namespace Laburnummast::Placement
{

/// Counters since the start; they only increase.
struct PlacementCounters
{
    std::uint64_t calls = 0;
    /// Attempts sent, including retries and hedges.
    std::uint64_t sent = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refused = 0;
    std::uint64_t probes = 0;
    /// Probe rounds of calls that wait for an upstream, including rounds that only reuse load reports.
    std::uint64_t waitingRounds = 0;
    /// Calls that were denied a hedge at least once, by reason; those of several reasons count once for each.
    std::uint64_t hedgesDeniedByBudget = 0;
    std::uint64_t hedgesDeniedByPressure = 0;
    std::uint64_t hedgesWithoutUpstream = 0;
    std::uint64_t hedgesWithoutGain = 0;
    /// Calls refused because no attempt can be over in the time left.
    std::uint64_t refusedTooLate = 0;

    PlacementCounters &operator+=(const PlacementCounters &other);
};

}

#endif
