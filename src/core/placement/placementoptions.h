#ifndef LABURNUMMAST_CORE_PLACEMENT_PLACEMENTOPTIONS_H
#define LABURNUMMAST_CORE_PLACEMENT_PLACEMENTOPTIONS_H

#include "core/millis.h"
#include "core/retry/sharedretrybudget.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Laburnummast::Placement
{

struct PlacementOptions
{
    /// Failure domain of this daemon.
    std::string domain;
    Retry::SharedRetryBudgetOptions retries;
    /// Failure domains of all daemons that serve, in an order that all of them know, and the place of this one there.
    std::vector<std::string> daemonDomains;
    std::size_t daemonIndex = 0;
    /// Upstreams asked at first, and again where none of them suits.
    std::size_t firstRoundProbes = 4;
    /// The same while there is room everywhere or the allowance of probes runs low.
    std::size_t reducedFirstRoundProbes = 2;
    std::size_t laterRoundProbes = 4;
    /// Upstreams asked each time for all calls that wait.
    std::size_t waitingRoundProbes = 2;
    /// A load heard of within this time is as good as a new one.
    Millis maxReportAge{6};
    /// Answers to probes are waited for no longer: a few network round trips within a region.
    Millis probeRoundTimeout{8};
    /// Pause before the waiting calls ask again: a small part of the time of a call.
    Millis waitingProbeInterval{5};
    /// Share of the retry budget that hedges leave to retries.
    double hedgeReserve = 0.4;
};

}

#endif
